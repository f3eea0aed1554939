//! Daemon of an entry instance.

use std::process::ExitCode;

use chicorywing::cli::daemon;

fn main() -> ExitCode {
    daemon::run()
}
