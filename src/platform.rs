//! Translates between the gateway and the users' platform.
//!
//! The platform's words stay in here: its machines are instances, its zones
//! data centres, its back ends upstreams, its manifests versions.

mod records;
mod store;

pub use store::PlatformStore;
