//! Command line of the gateway's daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use super::exit_codes::Exit;
use crate::gateway::run::Signals;
use crate::gateway::settings::Settings;
use crate::gateway::{logging, run as gateway_run};
use crate::platform::PlatformStore;

/// Gateway of chicorywing: routes requests by host and path and forwards them
/// to upstreams.
#[derive(Debug, FromArgs)]
#[argh(example = "{command_name} --settings gateway.jsonc")]
struct GatewayArgs {
    /// settings file, JSON with comments; docs/OPERATIONS.md lists its fields
    #[argh(option)]
    settings: PathBuf,
}

/// Runs the gateway until it is asked to stop, and returns its exit code.
#[must_use]
pub fn run() -> ExitCode {
    let args: GatewayArgs = argh::from_env();
    // One thread, because a gateway's machine gets only part of a core.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error, Exit::Failure),
    };
    // Before anything that takes time: without a handler, SIGHUP ends the process.
    let signals = match runtime.block_on(async { Signals::install() }) {
        Ok(signals) => signals,
        Err(error) => return fail(&error, Exit::Failure),
    };
    let settings = match Settings::load(&args.settings) {
        Ok(settings) => settings,
        Err(error) => return fail(&error, Exit::BadInput),
    };
    let _log_guard = logging::init(&settings.log_filter);
    let platform = PlatformStore::new(settings.store_address);
    let running = gateway_run::run(platform, settings, args.settings, signals);
    match runtime.block_on(running) {
        Ok(()) => Exit::Success.into(),
        Err(error) => fail(&error, Exit::Failure),
    }
}

fn fail(error: &dyn std::error::Error, exit: Exit) -> ExitCode {
    eprintln!("chicorywing-gateway: {error}");
    exit.into()
}
