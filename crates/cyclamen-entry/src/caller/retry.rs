//! What is known of a request that is tried more than once.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_types::domain;

use crate::caller::refusal::Refusal;
use crate::node::{self, Node};

/// Tries of one request, besides the budget of the entry.
const TRY_LIMIT: u32 = 6;
/// When to come back after the retry budget is spent.
const BUDGET_RETRY: Duration = Duration::from_secs(2);

/// The tries of one request.
#[derive(Debug, Default)]
pub(crate) struct Trail {
    /// Domains that refused the request.
    pub(crate) tried: BTreeSet<domain::Name>,
    /// Whether any try may have reached an endpoint.
    pub(crate) sent: bool,
    tries: u32,
}

impl Trail {
    /// Counts a first try.
    pub(crate) fn begin(node: &Node) -> Self {
        node.state().budget.record_attempt();
        Self::default()
    }

    /// Counts one more try, or gives up.
    pub(crate) fn again(&mut self, node: &Arc<Node>) -> Result<(), Refusal> {
        self.tries += 1;
        if self.tries >= TRY_LIMIT || !node.state().budget.try_spend() {
            return Err(self.refusal(Refusal::not_now(503, "retries_spent", BUDGET_RETRY)));
        }
        node.metrics.record_retry();
        Ok(())
    }

    /// The refusal of a request that no domain admitted.
    pub(crate) fn not_admitted(&self, refusal: node::Refusal) -> Refusal {
        self.refusal(refusal.into())
    }

    /// A refusal that does not say "not run" of a request that may have been sent.
    fn refusal(&self, refusal: Refusal) -> Refusal {
        if !self.sent {
            return refusal;
        }
        let message = "the endpoints that ran the request failed";
        Refusal::failed("endpoint_failed", message, refusal.retry_after)
    }
}
