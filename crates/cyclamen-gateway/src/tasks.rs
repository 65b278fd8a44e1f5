//! Tasks that keep the node's state up to date.

mod activity;
mod crash;
mod evidence;
mod follow;
mod gossip;
mod lease;
mod limits;
mod notices;
mod observe;
mod ownership;
mod paths;
mod plan;
mod probe;
mod store;

use std::sync::Arc;
use std::time::Duration;

use cyclamen_task::every;

use crate::node::Node;
use crate::settings::millis;

pub(crate) use crash::{Suspect, confirm as confirm_crash};
pub(crate) use gossip::{SMALL_FLEET_PEERS, gossip_now, respond as respond_gossip};
pub(crate) use lease::resign;
pub(crate) use notices::record_notices;
pub(crate) use observe::log_slow;
pub(crate) use probe::probe_group;

/// The interval at which the lease is checked for a due renewal.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The interval at which domains are checked for a missing owner.
const OWNERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// The interval at which expired state is removed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// The interval at which heads are checked for a due report.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(100);
/// The interval at which the evidence in the store is compared with the contained parts.
const EVIDENCE_INTERVAL: Duration = Duration::from_millis(500);
/// The interval at which the calls to the store and other activity are logged.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Starts all tasks; dropping the returned handles cancels them.
pub(crate) fn start(node: &Arc<Node>) -> Vec<smol::Task<()>> {
    let timing = node.settings.timing;
    let mut tasks = follow::start(node);
    tasks.extend([
        every!(node, LEASE_CHECK_INTERVAL, lease::step),
        every!(node, OWNERSHIP_CHECK_INTERVAL, ownership::step),
        every!(node, OWNERSHIP_CHECK_INTERVAL, ownership::give_up),
        every!(node, EXPIRY_INTERVAL, expire),
        every!(node, EVIDENCE_INTERVAL, evidence::step),
        every!(node, REPORT_INTERVAL, store::report),
        every!(node, REPORT_INTERVAL, activity::report),
        every!(node, Duration::ZERO, activity::measure_timers),
        every!(node, EXPIRY_INTERVAL, limits::confirm),
        every!(node, OBSERVE_INTERVAL, observe::step),
        every!(
            node,
            millis(timing.news_every_ms),
            gossip::step_outside_cell
        ),
        every!(node, millis(timing.near_news_every_ms), gossip::step_cell),
        smol::spawn(plan::run(node.clone())),
    ]);
    tasks
}

/// Removes expired state and probes workers again that may have failed.
async fn expire(node: &Arc<Node>) {
    let now = node.now();
    node.state().remove_expired(now, node.platform.as_ref());
    paths::judge(node);
    probe::reprobe(node);
}
