//! Why no worker may get a request, and when to ask again.

use std::time::Duration;

use rand::Rng;

use crate::options::Options;
use crate::request::{Criteria, Reason, Refusal};

/// The time over which the returns of callers are spread that are refused for want of permits.
const RETURN_SPREAD_SECONDS: f64 = 0.5;

/// Why matching workers were rejected.
#[derive(Debug, Default)]
pub(super) struct Rejections {
    pub(super) workers: usize,
    least_wait: Option<Duration>,
    /// The shortest time until a permit of a limited worker is asked for.
    hold: Option<Duration>,
    /// Whether any of these workers names a limit.
    is_limited: bool,
    /// Why the overloaded workers do not get it, if they decide by what can be in time.
    overload: Option<Reason>,
    /// The shortest remaining pause.
    pause: Option<Duration>,
}

impl Rejections {
    /// Returns that none of so many matching workers is rejected yet.
    pub(super) fn of(workers: usize) -> Self {
        Self {
            workers,
            ..Self::default()
        }
    }

    pub(super) fn record_overloaded(&mut self, wait: Duration) {
        self.least_wait = Some(self.least_wait.map_or(wait, |least| least.min(wait)));
    }

    /// Records why overloaded workers do not get the request.
    pub(super) fn record_reason(&mut self, reason: Reason) {
        self.overload = Some(reason);
    }

    pub(super) fn record_pause(&mut self, remaining: Duration) {
        self.pause = Some(self.pause.map_or(remaining, |least| least.min(remaining)));
    }

    pub(super) fn record_hold(&mut self, hold: Duration, is_limited: bool) {
        self.hold = Some(self.hold.map_or(hold, |least| least.min(hold)));
        self.is_limited |= is_limited;
    }

    /// Returns the refusal; if workers are overloaded, its retry delay is the time after which the
    /// shortest forecast wait should have fallen to half the latency goal.
    pub(super) fn refusal(
        self,
        criteria: &Criteria<'_>,
        options: &Options,
        rng: &mut impl Rng,
    ) -> Refusal {
        let (reason, wait) = match (self.least_wait, self.hold, self.pause) {
            (Some(wait), ..) => {
                let reason = self.overload.unwrap_or(Reason::Overloaded);
                (reason, wait.saturating_sub(criteria.goal / 2))
            }
            (None, Some(hold), _) => {
                let spread = rng.random::<f64>() * RETURN_SPREAD_SECONDS;
                let reason = if self.is_limited {
                    Reason::Limited
                } else {
                    Reason::Cold
                };
                (reason, hold + Duration::from_secs_f64(spread))
            }
            (None, None, Some(remaining)) => (Reason::Paused, remaining),
            (None, None, None) => (Reason::NoWorker, options.min_retry_after * 2),
        };
        Refusal {
            reason,
            workers: self.workers,
            least_wait: self.least_wait,
            retry_after: wait.max(options.min_retry_after),
        }
    }
}
