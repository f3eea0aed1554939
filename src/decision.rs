//! Pure decisions of the gateway: no sockets, and no clock but the time
//! handed in.

pub mod admission;
pub mod cold_limiter;
pub mod directory;
pub mod ejection;
pub mod manifest;
pub mod probe_budget;
pub mod rendezvous;
pub mod retry_budget;
pub mod selection;
pub mod store_reader;
pub mod traffic_split;
