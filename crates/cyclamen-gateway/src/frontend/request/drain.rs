//! What the shutdown of this entry does to requests.

use std::time::Duration;

use crate::frontend::refusal::Refusal;
use crate::frontend::request::Request;

/// The retry delay sent to callers of an entry that shuts down; the others take their requests.
const DRAINING_RETRY_DELAY: Duration = Duration::from_millis(100);

impl Request {
    /// Refuses a request that no worker runs if the shutdown of this entry may abort it.
    pub(crate) fn check_drain(&self) -> Result<(), Refusal> {
        if self.may_run() || self.call.ends_before_drain_limit() {
            return Ok(());
        }
        Err(Refusal {
            was_sent: self.sent > 0,
            ..Refusal::retry_later("draining", DRAINING_RETRY_DELAY)
        })
    }

    /// Logs and counts the end of a request that is aborted by the shutdown of this entry.
    pub(crate) fn record_abortion(&mut self) -> Refusal {
        let refusal = if self.may_run() {
            Refusal::failed("drain_limit")
        } else {
            Refusal::retry_later("drain_limit", DRAINING_RETRY_DELAY)
        };
        self.record_refusal(refusal)
    }

    /// Returns whether a worker may run the request or have run it.
    fn may_run(&self) -> bool {
        self.may_have_run || self.sent > self.not_run
    }
}
