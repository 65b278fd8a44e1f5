//! Asks workers whether they are there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_directory::Instance;
use cyclamen_dispatch::Target;
use cyclamen_replica::Start;

use crate::node::{Node, State};
use crate::settings::span;
use crate::tasks::gossip::SMALL_FLEET;
use crate::tasks::tell_all;

/// Questions that a worker leaves unanswered before it is suspected.
pub(super) const FIRST_QUESTIONS: u32 = 2;
/// Questions that a suspected worker leaves unanswered to stay so.
const FURTHER_QUESTIONS: u32 = 1;
/// The least time between two checks of one group.
const CHECK_EVERY: Duration = Duration::from_millis(250);
/// Checks of groups that an entry makes in a second.
const CHECKS_PER_SECOND: usize = 8;

/// Asks every member of the group whose head a worker is.
///
/// A check that was made a moment ago is not repeated. Workers of plain
/// services are not asked: each question takes a place of a request.
pub(crate) fn check_target(node: &Arc<Node>, target: &Target) {
    if target.model.is_none() {
        return;
    }
    let now = node.now();
    let id = &target.instance;
    let members: Vec<Arc<Instance>> = {
        let mut state = node.state();
        let last = state.checked.get(id);
        if last.is_some_and(|at| now.since(*at) < CHECK_EVERY) {
            return;
        }
        state
            .checked
            .retain(|_, at| now.since(*at) < Duration::from_secs(1));
        if state.checked.len() >= CHECKS_PER_SECOND {
            return;
        }
        state.checked.insert(id.clone(), now);
        let group = state.group_of_head(id);
        group.map_or_else(Vec::new, |g| g.members.into_values().collect())
    };
    log::info!("event=group_checked head={id} members={}", members.len());
    for member in members {
        check_worker(node, member, FIRST_QUESTIONS);
    }
}

/// Asks one worker, and suspects it if it does not answer.
pub(super) fn check_worker(node: &Arc<Node>, worker: Arc<Instance>, questions: u32) {
    let node = node.clone();
    let checking = async move {
        let start = Start::from(worker.as_ref());
        if answers(&node, worker.address, questions).await {
            let now = node.now();
            node.state().restore(now, &start);
            return;
        }
        let now = node.now();
        let news = node.state().suspect(now, &start);
        if news {
            tell_all(&node);
            node.wake_planner();
        }
    };
    smol::spawn(checking).detach();
}

/// Whether a worker answers one of a few questions.
pub(super) async fn answers(node: &Arc<Node>, address: SocketAddr, questions: u32) -> bool {
    let timeout = span(node.settings.timing.report_timeout_ms);
    for _ in 0..questions {
        if node.platform.answers(address, timeout).await {
            return true;
        }
    }
    false
}

/// Asks again the workers that are suspected, and members of groups in own domains that are
/// no longer listed, which may end their work or be gone.
pub(super) fn recheck(node: &Arc<Node>) {
    let now = node.now();
    let (suspected, departed): (Vec<_>, Vec<_>) = {
        let state = node.state();
        let entries = state.register.entries();
        let due = entries.filter(|entry| {
            let instance = &entry.instance;
            if state.is_suspected(instance) {
                let start = Start::from(instance.as_ref());
                return state
                    .detector
                    .is_probe_due(now, &start, is_near(&state, instance));
            }
            entry.has_departed() && instance.membership.is_some() && is_own(&state, instance)
        });
        let due = due.map(|entry| entry.instance.clone());
        due.partition(|instance| state.is_suspected(instance))
    };
    for worker in suspected {
        check_worker(node, worker, FURTHER_QUESTIONS);
    }
    for worker in departed {
        check_worker(node, worker, FIRST_QUESTIONS);
    }
}

/// Whether a worker is in a fabric domain that this entry owns.
fn is_own(state: &State, instance: &Instance) -> bool {
    let domain = instance.domain.as_ref();
    domain.is_some_and(|domain| state.ownership.planners.contains_key(domain))
}

/// Whether this entry is among the few that ask a suspected worker for all others.
fn is_near(state: &State, instance: &Instance) -> bool {
    let domain = instance.domain.as_ref();
    let in_cell = domain.is_some_and(|domain| state.cell.domains.contains(domain));
    state.peers.len() <= SMALL_FLEET || in_cell || is_own(state, instance)
}
