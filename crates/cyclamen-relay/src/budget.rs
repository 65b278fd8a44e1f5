//! Memory that the responses held by a process share.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A number of bytes that all responses in memory share; clones share the same one.
#[derive(Debug, Clone)]
pub struct Budget {
    limit: usize,
    reserved: Arc<AtomicUsize>,
}

impl Budget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            reserved: Arc::default(),
        }
    }

    /// Returns a reservation of no bytes, which can grow.
    pub fn reservation(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Returns the number of bytes that are reserved.
    pub fn reserved(&self) -> usize {
        self.reserved.load(Ordering::Relaxed)
    }
}

/// A part of a [`Budget`], which is returned to it on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: Budget,
    bytes: usize,
}

impl Reservation {
    /// Reserves this number of bytes instead of the present one; returns `false`, and changes
    /// nothing, if the budget has no room for them.
    pub fn resize(&mut self, bytes: usize) -> bool {
        if let Some(more) = bytes.checked_sub(self.bytes) {
            return self.grow(more);
        }
        let fewer = self.bytes - bytes;
        self.budget.reserved.fetch_sub(fewer, Ordering::Relaxed);
        self.bytes = bytes;
        true
    }

    /// Reserves more bytes; returns `false`, and reserves none, if the budget has no room for them.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let limit = self.budget.limit;
        let enlarged = |reserved: usize| reserved.checked_add(bytes).filter(|sum| *sum <= limit);
        let reserved = &self.budget.reserved;
        let grown = reserved.fetch_update(Ordering::Relaxed, Ordering::Relaxed, enlarged);
        if grown.is_ok() {
            self.bytes += bytes;
        }
        grown.is_ok()
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget
            .reserved
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
