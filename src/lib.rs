//! A load balancer for servers whose load shifts in milliseconds.
//!
//! The modules are laid out by the life span of what they hold: a
//! [`request`], a [`connection`], a configuration [`version`], the whole
//! [`process`]. [`cli`] is the command lines. The [`gateway`] serves callers by
//! host and path; its decisions stand in [`decision`], and [`platform`]
//! translates between it and the users' platform. `docs/ARCHITECTURE.md`
//! follows one call through them.

pub mod cli;
pub mod connection;
pub mod decision;
pub mod gateway;
pub mod platform;
pub mod process;
pub mod request;
pub mod version;
