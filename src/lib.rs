//! A load balancer for servers whose load shifts in milliseconds.
//!
//! The modules of the entry instance follow the lifetime of their state: one
//! [`request`], one [`connection`], one configuration [`version`] or the whole
//! [`process`]. The [`gateway`] routes requests by host and path; [`decision`]
//! holds its decision logic, and [`platform`] translates between it and the
//! users' platform. [`cli`] holds the command lines of all programs.
//! `docs/ARCHITECTURE.md` follows one call through the modules.

pub mod cli;
pub mod connection;
pub mod decision;
pub mod gateway;
pub mod platform;
pub mod process;
pub mod request;
pub mod version;
