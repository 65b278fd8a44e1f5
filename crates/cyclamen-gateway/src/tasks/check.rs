//! Asks workers whether they are there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_directory::Instance;
use cyclamen_dispatch::Target;
use cyclamen_replica::Start;

use crate::node::Node;
use crate::settings::span;
use crate::tasks::tell_all;

/// Questions that a worker leaves unanswered before it is suspected.
const QUESTIONS: u32 = 2;
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
        check_worker(node, member);
    }
}

/// Asks one worker, and suspects it if it does not answer.
pub(super) fn check_worker(node: &Arc<Node>, worker: Arc<Instance>) {
    let node = node.clone();
    let checking = async move {
        let start = Start::from(worker.as_ref());
        if answers(&node, worker.address).await {
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
pub(super) async fn answers(node: &Arc<Node>, address: SocketAddr) -> bool {
    let timeout = span(node.settings.timing.report_timeout_ms);
    for _ in 0..QUESTIONS {
        if node.platform.answers(address, timeout).await {
            return true;
        }
    }
    false
}

/// Asks again the workers that are suspected, and members of groups in own domains that are
/// no longer listed, which may end their work or be gone.
pub(super) fn recheck(node: &Arc<Node>) {
    let workers: Vec<Arc<Instance>> = {
        let state = node.state();
        let entries = state.register.entries();
        let due = entries.filter(|entry| {
            let instance = &entry.instance;
            let domain = instance.domain.as_ref();
            let own = domain.is_some_and(|d| state.ownership.planners.contains_key(d));
            let departed = own && entry.has_departed() && instance.membership.is_some();
            departed || state.detector.is_own(&Start::from(instance.as_ref()))
        });
        due.map(|entry| entry.instance.clone()).collect()
    };
    for worker in workers {
        check_worker(node, worker);
    }
}
