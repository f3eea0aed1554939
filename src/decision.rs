//! Pure decisions of the gateway: no sockets, and no clock but the time
//! handed in.

pub mod admission;
pub mod cold_share;
pub mod condition;
pub mod directory;
pub mod manifest;
pub mod probe_budget;
pub mod readers;
pub mod rendezvous;
pub mod repeats;
pub mod selection;
pub mod split;
