//! Which workers may get a request.

use std::time::Duration;

use crate::dispatcher::worker::InProgress;
use crate::options::Options;
use crate::request::{Criteria, Target};

/// A worker may queue up to its number of slots divided by this.
const QUEUE_DIVISOR: u32 = 4;

impl Options {
    /// Returns whether a worker may get the request.
    ///
    /// Of the request's own prompt, only the part beyond one chunk counts towards the
    /// wait, so that large requests within a chunk are not refused more often than
    /// small ones.
    pub(super) fn accepts(
        &self,
        criteria: &Criteria<'_>,
        target: &Target,
        in_progress: InProgress,
        wait: Duration,
    ) -> bool {
        let room = target.slots.saturating_add(target.slots / QUEUE_DIVISOR);
        let full = in_progress.running >= room;
        let max_wait = if criteria.late {
            criteria.remaining / 2
        } else {
            let max_wait = criteria.goal.as_secs_f64() * self.max_wait_ratio;
            let max_wait = Duration::try_from_secs_f64(max_wait);
            max_wait.unwrap_or(Duration::MAX).min(criteria.remaining)
        };
        !full && wait <= max_wait
    }
}
