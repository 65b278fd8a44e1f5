//! Exchanges gossip with other entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_cache::Revision;
use cyclamen_domain::Owner;
use cyclamen_peer::Gossip;
use cyclamen_peer::message::PoolSummary;
use futures::future::join_all;
use rand::seq::IteratorRandom;

use crate::node::{Node, State};

/// The maximum number of summaries, and of strikes, in one message, and of the entries
/// that a broadcast is sent to.
const MAX_GOSSIP_ITEMS: usize = 32;
/// The maximum time that a request waits until the other entries have recorded its strike.
const BROADCAST_TIMEOUT: Duration = Duration::from_millis(200);

/// Exchanges gossip with one other entry, chosen at random.
pub(crate) async fn step(node: &Arc<Node>) {
    let chosen = {
        let mut guard = node.state();
        let state = &mut *guard;
        let me = &state.me;
        let others = state.entries.iter().filter(|(owner, _)| *owner != me);
        others
            .choose(&mut state.rng)
            .map(|(owner, entry)| (owner.clone(), entry.peer))
    };
    let Some((owner, address)) = chosen else {
        return;
    };
    let Some(peers) = node.peers() else {
        return;
    };
    let message = message(node, None);
    match peers.gossip(address, message).await {
        Ok(response) => {
            let peer_as_of = response.as_of;
            merge(node, response);
            let is_behind = peer_as_of < node.state().cache.as_of();
            if is_behind {
                let _ = peers
                    .gossip(address, self::message(node, Some(peer_as_of)))
                    .await;
            }
        }
        Err(error) => log::debug!("event=gossip_failed entry={owner} reason=\"{error}\""),
    }
}

/// Merges the gossip of another entry and returns this entry's.
pub(crate) fn handle(node: &Arc<Node>, received: Gossip) -> Gossip {
    let peer_as_of = received.as_of;
    merge(node, received);
    message(node, Some(peer_as_of))
}

fn merge(node: &Node, received: Gossip) {
    let now = node.now();
    let mut state = node.state();
    state.merge_delta(now, received.delta);
    for pool_summary in received.summaries {
        let mine = state
            .domains
            .get(&pool_summary.domain)
            .is_some_and(|d| d.is_mine());
        if !mine {
            state.record_summary(now, &pool_summary);
        }
    }
    state.strikes.record_answers(now, received.answers);
    state.strikes.record_all(now, received.strikes);
}

/// Creates this entry's gossip message, with the rows changed since a revision.
fn message(node: &Node, since: Option<Revision>) -> Gossip {
    let now = node.now();
    let mut state = node.state();
    state.record_own_summaries(now);
    let as_of = state.cache.as_of();
    let delta = since
        .filter(|s| *s < as_of)
        .map(|s| state.cache.changes_since(s));
    let strikes = state.strikes.to_gossip(now, true, MAX_GOSSIP_ITEMS);
    Gossip {
        sender: state.me.clone(),
        era: as_of.era,
        as_of,
        operators_as_of: as_of,
        catalog_version: Default::default(),
        summaries: summaries(&state),
        answers: state.strikes.answers_to_gossip(now, &strikes),
        strikes,
        delta: delta.unwrap_or_default(),
        loads: Vec::new(),
        suspected: Vec::new(),
        reached: Vec::new(),
        leaving: Vec::new(),
        handover: None,
        unserved: Vec::new(),
        cut_off: Vec::new(),
        limits: Vec::new(),
        issues: Vec::new(),
        uses_permits: false,
        is_draining: false,
        store_age: Duration::ZERO,
        demands: Vec::new(),
        observations: Vec::new(),
        team_work: Vec::new(),
    }
}

/// Returns the summaries of this entry's own domains; those of other domains are sent by
/// their owners.
fn summaries(state: &State) -> Vec<PoolSummary> {
    let own = state.balancer.own_summaries();
    let summaries = own.map(|(pool, domain, summary)| PoolSummary {
        pool: pool.clone(),
        domain: domain.clone(),
        summary,
    });
    summaries.take(MAX_GOSSIP_ITEMS).collect()
}

/// Sends gossip to the other entries in the background.
pub(crate) fn broadcast(node: &Arc<Node>) {
    let node = node.clone();
    smol::spawn(async move { send_to_all(&node).await }).detach();
}

/// Sends gossip to the other entries and waits until they have merged it, at most
/// [`BROADCAST_TIMEOUT`].
pub(crate) async fn broadcast_and_wait(node: &Arc<Node>) {
    let limit = async {
        smol::Timer::after(BROADCAST_TIMEOUT).await;
        log::warn!("event=telling_timed_out");
    };
    smol::future::or(send_to_all(node), limit).await;
}

async fn send_to_all(node: &Arc<Node>) {
    let Some(peers) = node.peers() else {
        return;
    };
    let message = message(node, None);
    let exchanges = others(node).into_iter().map(|(owner, address)| {
        let exchange = peers.gossip(address, message.clone());
        async move {
            if let Err(error) = exchange.await {
                log::debug!("event=gossip_failed entry={owner} reason=\"{error}\"");
            }
        }
    });
    join_all(exchanges).await;
}

/// Returns the other entries to send gossip to, at most [`MAX_GOSSIP_ITEMS`].
fn others(node: &Node) -> Vec<(Owner, SocketAddr)> {
    let state = node.state();
    let others = state
        .entries
        .iter()
        .filter(|(owner, _)| **owner != state.me);
    others
        .take(MAX_GOSSIP_ITEMS)
        .map(|(owner, entry)| (owner.clone(), entry.peer))
        .collect()
}
