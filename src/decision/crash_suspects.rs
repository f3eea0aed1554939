//! Names of a request and of an upstream process, for requests that end the upstreams
//! that run them.

use std::sync::Arc;

/// Identifies a request across its repetitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint {
    /// Hash of the method, host, target and body.
    pub content: u64,
    /// Hash of the headers, which differ between callers.
    pub variant: u64,
}

/// One life of an upstream process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamLifetime {
    /// Unique name of the upstream.
    pub upstream: Arc<str>,
    /// Start of its process, in Unix milliseconds; 0 if unknown.
    pub started_at_ms: u64,
}
