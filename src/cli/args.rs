//! Arguments of the operators' command line.

use std::path::PathBuf;

use argh::FromArgs;

/// Checks and publishes the objects that configure chicorywing, shows the
/// version in force at each instance and explains routing decisions.
#[derive(Debug, FromArgs)]
#[argh(
    example = "{command_name} check objects.jsonc",
    example = "{command_name} publish objects.jsonc --log http://127.0.0.1:7001",
    example = "{command_name} out akl-1 --log http://127.0.0.1:7001",
    example = "{command_name} show --instances 127.0.0.1:8201,127.0.0.1:8202",
    note = "Exit codes: 0 success, 1 failure (a retry may succeed), 2 invalid input, 3 another \
            publish came first, 4 version not in force at every instance."
)]
pub struct Args {
    /// write JSON instead of text
    #[argh(switch)]
    pub json: bool,
    /// command to run
    #[argh(subcommand)]
    pub command: CommandArgs,
}

/// Commands of the operators' program.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum CommandArgs {
    /// Checks a file of objects.
    Check(CheckArgs),
    /// Publishes a file of objects.
    Publish(PublishArgs),
    /// Prints the objects in force.
    Current(CurrentArgs),
    /// Takes a data centre out of service.
    Out(OutArgs),
    /// Puts a data centre back into service.
    Back(BackArgs),
    /// Shows the status of each instance.
    Show(ShowArgs),
    /// Explains recent decisions.
    Explain(ExplainArgs),
    /// Hashes an API key.
    HashKey(HashKeyArgs),
}

/// check a set of objects and report every problem with its line
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// file with the objects, JSON with comments
    #[argh(positional)]
    pub file: PathBuf,
}

/// check a set of objects and publish it as the next version
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "publish")]
pub struct PublishArgs {
    /// file with the objects, JSON with comments
    #[argh(positional)]
    pub file: PathBuf,
    /// address of the platform's log, such as <http://127.0.0.1:7001>
    #[argh(option)]
    pub log: String,
    /// version that the objects were derived from; the newest if omitted
    #[argh(option)]
    pub based_on: Option<u64>,
    /// author of the version, as other operators see it
    #[argh(option, default = "String::from(\"operator\")")]
    pub author: String,
}

/// print the objects in force as they were published
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "current")]
pub struct CurrentArgs {
    /// address of the platform's log, such as <http://127.0.0.1:7001>
    #[argh(option)]
    pub log: String,
}

/// take a data centre out of service: within seconds it gets no new calls
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "out")]
pub struct OutArgs {
    /// name of the data centre
    #[argh(positional)]
    pub data_centre: String,
    /// address of the platform's log, such as <http://127.0.0.1:7001>
    #[argh(option)]
    pub log: String,
    /// author of the version, as other operators see it
    #[argh(option, default = "String::from(\"operator\")")]
    pub author: String,
}

/// put a data centre back into service
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "back")]
pub struct BackArgs {
    /// name of the data centre
    #[argh(positional)]
    pub data_centre: String,
    /// address of the platform's log, such as <http://127.0.0.1:7001>
    #[argh(option)]
    pub log: String,
    /// author of the version, as other operators see it
    #[argh(option, default = "String::from(\"operator\")")]
    pub author: String,
}

/// show the version in force, the peers and the pools of each instance
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct ShowArgs {
    /// admin addresses of the instances, separated by commas
    #[argh(option)]
    pub instances: String,
}

/// explain the latest decisions for a service, an upstream or a call
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// admin addresses of the instances, separated by commas
    #[argh(option)]
    pub instances: String,
    /// only decisions about this service
    #[argh(option)]
    pub service: Option<String>,
    /// only decisions for this upstream or data centre
    #[argh(option)]
    pub target: Option<String>,
    /// only decisions about the call with this id (its chicorywing-call-id header)
    #[argh(option)]
    pub call: Option<String>,
}

/// read an API key from standard input and print its hash for "`key_hashes`"
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "hash-key")]
pub struct HashKeyArgs {}
