//! What lives as long as one request.

pub mod attempt;
pub mod body;
pub mod call;
pub mod context;
pub mod headers;
pub mod outcome;
