//! The retry state of a request.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_types::domain;

use crate::caller::refusal::Refusal;
use crate::node::{self, Node};

/// Maximum tries of one request; the retry budget of the entry applies as well.
const MAX_TRIES: u32 = 6;
/// Retry delay after the tries of the request or the retry budget are spent.
const BUDGET_RETRY_DELAY: Duration = Duration::from_secs(2);

/// The retry state of one request.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// Domains that refused the request.
    pub(crate) tried: BTreeSet<domain::Name>,
    /// Whether any try may have reached an endpoint.
    pub(crate) sent: bool,
    /// Whether an endpoint may run the request now or have run it.
    pub(crate) may_run: bool,
    tries: u32,
}

impl State {
    /// Creates the state and records the first attempt in the retry budget.
    pub(crate) fn begin(node: &Node) -> Self {
        node.state().budget.record_first_attempt();
        Self::default()
    }

    /// Records a retry; fails if no try of the request or no retry budget is left.
    pub(crate) fn record_retry(&mut self, node: &Arc<Node>) -> Result<(), Refusal> {
        self.tries += 1;
        if self.tries >= MAX_TRIES || !node.state().budget.try_spend() {
            return Err(self.refusal(Refusal::retry_later(
                503,
                "retries_spent",
                BUDGET_RETRY_DELAY,
            )));
        }
        node.metrics.record_retry();
        Ok(())
    }

    /// Returns the refusal of a request that no domain admitted.
    pub(crate) fn admission_refusal(&self, refusal: node::Refusal) -> Refusal {
        self.refusal(refusal.into())
    }

    /// Returns the given refusal, or one with `Outcome::Failed` if the request may have been
    /// sent.
    fn refusal(&self, refusal: Refusal) -> Refusal {
        if !self.sent {
            return refusal;
        }
        let message = "the endpoints that ran the request failed";
        Refusal::failed("endpoint_failed", message, refusal.retry_after)
    }
}
