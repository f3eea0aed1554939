//! Decisions of the gateway as pure functions and state machines: no sockets,
//! and every function that needs the time gets it as an argument.

pub mod admission;
pub mod allowances;
pub mod cold_limiter;
pub mod crash_suspects;
pub mod directory;
pub mod ejection;
pub mod exchanged_reports;
pub mod fair_shares;
pub mod instance_agreement;
pub mod known_loads;
pub mod locality;
pub mod manifest;
pub mod notice_headers;
pub mod organisations;
pub mod peer_contacts;
pub mod probe_budget;
pub mod rate_limits;
pub mod reached_share;
pub mod rendezvous;
pub mod retry_budget;
pub mod return_schedule;
pub mod rollout;
pub mod route_times;
pub mod run_permits;
pub mod selection;
pub mod send_permits;
pub mod start_questions;
pub mod stop_time;
pub mod store_reader;
pub mod traffic_split;
pub mod upstream_contact;
pub mod upstream_notices;
pub mod upstream_subset;
