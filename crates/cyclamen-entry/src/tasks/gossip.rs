//! Exchanges news with other entries.

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

/// Summaries and strikes in one exchange.
const NOTICE_LIMIT: usize = 32;
/// The longest a request waits until the other entries know that it crashed a group.
const TELL_TIME: Duration = Duration::from_millis(200);

/// Exchanges news with one other entry at random.
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
    let news = news(node, None);
    match peers.gossip(address, news).await {
        Ok(reply) => {
            let theirs = reply.as_of;
            take(node, reply);
            let behind = theirs < node.state().cache.as_of();
            if behind {
                let _ = peers.gossip(address, self::news(node, Some(theirs))).await;
            }
        }
        Err(error) => log::debug!("event=gossip_failed entry={owner} reason=\"{error}\""),
    }
}

/// Takes the news of another entry and gives this one's.
pub(crate) fn answer(node: &Arc<Node>, received: Gossip) -> Gossip {
    let theirs = received.as_of;
    take(node, received);
    news(node, Some(theirs))
}

fn take(node: &Node, news: Gossip) {
    let now = node.now();
    let mut state = node.state();
    state.follow(now, news.delta);
    for notice in news.summaries {
        let mine = state
            .domains
            .get(&notice.domain)
            .is_some_and(|d| d.is_mine());
        if !mine {
            state.note_summary(now, &notice);
        }
    }
    for strike in news.strikes {
        state.suspects.record(now, strike);
    }
}

/// This entry's news, with the rows changed since a revision.
fn news(node: &Node, since: Option<Revision>) -> Gossip {
    let now = node.now();
    let mut state = node.state();
    state.note_own_domains(now);
    let as_of = state.cache.as_of();
    let delta = since
        .filter(|s| *s < as_of)
        .map(|s| state.cache.changes_since(s));
    Gossip {
        sender: state.me.clone(),
        as_of,
        operators_as_of: as_of,
        summaries: summaries(&state),
        strikes: state.suspects.to_gossip(now, true, NOTICE_LIMIT),
        delta: delta.unwrap_or_default(),
        loads: Vec::new(),
        suspected: Vec::new(),
    }
}

/// The summaries of this entry's own domains; those of others come from their owners.
fn summaries(state: &State) -> Vec<PoolSummary> {
    let own = state.board.own_summaries();
    let notices = own.map(|(pool, domain, summary)| PoolSummary {
        pool: pool.clone(),
        domain: domain.clone(),
        summary,
    });
    notices.take(NOTICE_LIMIT).collect()
}

/// Tells every other entry, without waiting for them.
pub(crate) fn tell_all(node: &Arc<Node>) {
    let node = node.clone();
    smol::spawn(async move { tell(&node).await }).detach();
}

/// Tells every other entry and waits until they have taken the news in, at most
/// [`TELL_TIME`].
pub(crate) async fn tell_all_now(node: &Arc<Node>) {
    let limit = async {
        smol::Timer::after(TELL_TIME).await;
        log::warn!("event=telling_timed_out");
    };
    smol::future::or(tell(node), limit).await;
}

async fn tell(node: &Arc<Node>) {
    let Some(peers) = node.peers() else {
        return;
    };
    let news = news(node, None);
    let told = others(node).into_iter().map(|(owner, address)| {
        let exchange = peers.gossip(address, news.clone());
        async move {
            if let Err(error) = exchange.await {
                log::debug!("event=gossip_failed entry={owner} reason=\"{error}\"");
            }
        }
    });
    join_all(told).await;
}

/// The other entries to tell, at most [`NOTICE_LIMIT`].
fn others(node: &Node) -> Vec<(Owner, SocketAddr)> {
    let state = node.state();
    let others = state
        .entries
        .iter()
        .filter(|(owner, _)| **owner != state.me);
    others
        .take(NOTICE_LIMIT)
        .map(|(owner, entry)| (owner.clone(), entry.peer))
        .collect()
}
