//! Obtains and renews this entry's lease.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_cache::Revision;
use cyclamen_types::{Time, entry, zone};
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::node::{Node, Peer, State};
use crate::platform::{Commit, Error, Snapshot, Table, Transaction};
use crate::tasks::store;

/// The time between two renewals of an entry that looks after no domain.
const IDLE_RENEWAL: Duration = Duration::from_secs(10);

/// The row of an entry; writing it again renews its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Row {
    /// The entry's start.
    pub(super) incarnation: entry::Incarnation,
    /// Where it listens for other entries.
    pub(super) address: SocketAddr,
    /// Its availability zone.
    pub(super) zone: zone::Name,
}

/// Renews the lease if it is due.
pub(super) async fn step(node: &Arc<Node>) {
    let now = node.now();
    let renewal = {
        let mut state = node.state();
        if state.draining || !is_due(&state, now) {
            return;
        }
        state.lease.start_renewal(now)
    };
    let Some(renewal) = renewal else {
        return;
    };
    if node.state().lease_revision.is_none() && find_own_row(node).await.is_err() {
        return;
    }
    let Some((key, value, revision)) = own_row(node) else {
        return;
    };
    let transaction = Transaction {
        conditions: vec![(Table::Entries, key.clone(), revision)],
        puts: vec![(Table::Entries, key, value)],
        deletes: Vec::new(),
    };
    match store::commit(node, transaction).await {
        Ok(Commit::Done(revision)) => {
            let mut state = node.state();
            let held = state.lease.is_held(now);
            state.lease_revision = Some(revision);
            state.lease.record_renewal(renewal);
            state.ownership.renewed = Some(now);
            if !held {
                log::info!("event=lease_obtained revision={revision}");
            }
        }
        Ok(Commit::Conflict) => conflict(node).await,
        Err(error) => log::info!("event=lease_not_renewed reason=\"{error}\""),
    }
}

/// Whether the lease is to be renewed as soon as it is old enough.
///
/// An entry that looks after no domain needs its row only to be found by others.
fn is_due(state: &State, now: Time) -> bool {
    let idle = state.ownership.planners.is_empty() && !state.ownership.wanting;
    let renewed = state.ownership.renewed;
    !idle || renewed.is_none_or(|at| now.since(at) >= IDLE_RENEWAL)
}

/// The key, the value and the last revision of this entry's row.
fn own_row(node: &Node) -> Option<(Arc<str>, Arc<str>, Revision)> {
    let state = node.state();
    let row = Row {
        incarnation: state.me.incarnation,
        address: node.settings.peer_listen,
        zone: state.zone.clone(),
    };
    let value = store::encode(&row)?;
    let key = state.me.entry.as_str().into();
    let revision = state.lease_revision.unwrap_or(Revision::ABSENT);
    Some((key, value, revision))
}

/// Reads the entries' rows, takes note of the others, and finds the own one.
async fn find_own_row(node: &Arc<Node>) -> Result<(), Error> {
    let snapshot = read_entries(node).await?;
    let mut state = node.state();
    let me = state.me.entry.clone();
    let own = snapshot.rows.iter().find(|row| *row.key == *me.as_str());
    state.lease_revision = Some(own.map_or(Revision::ABSENT, |row| row.revision));
    Ok(())
}

/// Finds out why a renewal met another revision than expected.
///
/// A write whose answer was lost may have been carried out since; then the row
/// is still this entry's. Otherwise the lease was taken from it.
async fn conflict(node: &Arc<Node>) {
    let Ok(snapshot) = read_entries(node).await else {
        return;
    };
    let mut state = node.state();
    let me = state.me.clone();
    let own = snapshot.rows.iter().find(|r| *r.key == *me.entry.as_str());
    let row: Option<Row> = own.and_then(|r| parse(r.value.as_deref()));
    if row.is_some_and(|row| row.incarnation == me.incarnation) {
        state.lease_revision = own.map(|r| r.revision);
        return;
    }
    log::warn!("event=lease_lost");
    state.lease.record_loss();
    state.lease_revision = Some(own.map_or(Revision::ABSENT, |r| r.revision));
    state.ownership.planners.clear();
    state.me.incarnation = entry::Incarnation(state.rng.random());
}

/// Reads the entries' rows and takes note of the other entries.
pub(super) async fn read_entries(node: &Arc<Node>) -> Result<Snapshot, Error> {
    let snapshot = store::read(node, Table::Entries).await?;
    note_peers(node, &snapshot);
    Ok(snapshot)
}

fn note_peers(node: &Node, snapshot: &Snapshot) {
    let mut state = node.state();
    let me = state.me.entry.clone();
    let mut listed = Vec::new();
    for row in &snapshot.rows {
        let name = row.key.parse::<entry::Name>();
        let (Ok(name), Some(entry)) = (name, parse(row.value.as_deref())) else {
            log::warn!("event=entry_row_not_understood key={}", row.key);
            continue;
        };
        if name == me {
            continue;
        }
        listed.push(name.clone());
        let Row {
            incarnation,
            address,
            zone,
        } = entry;
        let near = zone == state.zone;
        let peer = state.peers.entry(name.clone()).or_insert_with(|| {
            log::info!("event=peer_found peer={name} address={address}");
            Peer {
                incarnation,
                address,
                near,
                since: None,
                heard: None,
                as_of: Revision::default(),
                operators_as_of: Revision::default(),
                calling: false,
            }
        });
        peer.address = address;
    }
    state.peers.retain(|name, _| listed.contains(name));
    state.arrange_cell();
}

pub(super) fn parse(value: Option<&str>) -> Option<Row> {
    serde_json::from_str(value?).ok()
}

/// Gives the lease and every own domain up, at shutdown.
pub(crate) async fn resign(node: &Arc<Node>) {
    let transaction = {
        let mut state = node.state();
        state.lease.record_loss();
        let me = state.me.clone();
        let Some(revision) = state.lease_revision.filter(|r| r.0 > 0) else {
            return;
        };
        let own_row: (Table, Arc<str>) = (Table::Entries, me.entry.as_str().into());
        let mut transaction = Transaction {
            conditions: vec![(own_row.0, own_row.1.clone(), revision)],
            deletes: vec![own_row],
            puts: Vec::new(),
        };
        let names: Vec<_> = state.ownership.planners.keys().cloned().collect();
        for name in names {
            let key: Arc<str> = name.as_str().into();
            if let Some(holding) = state.ownership.holdings.get(&name) {
                let condition = (Table::Domains, key.clone(), holding.revision);
                transaction.conditions.push(condition);
                transaction.deletes.push((Table::Domains, key));
            }
        }
        state.ownership.planners.clear();
        transaction
    };
    match store::commit(node, transaction).await {
        Ok(Commit::Done(_)) => log::info!("event=lease_resigned"),
        Ok(Commit::Conflict) => log::warn!("event=lease_not_resigned reason=conflict"),
        Err(error) => log::warn!("event=lease_not_resigned reason=\"{error}\""),
    }
}
