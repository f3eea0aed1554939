//! Command line of the gateway's daemon.

use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;

use super::exit_codes::Exit;
use crate::gateway::run::Signals;
use crate::gateway::settings::Settings;
use crate::gateway::{logging, run as gateway_run};
use crate::platform::{PlatformStore, decode_manifest};

/// Gateway of chicorywing: routes requests by host and path and forwards them
/// to upstreams.
#[derive(Debug, FromArgs)]
#[argh(
    example = "{command_name} --settings gateway.jsonc",
    example = "{command_name} --check-version config.json"
)]
struct GatewayArgs {
    /// settings file, JSON with comments; docs/OPERATIONS.md lists its fields
    #[argh(option)]
    settings: Option<PathBuf>,
    /// file with a version of the platform's routes and services; names what this build cannot
    /// read in it, and ends
    #[argh(option)]
    check_version: Option<PathBuf>,
}

/// Runs the gateway until it is asked to stop, and returns its exit code.
#[must_use]
pub fn run() -> ExitCode {
    let args: GatewayArgs = argh::from_env();
    let settings = match (args.settings, args.check_version) {
        (Some(settings), None) => settings,
        (None, Some(path)) => return check_version(&path),
        _ => {
            return fail(
                &"give either --settings FILE or --check-version FILE",
                Exit::BadInput,
            );
        }
    };
    serve(settings)
}

/// Names each value of a version that this build cannot read, with its line.
fn check_version(path: &Path) -> ExitCode {
    let text = match std::fs::read(path) {
        Ok(text) => text,
        Err(error) => return fail(&format!("{}: {error}", path.display()), Exit::BadInput),
    };
    let manifest = match decode_manifest(&text) {
        Ok(manifest) => manifest,
        Err(error) => return fail(&format!("{}: {error}", path.display()), Exit::BadInput),
    };
    for unread in &manifest.unread {
        println!("{}:{}: {unread}", path.display(), unread.line);
    }
    if manifest.unread.is_empty() {
        Exit::Success.into()
    } else {
        Exit::BadInput.into()
    }
}

fn serve(settings_path: PathBuf) -> ExitCode {
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
    let settings = match Settings::load(&settings_path) {
        Ok(settings) => settings,
        Err(error) => return fail(&error, Exit::BadInput),
    };
    let _log_guard = logging::init(&settings.log_filter);
    let platform = PlatformStore::new(settings.store_address);
    let running = gateway_run::run(platform, settings, settings_path, signals);
    match runtime.block_on(running) {
        Ok(()) => Exit::Success.into(),
        Err(error) => fail(&error, Exit::Failure),
    }
}

fn fail(error: &dyn Display, exit: Exit) -> ExitCode {
    eprintln!("chicorywing-gateway: {error}");
    exit.into()
}
