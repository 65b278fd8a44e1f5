//! Asks workers whether they still name a limit, if nothing else tells.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_directory::Instance;
use cyclamen_replica::Start;
use cyclamen_types::Time;

use crate::node::{LimitSource, Node, ProbeCause, State};
use crate::settings::millis;
use crate::tasks::{probe, record_notices};

/// The minimum interval between two such probes of a worker.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// The maximum number of workers that are probed at once.
const MAX_PROBES: usize = 8;

/// Probes workers that have not named their limits for a while, of the scopes for which this entry issues
/// permits. A worker that gets no requests has no other way to say that it takes some again.
pub(super) async fn confirm(node: &Arc<Node>) {
    let now = node.now();
    let workers = due(&mut node.state(), now);
    for worker in workers {
        smol::spawn(ask(node.clone(), worker)).detach();
    }
}

/// Returns the workers to probe now.
fn due(state: &mut State, now: Time) -> Vec<Arc<Instance>> {
    let probed_at = &mut state.limit_probed_at;
    probed_at.retain(|_, at| now.since(*at) < PROBE_INTERVAL);
    let due: Vec<Arc<Instance>> = state
        .limits
        .unconfirmed(now)
        .filter(|(id, _)| !state.limit_probed_at.contains_key(*id))
        .filter_map(|(id, _)| state.registry.get(id))
        .map(|record| record.instance.clone())
        .filter(|worker| state.issues_for(now, worker))
        .take(MAX_PROBES)
        .collect();
    let probed = due.iter().map(|worker| (worker.id.clone(), now));
    state.limit_probed_at.extend(probed);
    due
}

/// Probes a worker and records what it says of itself; one that does not respond is not suspected.
async fn ask(node: Arc<Node>, worker: Arc<Instance>) {
    let timeout = millis(node.settings.timing.report_timeout_ms);
    let sent_at = node.now();
    let response = node.platform.probe(worker.address, timeout).await;
    probe::record(&node, ProbeCause::Limit, response.result);
    if let Some(notices) = response.notices {
        let start = Start::from(worker.as_ref());
        record_notices(&node, &start, sent_at, notices, LimitSource::Probe);
    }
}
