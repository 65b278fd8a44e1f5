//! Requests that come while this entry shuts down.

use std::time::Duration;

use cyclamen_drain::Schedule;
use cyclamen_tables::Route;
use cyclamen_types::Time;

use crate::caller::refusal::Refusal;
use crate::caller::retry;
use crate::node::Node;

/// The retry delay sent to callers of an entry that shuts down; the others take their requests.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// What decides whether a request is accepted while this entry shuts down.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Bounds {
    /// When it ends at the latest; `None` if it only has to begin by its deadline.
    pub(crate) deadline: Option<Time>,
    pub(crate) is_repeatable: bool,
}

/// Refuses a request that the shutdown of this entry may abort.
pub(crate) fn check(node: &Node, route: &Route, bounds: Bounds) -> Result<(), Refusal> {
    let now = node.now();
    let state = node.state();
    let Some(drain) = state.drain else {
        return Ok(());
    };
    let longest = route.deadline();
    let expected = state.durations.expected(now, &route.name, longest);
    let request = cyclamen_drain::Request {
        deadline: bounds.deadline,
        expected: expected.or(Some(longest)),
        is_repeatable: bounds.is_repeatable,
    };
    if drain.accepts(now, &request) {
        return Ok(());
    }
    Err(not_run())
}

/// Refuses a completion that waits to be sent and is not expected to end in time.
pub(crate) fn check_waiting(node: &Node, route: &Route) -> Result<(), Refusal> {
    let now = node.now();
    let state = node.state();
    let longest = route.deadline();
    let expected = state.durations.expected(now, &route.name, longest);
    let is_late = |drain: Schedule| !drain.leaves(now, expected.unwrap_or(longest));
    if state.drain.is_some_and(is_late) {
        return Err(not_run());
    }
    Ok(())
}

/// Returns the refusal of a request that was not run since this entry shuts down.
pub(crate) fn not_run() -> Refusal {
    Refusal::retry_later(503, "draining", RETRY_DELAY)
}

/// Returns the refusal of a request that is aborted at the limit of a shutdown.
pub(crate) fn aborted(retry: &retry::State) -> Refusal {
    if !retry.may_run {
        return not_run();
    }
    Refusal::unknown(
        "the entry shuts down; the request may have run",
        Some(RETRY_DELAY),
    )
}

/// Records how long a request of a route lasted.
pub(crate) fn record_duration(node: &Node, route: &Route, started_at: Time) {
    let now = node.now();
    let mut state = node.state();
    state
        .durations
        .record(now, &route.name, now.since(started_at));
}
