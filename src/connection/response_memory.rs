//! Limits the memory that responses take while they are read and forwarded.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// Memory reserved for each byte of a body: its buffer doubles when it grows.
const RESERVED_PER_BYTE: usize = 2;

/// Memory shared by all responses of the process.
///
/// A response may grow to the size of what is still free, so that a few responses
/// without end cannot use up the memory of ordinary ones.
#[derive(Debug)]
pub struct ResponseMemory {
    limit_bytes: usize,
    reserved_bytes: AtomicUsize,
}

impl ResponseMemory {
    /// Creates a limit of `limit_bytes`, with nothing reserved.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            limit_bytes,
            reserved_bytes: AtomicUsize::new(0),
        })
    }

    /// Memory that responses hold now, in bytes.
    #[must_use]
    pub fn reserved_bytes(&self) -> usize {
        self.reserved_bytes.load(Ordering::Relaxed)
    }
}

/// Memory reserved for one response; released when dropped.
#[derive(Debug)]
pub struct ResponseReservation {
    memory: Arc<ResponseMemory>,
    bytes: usize,
}

impl ResponseReservation {
    /// Creates an empty reservation.
    #[must_use]
    pub fn new(memory: &Arc<ResponseMemory>) -> Self {
        Self {
            memory: Arc::clone(memory),
            bytes: 0,
        }
    }

    /// Reserves memory for a body of `length` bytes in all; false if it is too long.
    #[must_use]
    pub fn grow_to(&mut self, length: usize) -> bool {
        let wanted = length.saturating_mul(RESERVED_PER_BYTE);
        if wanted <= self.bytes {
            return true;
        }
        let reserved = self.memory.reserved_bytes.load(Ordering::Relaxed);
        let others = reserved.saturating_sub(self.bytes);
        let free_after = self
            .memory
            .limit_bytes
            .saturating_sub(others.saturating_add(wanted));
        if wanted > free_after {
            return false;
        }
        let added = wanted - self.bytes;
        self.memory
            .reserved_bytes
            .fetch_add(added, Ordering::Relaxed);
        self.bytes = wanted;
        true
    }

    /// Whether a body of `length` bytes could be read if no other response held memory.
    #[must_use]
    pub fn fits_alone(&self, length: usize) -> bool {
        let wanted = length.saturating_mul(RESERVED_PER_BYTE);
        wanted <= self.memory.limit_bytes / 2
    }

    /// Keeps the reservation until the last reference to the body is dropped.
    #[must_use]
    pub fn attach_to(self, body: Bytes) -> Bytes {
        if body.is_empty() {
            return body;
        }
        Bytes::from_owner(ReservedBody {
            body,
            _reservation: self,
        })
    }
}

impl Drop for ResponseReservation {
    fn drop(&mut self) {
        self.memory
            .reserved_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

struct ReservedBody {
    body: Bytes,
    _reservation: ResponseReservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
