//! The gateway: takes callers' requests by host and path, and brings each to
//! the upstream that answers it soonest.
//!
//! The decisions stand in [`crate::decision`]; here is what does the I/O. What
//! a platform calls things is told by a [`store::Platform`].

pub mod calls;
pub mod follower;
pub mod forward;
pub mod links;
pub mod logging;
pub mod metrics;
pub mod outcome;
pub mod probing;
pub mod reader_role;
pub mod relay;
pub mod run;
pub mod sending;
pub mod server;
pub mod settings;
pub mod state;
pub mod store;
pub mod view;
