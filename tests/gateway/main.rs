//! Tests of the gateway with a fake platform and fake upstreams that misbehave.

mod builds;
mod call_forwarding;
mod crashing_requests;
mod cut_off;
mod endless_responses;
mod fake;
mod follower;
mod fragile;
mod hop;
mod hop_faults;
mod limited;
mod links;
mod outcomes;
mod process;
mod rate_limits;
mod reader_role;
mod server;
mod store_copy;
mod store_fork;
mod store_trials;
mod upstream;
mod upstream_answers;
