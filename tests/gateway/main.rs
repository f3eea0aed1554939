//! Tests of the gateway with a fake platform and fake upstreams that misbehave.

mod fake;
mod fault_combinations;
mod follower;
mod forwarding;
mod reader_role;
mod server;
mod upstream;
