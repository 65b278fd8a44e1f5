//! Asks the heads of groups in the domains that this entry owns for their loads.

use std::sync::Arc;

use cyclamen_dispatch::{Observation, Target};
use cyclamen_replica::Start;

use crate::node::{LimitSource, Node, State};
use crate::platform::WorkerReport;
use crate::settings::millis;
use crate::tasks::record_notices;

/// Asks the heads whose loads are to be known now.
pub(super) async fn step(node: &Arc<Node>) {
    if !node.settings.features.observed_loads {
        return;
    }
    let now = node.now();
    let due = {
        let mut guard = node.state();
        let state = &mut *guard;
        if state.is_draining() || !state.lease.is_held(now) {
            return;
        }
        let planners = &state.ownership.planners;
        let is_own = |target: &Target| {
            let domain = target.domain.as_ref();
            domain.is_some_and(|domain| planners.contains_key(domain))
        };
        let mut due = state.dispatcher.reports_due(now, is_own);
        due.retain(|target| !state.is_cut_off(now, &target.service));
        due
    };
    for target in due {
        smol::spawn(ask(node.clone(), target)).detach();
    }
}

/// Asks a head for its report; one that does not respond is not suspected.
async fn ask(node: Arc<Node>, target: Target) {
    let timeout = millis(node.settings.timing.report_timeout_ms);
    let sent_at = node.now();
    let response = node.platform.report(target.address, timeout).await;
    let start = Start {
        instance: target.instance.clone(),
        incarnation: target.incarnation,
    };
    if let Some(notices) = response.notices {
        record_notices(&node, &start, sent_at, notices, LimitSource::Probe);
    }
    let Some(report) = response.result else {
        return;
    };
    if !is_of(&report, &target) {
        return;
    }
    let now = node.now();
    let observation = Observation {
        instance: target.instance,
        fence: target.fence,
        running: report.running,
        queued: report.queued,
        pace: report.pace,
        age: now.since(sent_at) + report.age,
    };
    record(&mut node.state(), now, [observation]);
}

/// Returns whether a report is of the incarnation and the group of a target, as far as it says.
fn is_of(report: &WorkerReport, target: &Target) -> bool {
    let same_incarnation = report.incarnation.is_none_or(|i| i == target.incarnation);
    same_incarnation && report.fence.is_none_or(|fence| fence == target.fence)
}

/// Records observations, and logs the workers that they show to be slow.
pub(super) fn record(
    state: &mut State,
    now: cyclamen_types::Time,
    observations: impl IntoIterator<Item = Observation>,
) {
    for (target, pace) in state.dispatcher.record_observations(now, observations) {
        log_slow(&target, pace, "report");
    }
}

/// Logs that a worker has been found slow.
pub(crate) fn log_slow(target: &Target, pace: f64, source: &'static str) {
    log::info!(
        "event=worker_slow instance={} model={} pace={pace:.2} source={source}",
        target.instance,
        target.model.as_ref().map_or("none", |m| m.as_str()),
    );
}
