//! The operators' command line as it is typed.

use std::path::PathBuf;

use argh::FromArgs;

/// Checks and publishes the objects that chicorywing serves by, and shows
/// what is in force and why calls went where they went.
#[derive(Debug, FromArgs)]
#[argh(
    example = "{command_name} check objects.jsonc",
    example = "{command_name} publish objects.jsonc --log http://127.0.0.1:7001",
    example = "{command_name} out akl-1 --log http://127.0.0.1:7001",
    example = "{command_name} show --instances 127.0.0.1:8201,127.0.0.1:8202",
    note = "Exit codes: 0 done, 1 failed and may work later, 2 faulty input, 3 another \
            publish came first, 4 not in force everywhere."
)]
pub struct Args {
    /// write JSON instead of text
    #[argh(switch)]
    pub json: bool,
    /// what to do
    #[argh(subcommand)]
    pub command: CommandArgs,
}

/// The commands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum CommandArgs {
    /// Check a set.
    Check(CheckArgs),
    /// Publish a set.
    Publish(PublishArgs),
    /// Print the set in force.
    Current(CurrentArgs),
    /// Take a data centre out.
    Out(OutArgs),
    /// Bring a data centre back.
    Back(BackArgs),
    /// Show what is in force where.
    Show(ShowArgs),
    /// Explain recent decisions.
    Explain(ExplainArgs),
    /// Hash an API key.
    HashKey(HashKeyArgs),
}

/// check a set of objects and name every fault with its line
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// file with the set, JSON with comments
    #[argh(positional)]
    pub file: PathBuf,
}

/// check a set and publish it as the next version
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "publish")]
pub struct PublishArgs {
    /// file with the set, JSON with comments
    #[argh(positional)]
    pub file: PathBuf,
    /// address of the platform's log, such as <http://127.0.0.1:7001>
    #[argh(option)]
    pub log: String,
    /// version that the set was made from; the newest if omitted
    #[argh(option)]
    pub based_on: Option<u64>,
    /// your name, for the others
    #[argh(option, default = "String::from(\"operator\")")]
    pub author: String,
}

/// print the set in force as it was published
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "current")]
pub struct CurrentArgs {
    /// address of the platform's log, such as <http://127.0.0.1:7001>
    #[argh(option)]
    pub log: String,
}

/// take a data centre out: it gets nothing new within seconds
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "out")]
pub struct OutArgs {
    /// name of the data centre
    #[argh(positional)]
    pub data_centre: String,
    /// address of the platform's log, such as <http://127.0.0.1:7001>
    #[argh(option)]
    pub log: String,
    /// your name, for the others
    #[argh(option, default = "String::from(\"operator\")")]
    pub author: String,
}

/// bring a data centre back
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "back")]
pub struct BackArgs {
    /// name of the data centre
    #[argh(positional)]
    pub data_centre: String,
    /// address of the platform's log, such as <http://127.0.0.1:7001>
    #[argh(option)]
    pub log: String,
    /// your name, for the others
    #[argh(option, default = "String::from(\"operator\")")]
    pub author: String,
}

/// show what is in force at each instance
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct ShowArgs {
    /// operators' addresses of the instances, with commas between
    #[argh(option)]
    pub instances: String,
}

/// explain the last decisions for a service, an upstream or a call
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// operators' addresses of the instances, with commas between
    #[argh(option)]
    pub instances: String,
    /// only this service
    #[argh(option)]
    pub service: Option<String>,
    /// only this upstream or data centre
    #[argh(option)]
    pub target: Option<String>,
    /// only the call with this id, from its chicorywing-call-id header
    #[argh(option)]
    pub call: Option<String>,
}

/// print the hash of an API key, read from standard input, for "`key_hashes`"
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "hash-key")]
pub struct HashKeyArgs {}
