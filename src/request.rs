//! One request: its call, attempts, context, headers and outcome.

pub mod attempt;
pub mod body;
pub mod call;
pub mod context;
pub mod headers;
pub mod outcome;
