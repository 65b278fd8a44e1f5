//! Asks workers whether they are there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_directory::Instance;
use cyclamen_dispatch::Target;

use crate::node::Node;
use crate::settings::span;
use crate::tasks::tell_all;

/// Questions that a worker leaves unanswered before it is doubted.
const QUESTIONS: u32 = 2;
/// The least time between two checks of one group.
const CHECK_EVERY: Duration = Duration::from_millis(250);

/// Asks a worker that fails requests, and every member of its group, if it has one.
///
/// A check that was made a moment ago is not repeated.
pub(crate) fn check_target(node: &Arc<Node>, target: &Target) {
    let now = node.now();
    let id = &target.instance;
    let members: Vec<Arc<Instance>> = {
        let mut state = node.state();
        let last = state.checked.get(id);
        if last.is_some_and(|at| now.since(*at) < CHECK_EVERY) {
            return;
        }
        state.checked.insert(id.clone(), now);
        match state.group_of_head(id) {
            Some(group) => group.members.into_values().collect(),
            None => {
                let listed = state.register.get(id);
                listed.map(|e| e.instance.clone()).into_iter().collect()
            }
        }
    };
    log::info!("event=group_checked head={id} members={}", members.len());
    for member in members {
        check_worker(node, member);
    }
}

/// Asks one worker, and doubts it if it does not answer.
fn check_worker(node: &Arc<Node>, worker: Arc<Instance>) {
    let node = node.clone();
    let checking = async move {
        if answers(&node, worker.address).await {
            let now = node.now();
            node.state().trust(now, &worker.id, worker.incarnation);
            return;
        }
        let now = node.now();
        let news = node.state().doubt(now, &worker.id, worker.incarnation);
        if news {
            tell_all(&node);
            node.wake_planner();
        }
    };
    smol::spawn(checking).detach();
}

async fn answers(node: &Arc<Node>, address: SocketAddr) -> bool {
    let timeout = span(node.settings.timing.report_timeout_ms);
    for _ in 0..QUESTIONS {
        if node.platform.report(address, timeout).await.is_some() {
            return true;
        }
    }
    false
}

/// Asks doubted workers again that are still listed.
pub(super) fn recheck_doubted(node: &Arc<Node>) {
    let doubted: Vec<Arc<Instance>> = {
        let state = node.state();
        let listed = state.register.entries().map(|entry| &entry.instance);
        listed.filter(|i| state.is_doubted(i)).cloned().collect()
    };
    for worker in doubted {
        check_worker(node, worker);
    }
}
