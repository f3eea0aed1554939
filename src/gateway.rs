//! The gateway: routes callers' requests by host and path, and forwards each to
//! the upstream that is expected to answer first.
//!
//! This module does the I/O; [`crate::decision`] makes the decisions. A
//! [`store::Platform`] defines the record formats and header names.

pub mod attempts;
pub mod caller_stream;
pub mod calls;
pub mod crash_evidence;
pub mod fingerprint;
pub mod follower;
pub mod forward;
pub mod hand_over;
pub mod handed;
pub mod instance_agreement;
pub mod limit_exchange;
pub mod limited_choice;
pub mod link_checks;
pub mod locality;
pub mod logging;
pub mod long_poll_checks;
pub mod long_values;
pub mod lost_records;
pub mod metrics;
pub mod notice_exchange;
pub mod offers;
pub mod outcome;
pub mod packed_values;
pub mod peer_builds;
pub mod peer_client;
pub mod peer_format;
pub mod peer_listener;
pub mod peer_push;
pub mod peers;
pub mod probing;
pub mod rate_limits;
pub mod reader_role;
pub mod relay;
pub mod run;
pub mod run_permit;
pub mod send_permit;
pub mod sending;
pub mod server;
pub mod settings;
pub mod state;
pub mod store;
pub mod store_trials;
pub mod stream_ages;
pub mod stream_copy;
pub mod supervisor;
pub mod suspect_records;
pub mod suspects;
pub mod taken;
pub mod unwanted;
pub mod upstream_client;
pub mod upstream_contact;
pub mod upstream_notices;
pub mod view;
mod view_log;
