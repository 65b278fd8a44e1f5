//! Why no worker may get a request, and when it may be worth to ask again.

use std::time::Duration;

use crate::options::Options;
use crate::request::{Criteria, Reason, Refusal};

/// Retry delay for callers that are refused because all workers are cold and this entry's quotas
/// are used up.
const COLD_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Why matching workers were rejected.
#[derive(Debug, Default)]
pub(super) struct Rejections {
    pub(super) workers: usize,
    least_wait: Option<Duration>,
    pub(super) cold: bool,
    /// The shortest remaining pause.
    pause: Option<Duration>,
}

impl Rejections {
    pub(super) fn record_overloaded(&mut self, wait: Duration) {
        self.least_wait = Some(self.least_wait.map_or(wait, |least| least.min(wait)));
    }

    pub(super) fn record_pause(&mut self, remaining: Duration) {
        self.pause = Some(self.pause.map_or(remaining, |least| least.min(remaining)));
    }

    /// Returns the refusal; if workers are overloaded, its retry delay is the time after which the
    /// shortest forecast wait should have fallen to half the latency goal.
    pub(super) fn refusal(self, criteria: &Criteria<'_>, options: &Options) -> Refusal {
        let (reason, wait) = match (self.least_wait, self.cold, self.pause) {
            (Some(wait), ..) => (Reason::Overloaded, wait.saturating_sub(criteria.goal / 2)),
            (None, true, _) => (Reason::Cold, COLD_RETRY_DELAY),
            (None, false, Some(remaining)) => (Reason::Paused, remaining),
            (None, false, None) => (Reason::NoWorker, options.min_retry_after * 2),
        };
        Refusal {
            reason,
            workers: self.workers,
            least_wait: self.least_wait,
            retry_after: wait.max(options.min_retry_after),
        }
    }
}
