//! Checks the paths of this entry to the workers of services.

use std::sync::Arc;

use cyclamen_directory::Instance;
use cyclamen_replica::Start;

use crate::node::{Node, ProbeCause, State};
use crate::tasks::probe::{INITIAL_PROBES, REPEAT_PROBES, probe, probe_worker, suspect};

/// The maximum number of workers that are probed at once when the path to them is back.
const MAX_PROBES_AT_RETURN: usize = 64;

/// Decides again from which services this entry is cut off, and checks the paths in doubt.
pub(super) fn judge(node: &Arc<Node>) {
    let cut_off = {
        let mut state = node.state();
        state.judge_paths(node.now());
        state.reach.cut_off_count()
    };
    node.metrics.record_cut_off_services(cut_off);
    check(node);
}

/// Probes a few workers of each service of which workers have failed in a row, in order to find
/// out at once whether the path of this entry is lost, and soon when it is back.
pub(super) fn check(node: &Arc<Node>) {
    for (worker, probes) in workers_to_probe(node) {
        let node = node.clone();
        let checking = async move {
            if !probe(&node, &worker, ProbeCause::Path, probes).await {
                record_failed_check(&node, &worker);
            }
        };
        smol::spawn(checking).detach();
    }
}

/// Records that a probe that checks a path has failed. It confirms the suspicion of a worker, but
/// raises none of one that no request has found silent: the cause may be this entry.
fn record_failed_check(node: &Arc<Node>, worker: &Instance) {
    let is_suspected = {
        let now = node.now();
        let mut state = node.state();
        state.record_failed_check(now, &worker.service);
        state.has_failed_probes(worker)
    };
    if is_suspected {
        suspect(node, worker);
    }
}

/// Returns the workers to probe now, and how often.
fn workers_to_probe(node: &Node) -> Vec<(Arc<Instance>, u32)> {
    let now = node.now();
    let mut guard = node.state();
    let state: &mut State = &mut guard;
    let doubtful: Vec<_> = state.reach.doubtful().cloned().collect();
    let doubtful = doubtful.iter();
    let workers: Vec<_> = doubtful
        .flat_map(|service| state.start_path_check(now, service))
        .collect();
    let with_probes = workers.into_iter().map(|worker| {
        let has_failed = state.has_failed_probes(&worker);
        let probes = if has_failed {
            REPEAT_PROBES
        } else {
            INITIAL_PROBES
        };
        (worker, probes)
    });
    with_probes.collect()
}

/// Records that a worker responded to a probe. If the path to its service was lost, the workers
/// that failed meanwhile are probed at once.
pub(super) fn record_response(node: &Arc<Node>, worker: &Instance) {
    let service = &worker.service;
    let failed = {
        let now = node.now();
        let mut state = node.state();
        let was_lost = state.reach.is_lost(service);
        let start = Start::from(worker);
        state.restore(now, &start);
        state.record_contact(now, service, &start, true);
        let cut_off = state.reach.cut_off_count();
        node.metrics.record_cut_off_services(cut_off);
        let limit = if was_lost { MAX_PROBES_AT_RETURN } else { 0 };
        state.failed_workers(service, limit)
    };
    for worker in failed {
        probe_worker(node, worker, ProbeCause::PathBack, REPEAT_PROBES);
    }
}
