//! Counts of requests in progress, decremented when they end.

use std::sync::Arc;

use cyclamen_tables::Team;
use cyclamen_types::team;

use crate::caller::refusal::Refusal;
use crate::node::Node;

/// Retry delay of a team at its concurrency limit.
const CONCURRENCY_RETRY_DELAY: std::time::Duration = std::time::Duration::from_secs(1);

/// A request in progress, counted against its team's contract until it is dropped.
pub(crate) struct Guard {
    node: Arc<Node>,
    team: team::Name,
}

impl Guard {
    /// Counts a request; fails if its team's contract does not allow another one.
    pub(crate) fn acquire(node: &Arc<Node>, team: &Team) -> Result<Self, Refusal> {
        use cyclamen_route::limit::Refusal as Limit;
        let now = node.now();
        let mut state = node.state();
        let started = state.limiter.start(now, &team.name, &team.contract);
        started.map_err(|limit| match limit {
            Limit::Rate(wait) => Refusal::retry_later(429, "rate_limit", wait),
            Limit::Concurrency => {
                Refusal::retry_later(429, "concurrency_limit", CONCURRENCY_RETRY_DELAY)
            }
        })?;
        state.in_progress += 1;
        Ok(Self {
            node: node.clone(),
            team: team.name.clone(),
        })
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut state = self.node.state();
        state.limiter.end(&self.team);
        state.in_progress = state.in_progress.saturating_sub(1);
    }
}
