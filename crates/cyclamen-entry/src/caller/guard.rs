//! Counts of requests in progress, taken back when they end.

use std::sync::Arc;

use cyclamen_tables::Team;
use cyclamen_types::team;

use crate::caller::refusal::Refusal;
use crate::node::Node;

/// The time after which a team at its concurrency may come back.
const CONCURRENCY_RETRY: std::time::Duration = std::time::Duration::from_secs(1);

/// A request in progress within its team's contract.
pub(crate) struct Guard {
    node: Arc<Node>,
    team: team::Name,
}

impl Guard {
    /// Counts a request, or refuses it by its team's contract.
    pub(crate) fn take(node: &Arc<Node>, team: &Team) -> Result<Self, Refusal> {
        use cyclamen_route::limit::Refusal as Limit;
        let now = node.now();
        let mut state = node.state();
        let started = state.limiter.start(now, &team.name, &team.contract);
        started.map_err(|limit| match limit {
            Limit::Rate(wait) => Refusal::not_now(429, "rate_limit", wait),
            Limit::Concurrency => Refusal::not_now(429, "concurrency_limit", CONCURRENCY_RETRY),
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
