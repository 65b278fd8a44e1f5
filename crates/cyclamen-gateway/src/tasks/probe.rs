//! Probes workers that may have failed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_directory::Instance;
use cyclamen_dispatch::Target;
use cyclamen_replica::Start;
use cyclamen_types::{Time, instance};

use crate::node::{LimitSource, Node, ProbeCause, State};
use crate::settings::millis;
use crate::tasks::{gossip_now, paths, record_notices};

/// The number of probes in a row that a worker has to fail to become suspected.
pub(super) const INITIAL_PROBES: u32 = 2;
/// The number of probes in a row that a suspected worker has to fail to remain suspected.
pub(super) const REPEAT_PROBES: u32 = 1;
/// The minimum interval between probes of the same group.
const MIN_GROUP_PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// The maximum number of groups that an entry probes per second.
const MAX_GROUP_PROBES_PER_SECOND: usize = 8;

/// Probes every member of the group that a target heads, or the worker of a plain service.
///
/// A group that was probed a moment ago is not probed again.
pub(crate) fn probe_group(node: &Arc<Node>, target: &Target) {
    paths::check(node);
    let members = {
        let now = node.now();
        let mut state = node.state();
        if !start_group_probe(&mut state, now, &target.instance) {
            return;
        }
        members(&state, target)
    };
    let (head, count) = (&target.instance, members.len());
    log::info!("event=group_checked head={head} members={count}");
    for member in members {
        probe_worker(node, member, ProbeCause::Request, INITIAL_PROBES);
    }
}

/// Returns whether a group may be probed now, and if so counts the probe.
fn start_group_probe(state: &mut State, now: Time, head: &instance::Id) -> bool {
    let probed_at = &mut state.group_probed_at;
    let last = probed_at.get(head);
    if last.is_some_and(|at| now.since(*at) < MIN_GROUP_PROBE_INTERVAL) {
        return false;
    }
    probed_at.retain(|_, at| now.since(*at) < Duration::from_secs(1));
    if probed_at.len() >= MAX_GROUP_PROBES_PER_SECOND {
        return false;
    }
    probed_at.insert(head.clone(), now);
    true
}

/// Returns the workers that run the requests of a target.
fn members(state: &State, target: &Target) -> Vec<Arc<Instance>> {
    let id = &target.instance;
    if target.model.is_some() {
        let group = state.group_of_head(id);
        return group.map_or_else(Vec::new, |g| g.members.into_values().collect());
    }
    let worker = state.registry.get(id).map(|record| &record.instance);
    let worker = worker.filter(|worker| worker.incarnation == target.incarnation);
    worker.cloned().into_iter().collect()
}

/// Starts probing a worker, and suspects it if every probe fails.
pub(super) fn probe_worker(
    node: &Arc<Node>,
    worker: Arc<Instance>,
    cause: ProbeCause,
    probes: u32,
) {
    let node = node.clone();
    let probing = async move {
        if !probe(&node, &worker, cause, probes).await {
            suspect(&node, &worker);
        }
    };
    smol::spawn(probing).detach();
}

/// Suspects a worker that failed its probes, and tells other entries.
pub(super) fn suspect(node: &Arc<Node>, worker: &Instance) {
    let now = node.now();
    let is_new = node.state().suspect(now, &Start::from(worker));
    if is_new {
        gossip_now(node);
        node.wake_planner();
    }
}

/// Probes a worker and records whether it was reached; returns whether it responds.
pub(super) async fn probe(
    node: &Arc<Node>,
    worker: &Instance,
    cause: ProbeCause,
    probes: u32,
) -> bool {
    let start = Start::from(worker);
    let responds = if is_plain(&node.state(), worker) {
        accepts(node, worker.address, cause, probes).await
    } else {
        responds(node, (&start, worker.address), cause, probes).await
    };
    if responds {
        paths::record_response(node, worker);
    } else {
        let now = node.now();
        let mut state = node.state();
        state.record_contact(now, &worker.service, &start, false);
    }
    responds
}

/// Returns whether a worker belongs to a service without models.
fn is_plain(state: &State, worker: &Instance) -> bool {
    let service = state.catalog.service(&worker.service);
    service.is_some_and(|service| service.engine.is_none())
}

/// Connects up to `probes` times to a worker of a plain service, where a request would take the
/// slot of another one; returns whether it accepts a connection.
async fn accepts(node: &Node, address: SocketAddr, cause: ProbeCause, probes: u32) -> bool {
    let timeout = millis(node.settings.timing.report_timeout_ms);
    for _ in 0..probes {
        let accepts = node.platform.connects(address, timeout).await;
        record(node, cause, accepts);
        if accepts {
            return true;
        }
    }
    false
}

/// Probes a worker up to `probes` times; returns whether it responds.
pub(super) async fn responds(
    node: &Arc<Node>,
    (worker, address): (&Start, SocketAddr),
    cause: ProbeCause,
    probes: u32,
) -> bool {
    let timeout = millis(node.settings.timing.report_timeout_ms);
    for _ in 0..probes {
        let sent_at = node.now();
        let response = node.platform.probe(address, timeout).await;
        record(node, cause, response.result);
        if let Some(notices) = response.notices {
            record_notices(node, worker, sent_at, notices, LimitSource::Probe);
        }
        if response.result {
            return true;
        }
    }
    false
}

/// Counts a probe and whether the worker responded.
pub(super) fn record(node: &Node, cause: ProbeCause, responds: bool) {
    node.metrics.record_probe(cause, responds);
    node.state().activity.record_probe(cause, responds);
}

/// Probes suspected workers again, as well as unlisted members of groups in the domains that
/// this entry owns, which may be finishing their work or have failed.
pub(super) fn reprobe(node: &Arc<Node>) {
    let now = node.now();
    let (suspected, departed): (Vec<_>, Vec<_>) = {
        let state = node.state();
        let records = state.registry.records();
        let due = records.filter(|record| {
            let instance = &record.instance;
            if state.is_suspected(instance) {
                if state.reach.cut_off_since(&instance.service).is_some() {
                    // Checks of the path probe a few of them.
                    return false;
                }
                let start = Start::from(instance.as_ref());
                return state
                    .detector
                    .is_probe_due(now, &start, state.is_near(instance));
            }
            record.has_departed() && instance.membership.is_some() && state.is_owned(instance)
        });
        let due = due.map(|record| record.instance.clone());
        due.partition(|instance| state.is_suspected(instance))
    };
    for worker in suspected {
        probe_worker(node, worker, ProbeCause::Suspected, REPEAT_PROBES);
    }
    for worker in departed {
        probe_worker(node, worker, ProbeCause::Departed, INITIAL_PROBES);
    }
}
