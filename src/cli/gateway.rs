//! Command line of the gateway's daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use super::exit_codes::Exit;
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
    let settings = match Settings::load(&args.settings) {
        Ok(settings) => settings,
        Err(error) => return fail(&error, Exit::BadInput),
    };
    let _log_guard = logging::init(&settings.log_filter);
    // One thread, because a gateway's machine gets only part of a core.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let platform = PlatformStore::new(settings.store_address);
    let result = match runtime {
        Ok(runtime) => runtime.block_on(gateway_run::run(platform, settings, args.settings)),
        Err(error) => return fail(&error, Exit::Failure),
    };
    match result {
        Ok(()) => Exit::Success.into(),
        Err(error) => fail(&error, Exit::Failure),
    }
}

fn fail(error: &dyn std::error::Error, exit: Exit) -> ExitCode {
    eprintln!("chicorywing-gateway: {error}");
    exit.into()
}
