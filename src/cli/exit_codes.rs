//! How the programs end.

use std::process::ExitCode;

/// Exit codes of both programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    Success,
    /// Something failed that may work later.
    Failure,
    /// The settings, the set or the arguments have faults.
    BadInput,
    /// Another operator's publish came first.
    Conflict,
    /// Not all instances have the version in force.
    NotInForce,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Success => 0,
            Exit::Failure => 1,
            Exit::BadInput => 2,
            Exit::Conflict => 3,
            Exit::NotInForce => 4,
        })
    }
}
