//! The operators' command line.

use std::process::ExitCode;

use chicorywing::cli::operator;

fn main() -> ExitCode {
    operator::run()
}
