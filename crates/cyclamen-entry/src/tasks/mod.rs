//! Tasks that keep the node's state up to date.

mod domains;
mod expiry;
mod gossip;
mod lease;
mod list;
mod probe;
mod release;
mod sync;

use std::sync::Arc;
use std::time::Duration;

use cyclamen_task::every;
use cyclamen_types::domain;

use crate::node::Node;
use crate::settings::millis;

pub(crate) use domains::hand_over_all;
pub(crate) use gossip::{broadcast, broadcast_and_wait, handle as handle_gossip};
pub(crate) use lease::{announce_drain, resign};

/// The interval between checks for a due renewal of the lease.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The interval between polls of the queues, for deadlines that have passed.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The interval between checks of the contained parts of prompts.
const CONTAINMENT_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Starts every task; dropping the result cancels them.
pub(crate) fn start(node: &Arc<Node>) -> Vec<smol::Task<()>> {
    let timing = node.settings.timing;
    vec![
        every!(node, LEASE_CHECK_INTERVAL, lease::step),
        every!(node, millis(timing.renew_every_ms), expiry::step),
        every!(node, millis(timing.sync_every_ms), sync::step),
        every!(node, millis(timing.list_every_ms), list::step),
        every!(node, millis(timing.gossip_every_ms), gossip::step),
        every!(node, millis(timing.probe_every_ms), probe::step),
        every!(node, millis(timing.plan_every_ms), domains::step),
        every!(node, QUEUE_POLL_INTERVAL, poll_queues),
        every!(node, CONTAINMENT_CHECK_INTERVAL, check_containment),
        smol::spawn(release::run(node.clone())),
    ]
}

/// Releases parts of prompts whose strikes have expired, and logs which ones are contained or
/// released.
async fn check_containment(node: &Arc<Node>) {
    let now = node.now();
    let verdicts = {
        let mut state = node.state();
        state.strikes.release_expired(now);
        state.strikes.take_verdicts()
    };
    for verdict in verdicts {
        log::warn!("{verdict}");
    }
}

/// Polls the queues of this entry's domains, and sends gossip to the other entries
/// immediately when a pool of one of these domains starts or stops serving.
async fn poll_queues(node: &Arc<Node>) {
    let now = node.now();
    let has_changed = {
        let mut state = node.state();
        for name in own_domains(&state) {
            state.poll_queue(now, &name);
        }
        state.record_own_summaries(now);
        let own = state.balancer.own_summaries();
        let serving = own
            .map(|(pool, domain, _)| (domain.clone(), pool.clone()))
            .collect();
        let has_changed = serving != state.announced_pools;
        state.announced_pools = serving;
        has_changed
    };
    if has_changed {
        broadcast(node);
    }
}

fn own_domains(state: &crate::node::State) -> Vec<domain::Name> {
    let own = state.domains.iter().filter(|(_, domain)| domain.is_mine());
    own.map(|(name, _)| name.clone()).collect()
}
