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
use crate::settings::span;

pub(crate) use domains::hand_over_all;
pub(crate) use gossip::{answer as answer_news, tell_all, tell_all_now};
pub(crate) use lease::{announce_drain, resign};

/// The time between two looks at whether a renewal of the lease is due.
const LEASE_TICK: Duration = Duration::from_millis(200);
/// The time between two looks at queues whose deadlines may have passed.
const QUEUE_TICK: Duration = Duration::from_millis(100);

/// Starts every task; dropping the result stops them.
pub(crate) fn start(node: &Arc<Node>) -> Vec<smol::Task<()>> {
    let timing = node.settings.timing;
    vec![
        every!(node, LEASE_TICK, lease::step),
        every!(node, span(timing.renew_every_ms), expiry::step),
        every!(node, span(timing.sync_every_ms), sync::step),
        every!(node, span(timing.list_every_ms), list::step),
        every!(node, span(timing.gossip_every_ms), gossip::step),
        every!(node, span(timing.probe_every_ms), probe::step),
        every!(node, span(timing.plan_every_ms), domains::step),
        every!(node, QUEUE_TICK, wake),
        smol::spawn(release::run(node.clone())),
    ]
}

/// Answers waiting requests whose turn or deadline has come, and tells the
/// other entries at once when a pool of an own domain begins or ceases to serve.
async fn wake(node: &Arc<Node>) {
    let now = node.now();
    let news = {
        let mut state = node.state();
        for name in own_domains(&state) {
            state.wake(now, &name);
        }
        state.note_own_domains(now);
        let own = state.board.own_summaries();
        let serving = own
            .map(|(pool, domain, _)| (domain.clone(), pool.clone()))
            .collect();
        let news = serving != state.announced;
        state.announced = serving;
        news
    };
    if news {
        tell_all(node);
    }
}

fn own_domains(state: &crate::node::State) -> Vec<domain::Name> {
    let own = state.domains.iter().filter(|(_, domain)| domain.is_mine());
    own.map(|(name, _)| name.clone()).collect()
}
