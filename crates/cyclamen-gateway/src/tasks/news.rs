//! Exchanges news with other entries.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_cache::Delta;
use cyclamen_peer::Gossip;
use cyclamen_types::{Time, entry};
use rand::seq::IteratorRandom;

use crate::edge::{Row, Table};
use crate::node::{FOLLOWED, Node, Peer, State};
use crate::settings::span;
use crate::tasks::check::{FIRST_QUESTIONS, check_worker};
use crate::tasks::own;

/// The most other entries with which each exchanges news with all.
pub(super) const SMALL_FLEET: usize = 8;
/// Entries of a large fleet that get news by chance in each round.
const CHANCE_PARTNERS: usize = 2;
/// Entries of the cell that get news in each round.
const NEAR_PARTNERS: usize = 2;
/// Rounds without news after which an entry calls one that should have called.
const SILENT_ROUNDS: u32 = 6;
/// The age up to which it is known what another entry knows.
const FRESH: Duration = Duration::from_millis(400);
/// The time after its start within which an entry may get news meant for its former start.
const FORMER_START: Time = Time::from_millis(3_000);
/// Rows that one piece of news carries at most.
const ROW_LIMIT: usize = 256;
/// How long an entry that has started is told what others learned earlier.
const NEW_ENTRY: Duration = Duration::from_secs(2);
/// Strikes that one piece of news carries at most.
const STRIKE_LIMIT: usize = 64;

/// Exchanges news with entries outside the cell: all of them in a small fleet, otherwise
/// those that watch the same fabric domains and some by chance.
pub(super) async fn step(node: &Arc<Node>) {
    let partners = {
        let mut guard = node.state();
        let state = &mut *guard;
        let outside = state
            .peers
            .keys()
            .filter(|n| !state.cell.entries.contains(*n));
        if state.peers.len() <= SMALL_FLEET {
            outside.cloned().collect()
        } else {
            let chosen = outside.choose_multiple(&mut state.rng, CHANCE_PARTNERS);
            let mut partners: BTreeSet<entry::Name> = chosen.into_iter().cloned().collect();
            partners.extend(own::fellow_watchers(state));
            partners
        }
    };
    tell(node, partners);
}

/// Exchanges news with the other entries of the cell.
///
/// Of two entries the one whose name comes first calls, unless it is silent.
/// The larger the cell, the fewer at a time.
pub(super) async fn step_near(node: &Arc<Node>) {
    let partners = {
        let mut guard = node.state();
        let state = &mut *guard;
        let now = node.now();
        let me = &state.me.entry;
        let silence = span(node.settings.timing.near_news_every_ms) * SILENT_ROUNDS;
        let to_call = state.cell.entries.iter().filter(|name| {
            let heard = state.peers.get(*name).and_then(|peer| peer.heard);
            me < *name || heard.is_none_or(|at| now.since(at) >= silence)
        });
        let chosen = to_call.choose_multiple(&mut state.rng, NEAR_PARTNERS);
        chosen.into_iter().cloned().collect()
    };
    tell(node, partners);
}

/// Starts an exchange of news with every entry that is to learn at once what has changed.
pub(crate) fn tell_all(node: &Arc<Node>) {
    let partners = {
        let state = node.state();
        if state.peers.len() <= SMALL_FLEET {
            state.peers.keys().cloned().collect()
        } else {
            let cell = state.cell.entries.iter().cloned();
            cell.chain(own::fellow_watchers(&state)).collect()
        }
    };
    tell(node, partners);
}

/// Starts an exchange of news with some entries, unless one is under way.
fn tell(node: &Arc<Node>, partners: BTreeSet<entry::Name>) {
    let names: Vec<entry::Name> = {
        let mut state = node.state();
        let peers = state.peers.iter_mut();
        let idle = peers.filter(|(name, peer)| !peer.calling && partners.contains(*name));
        idle.map(|(name, peer)| {
            peer.calling = true;
            name.clone()
        })
        .collect()
    };
    for name in names {
        smol::spawn(exchange(node.clone(), name)).detach();
    }
}

async fn exchange(node: Arc<Node>, name: entry::Name) {
    let (address, news) = {
        let state = node.state();
        let Some(peer) = state.peers.get(&name) else {
            return;
        };
        (peer.address, news(&state, node.now(), peer))
    };
    let answer = match node.peers() {
        Some(peers) => peers.gossip(address, news).await,
        None => Err(cyclamen_peer::Error::Unreachable),
    };
    let now = node.now();
    match answer {
        Ok(news) => take(&node, now, news),
        Err(error) => {
            let silence = span(node.settings.timing.peer_silence_ms);
            let state = node.state();
            let peer = state.peers.get(&name);
            let since = peer.and_then(|p| p.heard).map(|at| now.since(at));
            if since.is_some_and(|since| since < silence) {
                log::info!("event=peer_silent peer={name} reason=\"{error}\"");
            }
        }
    }
    if let Some(peer) = node.state().peers.get_mut(&name) {
        peer.calling = false;
    }
}

/// Takes the news of another entry and gives own ones.
pub(crate) fn answer(node: &Arc<Node>, received: Gossip) -> Gossip {
    let now = node.now();
    let sender = received.sender.entry.clone();
    take(node, now, received);
    let state = node.state();
    match state.peers.get(&sender) {
        Some(peer) => news(&state, now, peer),
        None => news_without_rows(&state, now, None),
    }
}

fn take(node: &Arc<Node>, now: Time, news: Gossip) {
    let mut state = node.state();
    if news.sender.entry == state.me.entry {
        return;
    }
    if let Some(peer) = state.peers.get_mut(&news.sender.entry) {
        if peer.since.is_none() || peer.incarnation != news.sender.incarnation {
            peer.since = Some(now);
        }
        peer.heard = Some(now);
        peer.as_of = news.as_of;
        peer.operators_as_of = news.operators_as_of;
        peer.incarnation = news.sender.incarnation;
    } else {
        // The entry is new; its address is in its row.
        state.ownership.read = None;
    }
    let sender = news.sender.entry;
    state
        .dispatcher
        .record_peer_loads(now, sender.as_str(), news.loads);
    for strike in news.strikes {
        state.suspects.record(now, strike);
    }
    let rows: Vec<Row> = news.delta.rows.into_iter().filter_map(row).collect();
    let some_rows = !rows.is_empty();
    let operators = rows.iter().filter(|row| row.table == Table::Operators);
    let told = operators.map(|row| row.revision).max();
    state.take_rows(now, node.platform.as_ref(), rows);
    if let Some(told) = told.filter(|_| now >= FORMER_START) {
        state.note_told(now, told);
    }
    let to_ask = state.take_suspicions(now, &sender, news.suspected);
    drop(state);
    for worker in to_ask {
        check_worker(node, worker, FIRST_QUESTIONS);
    }
    if some_rows {
        node.wake_planner();
    }
}

/// This entry's news for another one, with rows that it lacks by its own last news.
///
/// Entries learn of changes from the store at about the same time; only rows
/// that the other one should have known for a while are told. What operators wrote is
/// told in the order of revisions, so that an entry knows all up to the last one.
fn news(state: &State, now: Time, peer: &Peer) -> Gossip {
    let fresh = peer.heard.is_some_and(|at| now.since(at) < FRESH);
    if !fresh {
        return news_without_rows(state, now, Some(peer));
    }
    let settled = state.settled(now, Table::Instances);
    let lags = peer.operators_as_of < state.settled(now, Table::Operators);
    let prefix = |table: Table| format!("{}/", table.as_str());
    let (operators, listed) = (prefix(Table::Operators), prefix(Table::Instances));
    let lacks = |row: &cyclamen_cache::Row| {
        let known = if row.key.0.starts_with(&operators) {
            !lags || row.revision <= peer.operators_as_of
        } else {
            !row.key.0.starts_with(&listed) || row.revision <= peer.as_of || row.revision > settled
        };
        !known
    };
    let oldest = peer.as_of.min(peer.operators_as_of);
    let mut delta = state.rows.changes_since(oldest);
    delta.rows.retain(lacks);
    let is_listed = |row: &cyclamen_cache::Row| row.key.0.starts_with(&listed);
    delta
        .rows
        .sort_unstable_by_key(|row| (is_listed(row), row.revision));
    delta.rows.truncate(ROW_LIMIT);
    Gossip {
        delta,
        ..news_without_rows(state, now, Some(peer))
    }
}

fn news_without_rows(state: &State, now: Time, peer: Option<&Peer>) -> Gossip {
    let since = peer.and_then(|peer| peer.since);
    let is_new = since.is_none_or(|since| now.since(since) < NEW_ENTRY);
    Gossip {
        sender: state.me.clone(),
        as_of: state.as_of(Table::Instances),
        operators_as_of: state.operators_as_of(),
        summaries: Vec::new(),
        strikes: state.suspects.to_gossip(now, is_new, STRIKE_LIMIT),
        delta: Delta::default(),
        loads: state.dispatcher.loads(),
        suspected: state.detector.local_suspicions(now).cloned().collect(),
    }
}

/// A row of a followed table from another entry's news.
fn row(row: cyclamen_cache::Row) -> Option<Row> {
    let (table, key) = row.key.0.split_once('/')?;
    let table = FOLLOWED.into_iter().find(|t: &Table| t.as_str() == table)?;
    Some(Row {
        table,
        key: key.into(),
        revision: row.revision,
        value: row.value,
    })
}
