//! The gateway over a fake platform and upstreams that misbehave.

mod calls;
mod fake;
mod follower;
mod lives;
mod reader_role;
mod stopping;
mod upstream;
