//! Connections to other processes: callers, upstreams, peers and the platform's
//! services.

pub mod arrivals;
pub mod caller;
pub mod exchange;
mod head;
pub mod list;
pub mod log;
pub mod peer;
pub mod response_memory;
pub mod upstream;
pub mod wire;
