//! Exit codes of the programs.

use std::process::ExitCode;

/// Exit code of a program; `chicorywing` uses all, the daemons the first three.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// 0: success.
    Success,
    /// 1: failure; a retry may succeed.
    Failure,
    /// 2: the settings, the objects or the arguments are invalid.
    BadInput,
    /// 3: another publish came first.
    Conflict,
    /// 4: not every instance has the newest version in force.
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
