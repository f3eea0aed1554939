//! What lives as long as a connection to another process.

pub mod caller;
pub mod exchange;
pub mod list;
pub mod log;
pub mod peer;
pub mod upstream;
pub mod wire;
