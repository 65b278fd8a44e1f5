//! Gossip with other entries.

mod message;
mod proofs;

use std::collections::BTreeSet;
use std::sync::Arc;

use cyclamen_cache::Revision;
use cyclamen_peer::Gossip;
use cyclamen_types::{Time, entry};
use rand::seq::IteratorRandom;

use crate::node::{FOLLOWED_TABLES, Knowledge, Node, ProbeCause, Source, State};
use crate::platform::{Row, Subject, Table};
use crate::settings::millis;
use crate::tasks::observe;
use crate::tasks::ownership;
use crate::tasks::probe::{INITIAL_PROBES, probe_worker};

/// The maximum number of other entries at which every entry gossips with all others.
pub(crate) const SMALL_FLEET_PEERS: usize = 8;
/// The number of random gossip partners in each round in a large fleet.
const RANDOM_PARTNERS: usize = 2;
/// The number of gossip partners within the cell in each round.
const CELL_PARTNERS: usize = 2;
/// The number of entries that are asked at a time when what is known of a table becomes old.
const ASKED_ENTRIES: usize = 2;
/// The number of rounds without gossip from an entry that should have called, after which this
/// entry calls it.
const SILENT_ROUNDS: u32 = 6;
/// The time since the start of this process until which gossip meant for its former incarnation
/// may still arrive.
const FORMER_INCARNATION_UNTIL: Time = Time::from_millis(3_000);

/// Gossips with entries outside the cell: all of them in a small fleet, otherwise the fellow
/// candidates for the ownership of fabric domains and some random entries.
pub(super) async fn step_outside_cell(node: &Arc<Node>) {
    let partners = {
        let mut guard = node.state();
        let state = &mut *guard;
        let outside = state
            .peers
            .keys()
            .filter(|n| !state.cell.entries.contains(*n));
        if state.peers.len() <= SMALL_FLEET_PEERS {
            outside.cloned().collect()
        } else {
            let chosen = outside.choose_multiple(&mut state.rng, RANDOM_PARTNERS);
            let mut partners: BTreeSet<entry::Name> = chosen.into_iter().cloned().collect();
            partners.extend(ownership::fellow_candidates(state));
            partners
        }
    };
    start_exchanges(node, partners);
}

/// Gossips with some of the other entries of the cell.
///
/// Of two entries the one whose name sorts first calls; the other one calls only
/// if the first is silent. The larger the cell, the less often each pair gossips.
pub(super) async fn step_cell(node: &Arc<Node>) {
    let partners = {
        let mut guard = node.state();
        let state = &mut *guard;
        let now = node.now();
        let local = &state.local.entry;
        let silence = millis(node.settings.timing.near_news_every_ms) * SILENT_ROUNDS;
        let to_call = state.cell.entries.iter().filter(|name| {
            let last_heard = state
                .peers
                .get(*name)
                .and_then(|peer| peer.knowledge.heard_at);
            local < *name || last_heard.is_none_or(|at| now.since(at) >= silence)
        });
        let chosen = to_call.choose_multiple(&mut state.rng, CELL_PARTNERS);
        chosen.into_iter().cloned().collect()
    };
    start_exchanges(node, partners);
}

/// Gossips with some random entries of the availability zone, or of others if it has none, to learn
/// what they know of the followed tables.
pub(super) fn ask_zone(node: &Arc<Node>) {
    let partners = {
        let mut guard = node.state();
        let state = &mut *guard;
        let is_alone = !state.peers.values().any(|peer| peer.same_zone);
        let peers = state.peers.iter();
        let near = peers.filter(|(_, peer)| peer.same_zone || is_alone);
        let names = near.map(|(name, _)| name.clone());
        let chosen = names.choose_multiple(&mut state.rng, ASKED_ENTRIES);
        chosen.into_iter().collect()
    };
    start_exchanges(node, partners);
}

/// Starts an immediate gossip exchange with every entry that needs a change at once: all of
/// them in a small fleet, otherwise those of the cell and the fellow candidates.
pub(crate) fn gossip_now(node: &Arc<Node>) {
    let partners = {
        let state = node.state();
        if state.peers.len() <= SMALL_FLEET_PEERS {
            state.peers.keys().cloned().collect()
        } else {
            let cell = state.cell.entries.iter().cloned();
            cell.chain(ownership::fellow_candidates(&state)).collect()
        }
    };
    start_exchanges(node, partners);
}

/// Starts a gossip exchange with each of the given entries that has none in progress.
fn start_exchanges(node: &Arc<Node>, partners: BTreeSet<entry::Name>) {
    let names: Vec<entry::Name> = {
        let mut state = node.state();
        let peers = state.peers.iter_mut();
        let idle = peers.filter(|(name, peer)| !peer.call_in_progress && partners.contains(*name));
        idle.map(|(name, peer)| {
            peer.call_in_progress = true;
            name.clone()
        })
        .collect()
    };
    for name in names {
        smol::spawn(exchange(node.clone(), name)).detach();
    }
}

async fn exchange(node: Arc<Node>, name: entry::Name) {
    let called_at = node.now();
    let (address, message) = {
        let state = node.state();
        let Some(peer) = state.peers.get(&name) else {
            return;
        };
        let seen_at = peer.incarnation_seen_at;
        let mut message = Gossip {
            observations: message::observations(&state, called_at, peer.knowledge.heard_at),
            ..message::build(&state, called_at, &peer.knowledge, seen_at)
        };
        proofs::ask(&state, &mut message);
        (peer.address, message)
    };
    let response = match node.peers() {
        Some(peers) => peers.gossip(address, message).await,
        None => Err(cyclamen_peer::Error::Unreachable),
    };
    let now = node.now();
    match response {
        Ok(received) => receive(&node, now, received, Some(called_at)),
        Err(error) => {
            let silence = millis(node.settings.timing.peer_silence_ms);
            let state = node.state();
            let peer = state.peers.get(&name);
            let silent_for = peer
                .and_then(|p| p.knowledge.heard_at)
                .map(|at| now.since(at));
            if silent_for.is_some_and(|elapsed| elapsed < silence) {
                log::info!("event=peer_silent peer={name} reason=\"{error}\"");
            }
        }
    }
    if let Some(peer) = node.state().peers.get_mut(&name) {
        peer.call_in_progress = false;
    }
}

/// Handles gossip from another entry and returns the response.
pub(crate) fn respond(node: &Arc<Node>, received: Gossip) -> Gossip {
    let now = node.now();
    let sender = received.sender.entry.clone();
    let knowledge = Knowledge::of(now, &received);
    let asked = proofs::asked(&received);
    // Before the message is applied: the sender knows what it says.
    let observations = {
        let state = node.state();
        let peer = state.peers.get(&sender);
        message::observations(&state, now, peer.and_then(|p| p.knowledge.heard_at))
    };
    receive(node, now, received, None);
    let state = node.state();
    let seen_at = state.peers.get(&sender).and_then(|p| p.incarnation_seen_at);
    let mut message = Gossip {
        observations,
        ..message::build(&state, now, &knowledge, seen_at)
    };
    proofs::answer(&state, now, &asked, &mut message);
    message
}

/// Applies gossip from another entry.
///
/// `called_at` is when the call began to which it is the response; `None` if the other entry called.
fn receive(node: &Arc<Node>, now: Time, received: Gossip, called_at: Option<Time>) {
    let mut state = node.state();
    if received.sender.entry == state.local.entry {
        return;
    }
    state.observe_era(now, received.era);
    if let Some(peer) = state.peers.get_mut(&received.sender.entry) {
        if peer.incarnation_seen_at.is_none() || peer.incarnation != received.sender.incarnation {
            peer.incarnation_seen_at = Some(now);
        }
        peer.knowledge = Knowledge::of(now, &received).or_last(&peer.knowledge);
        peer.incarnation = received.sender.incarnation;
    } else {
        // The entry is new: reset the read time so that its address is read from its row.
        state.ownership.read_at = None;
    }
    let mut left = false;
    for worker in &received.leaving {
        left |= state.record_leaving(now, worker);
    }
    let sender = received.sender.entry;
    state.record_limit_reports(now, &sender, received.limits);
    state
        .dispatcher
        .record_peer_loads(now, sender.as_str(), received.loads);
    observe::record(&mut state, now, received.observations);
    state
        .dispatcher
        .record_team_work(now, sender.as_str(), received.team_work);
    state.record_answers(now, received.answers);
    state.record_strikes(now, received.strikes);
    let proofs =
        called_at.map_or_else(Vec::new, |at| proofs::received(&state, at, &received.delta));
    let rows = received.delta.rows.into_iter();
    let rows = rows.filter(|row| !state.rows.may_be_forgotten(row));
    let rows: Vec<Row> = rows.filter_map(row).collect();
    let (rows, obsolete): (Vec<Row>, Vec<Row>) = rows
        .into_iter()
        .partition(|row| row.revision.era == state.era);
    let is_catalog = |row: &Row| node.platform.subject(row.table, &row.key) == Subject::Catalog;
    let catalog = obsolete.into_iter().filter(is_catalog);
    let has_rows = !rows.is_empty();
    let newest = FOLLOWED_TABLES.map(|table| (table, newest(&rows, table)));
    let rows = rows.into_iter().chain(catalog);
    state.apply_rows(now, node.platform.as_ref(), Source::Gossip, rows);
    for (table, newest) in newest {
        if let Some(newest) = newest.filter(|_| is_position_told(&state, now, table)) {
            state.record_gossip_position(now, table, newest);
        }
    }
    for proof in proofs {
        if state.record_proof(now, proof) {
            node.metrics.record_table_proof(proof.table);
        }
    }
    let to_probe = state.record_suspicions(now, &sender, received.suspected, received.reached);
    drop(state);
    for worker in to_probe {
        probe_worker(node, worker, ProbeCause::Report, INITIAL_PROBES);
    }
    if has_rows || left {
        node.wake_planner();
    }
}

/// Returns the revision of the newest row of a table.
fn newest(rows: &[Row], table: Table) -> Option<Revision> {
    let rows = rows.iter().filter(|row| row.table == table);
    rows.map(|row| row.revision).max()
}

/// Returns whether rows that have come by gossip tell up to which revision a table is known.
///
/// Right after a start they may be meant for the former incarnation, and while a new era of the
/// store recovers, workers' rows are held back.
fn is_position_told(state: &State, now: Time, table: Table) -> bool {
    let is_held_back = table == Table::Instances && state.is_recovering();
    now >= FORMER_INCARNATION_UNTIL && !is_held_back
}

/// Converts a gossiped row; `None` if it does not belong to a followed table.
fn row(row: cyclamen_cache::Row) -> Option<Row> {
    let (table, key) = row.key.0.split_once('/')?;
    let table = FOLLOWED_TABLES
        .into_iter()
        .find(|t: &Table| t.as_str() == table)?;
    Some(Row {
        table,
        key: key.into(),
        revision: row.revision,
        value: row.value,
    })
}
