//! Daemon of the gateway.

use std::process::ExitCode;

use chicorywing::cli::gateway;

fn main() -> ExitCode {
    gateway::run()
}
