//! The gateway over a fake platform and upstreams that misbehave.

mod fake;
mod fault_combinations;
mod following;
mod forwarding;
mod server;
mod sharing;
mod upstream;
