//! How long the peers of a server may take.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// How long the peers of a server may take, which may change while it runs; zero stands for no limit.
#[derive(Debug, Default)]
pub struct Timeouts {
    head_ms: AtomicU64,
    idle_ms: AtomicU64,
}

impl Timeouts {
    /// Sets how long the head of a request may take, and how long a connection may be idle: without a
    /// request, or without taking anything of a response.
    pub fn set(&self, head: Duration, idle: Duration) {
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        self.head_ms.store(millis(head), Ordering::Relaxed);
        self.idle_ms.store(millis(idle), Ordering::Relaxed);
    }

    pub(crate) fn head(&self) -> Option<Duration> {
        limit(&self.head_ms)
    }

    pub(crate) fn idle(&self) -> Option<Duration> {
        limit(&self.idle_ms)
    }
}

fn limit(ms: &AtomicU64) -> Option<Duration> {
    let ms = ms.load(Ordering::Relaxed);
    (ms > 0).then(|| Duration::from_millis(ms))
}
