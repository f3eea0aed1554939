//! A load balancer for servers whose load shifts in milliseconds.
//!
//! The modules are laid out by the life span of what they hold: a
//! [`request`], a [`connection`], a configuration [`version`], the whole
//! [`process`]. [`cli`] is the operators' command line.
//! `docs/ARCHITECTURE.md` follows one call through them.

pub mod cli;
pub mod connection;
pub mod process;
pub mod request;
pub mod version;
