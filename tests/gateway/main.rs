//! Tests of the gateway with a fake platform and fake upstreams that misbehave.

mod fake;
mod fault_combinations;
mod following;
mod forwarding;
mod server;
mod sharing;
mod upstream;
