//! Tasks that keep the node's state up to date.

mod crash;
mod follow;
mod gossip;
mod lease;
mod ownership;
mod plan;
mod probe;
mod store;

use std::sync::Arc;
use std::time::Duration;

use cyclamen_task::every;

use crate::node::Node;
use crate::settings::span;

pub(crate) use crash::note as note_crash;
pub(crate) use gossip::{answer as answer_news, tell_all};
pub(crate) use lease::resign;
pub(crate) use probe::check_target;

/// The time between two looks at whether a renewal of the lease is due.
const LEASE_TICK: Duration = Duration::from_millis(100);
/// The time between two looks at domains without an owner.
const OWN_TICK: Duration = Duration::from_millis(150);
/// The time between two looks at beliefs that may be too old.
const BELIEF_TICK: Duration = Duration::from_millis(250);

/// Starts every task; dropping the result stops them.
pub(crate) fn start(node: &Arc<Node>) -> Vec<smol::Task<()>> {
    let timing = node.settings.timing;
    let mut tasks = follow::start(node);
    tasks.extend([
        every!(node, LEASE_TICK, lease::step),
        every!(node, OWN_TICK, ownership::step),
        every!(node, BELIEF_TICK, expire),
        every!(node, span(timing.news_every_ms), gossip::step),
        every!(node, span(timing.near_news_every_ms), gossip::step_near),
        smol::spawn(plan::run(node.clone())),
    ]);
    tasks
}

/// Forgets what is too old to be believed, and asks workers again that may be gone.
async fn expire(node: &Arc<Node>) {
    let now = node.now();
    node.state().expire_beliefs(now);
    probe::recheck(node);
}
