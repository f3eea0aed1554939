//! The command lines of the daemons and of the operators' program.

pub mod args;
pub mod commands;
pub mod daemon;
pub mod edit;
pub mod exit_codes;
pub mod gateway;
pub mod operator;
pub mod output;
pub mod publish;
