//! Command line of the entry instance's daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use super::exit_codes::Exit;
use crate::process::config::Config;
use crate::process::{logging, run as process_run};

/// Entry instance of chicorywing: accepts calls and forwards them to upstreams.
#[derive(Debug, FromArgs)]
#[argh(example = "{command_name} --settings entry-1.jsonc")]
struct DaemonArgs {
    /// settings file, JSON with comments; docs/operators/run.md lists its fields
    #[argh(option)]
    settings: PathBuf,
}

/// Runs the daemon until it is asked to stop, and returns its exit code.
#[must_use]
pub fn run() -> ExitCode {
    let args: DaemonArgs = argh::from_env();
    let config = match Config::load(&args.settings) {
        Ok(config) => config,
        Err(error) => return fail(&error, Exit::BadInput),
    };
    logging::init(&config);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(config.worker_threads)
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(process_run::run(config)),
        Err(error) => return fail(&error, Exit::Failure),
    };
    match result {
        Ok(()) => Exit::Success.into(),
        Err(error) => fail(&error, Exit::Failure),
    }
}

fn fail(error: &dyn std::error::Error, exit: Exit) -> ExitCode {
    eprintln!("chicorywingd: {error}");
    exit.into()
}
