//! The gateway over a fake platform and upstreams that misbehave.

mod calls;
mod fake;
mod following;
mod lives;
mod sharing;
mod stopping;
mod upstream;
