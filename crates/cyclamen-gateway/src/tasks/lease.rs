//! Obtains, renews and resigns this entry's lease.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_cache::Revision;
use cyclamen_types::{Time, entry, zone};
use rand::Rng;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};

use crate::node::{Node, Peer, State};
use crate::platform::{Commit, Error, Snapshot, Table, Transaction};
use crate::tasks::{ownership, store};

/// The renewal interval of an entry that owns no domain.
const IDLE_RENEWAL_INTERVAL: Duration = Duration::from_secs(10);

/// The number of domains whose rows a renewal verifies; the store bounds the size of a
/// transaction.
const MAX_DOMAIN_CONDITIONS: usize = 64;

/// The stored row of an entry; writing it again renews the entry's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Row {
    /// The entry's incarnation.
    pub(super) incarnation: entry::Incarnation,
    /// The address on which it listens for other entries.
    pub(super) address: SocketAddr,
    /// The entry's availability zone.
    pub(super) zone: zone::Name,
}

/// Renews the lease if it is due.
pub(super) async fn step(node: &Arc<Node>) {
    let now = node.now();
    let renewal = {
        let mut state = node.state();
        if state.is_draining() || !is_due(&state, now) {
            return;
        }
        state.lease.start_renewal(now)
    };
    let Some(renewal) = renewal else {
        return;
    };
    if node.state().lease_revision.is_none() && read_own_revision(node).await.is_err() {
        return;
    }
    let Some((key, value, revision)) = own_row(node) else {
        return;
    };
    let mut conditions = vec![(Table::Entries, key.clone(), revision)];
    conditions.extend(domain_conditions(&mut node.state()));
    let transaction = Transaction {
        conditions,
        puts: vec![(Table::Entries, key, value)],
        deletes: Vec::new(),
    };
    match store::commit(node, transaction).await {
        Ok(Commit::Done(revision)) => {
            let mut state = node.state();
            let held = state.lease.is_held(now);
            state.lease_revision = Some(revision);
            state.lease.record_renewal(renewal);
            state.ownership.idle_renewal_at = now + IDLE_RENEWAL_INTERVAL;
            if !held {
                log::info!("event=lease_obtained revision={revision}");
            }
        }
        Ok(Commit::Conflict) => resolve_conflict(node).await,
        Err(error) => log::info!("event=lease_not_renewed reason=\"{error}\""),
    }
}

/// Returns whether the lease may be renewed; the holder enforces the normal interval.
///
/// An entry that neither owns nor takes over a domain needs its row only so that other entries
/// can discover it, and renews it less often.
fn is_due(state: &State, now: Time) -> bool {
    let idle = state.ownership.planners.is_empty() && !state.ownership.needs_lease;
    !idle || now >= state.ownership.idle_renewal_at
}

/// Returns the conditions that the rows of owned domains are unchanged; of some of them, chosen
/// anew each time, if they are many.
fn domain_conditions(state: &mut State) -> Vec<(Table, Arc<str>, Revision)> {
    let conditions = state.ownership.conditions();
    conditions.choose_multiple(&mut state.rng, MAX_DOMAIN_CONDITIONS)
}

/// Returns the key, the value and the last known revision of this entry's row.
fn own_row(node: &Node) -> Option<(Arc<str>, Arc<str>, Revision)> {
    let state = node.state();
    let row = Row {
        incarnation: state.local.incarnation,
        address: node.settings.peer_listen,
        zone: state.zone.clone(),
    };
    let value = store::encode(&row)?;
    let key = state.local.entry.as_str().into();
    let revision = state.lease_revision.unwrap_or(Revision::ABSENT);
    Some((key, value, revision))
}

/// Reads the entries' rows, and records the other entries and the revision of this entry's row.
async fn read_own_revision(node: &Arc<Node>) -> Result<(), Error> {
    let snapshot = read_entries(node).await?;
    let mut state = node.state();
    let local = state.local.entry.clone();
    let own = snapshot.rows.iter().find(|row| *row.key == *local.as_str());
    state.lease_revision = Some(own.map_or(Revision::ABSENT, |row| row.revision));
    Ok(())
}

/// Handles a renewal that failed because the row has another revision than expected.
///
/// An earlier write whose response was lost may have been committed since; then
/// the row still has this entry's incarnation. Otherwise the lease was lost to
/// another entry. A domain whose row has changed is lost in either case.
async fn resolve_conflict(node: &Arc<Node>) {
    let Ok(snapshot) = read_entries(node).await else {
        return;
    };
    if ownership::read_owners(node).await.is_err() {
        return;
    }
    let mut state = node.state();
    let local = state.local.clone();
    let own = snapshot
        .rows
        .iter()
        .find(|r| *r.key == *local.entry.as_str());
    let row: Option<Row> = own.and_then(|r| parse(r.value.as_deref()));
    if row.is_some_and(|row| row.incarnation == local.incarnation) {
        state.lease_revision = own.map(|r| r.revision);
        return;
    }
    log::warn!("event=lease_lost");
    state.lease.record_loss();
    state.lease_revision = Some(own.map_or(Revision::ABSENT, |r| r.revision));
    state.ownership.planners.clear();
    state.local.incarnation = entry::Incarnation(state.rng.random());
}

/// Reads the entries' rows and records the other entries.
pub(super) async fn read_entries(node: &Arc<Node>) -> Result<Snapshot, Error> {
    let snapshot = store::read(node, Table::Entries).await?;
    record_peers(node, &snapshot);
    Ok(snapshot)
}

fn record_peers(node: &Node, snapshot: &Snapshot) {
    let now = node.now();
    let mut state = node.state();
    let local = state.local.entry.clone();
    let mut listed = Vec::new();
    let mut odd = Vec::new();
    for row in &snapshot.rows {
        let name = row.key.parse::<entry::Name>();
        let (Ok(name), Some(content)) = (name, parse(row.value.as_deref())) else {
            odd.push(row);
            continue;
        };
        if name == local {
            continue;
        }
        listed.push(name.clone());
        let Row {
            incarnation,
            address,
            zone,
        } = content;
        let same_zone = zone == state.zone;
        let peer = state.peers.entry(name.clone()).or_insert_with(|| {
            log::info!("event=peer_found peer={name} address={address}");
            Peer::new(incarnation, address, same_zone)
        });
        peer.address = address;
    }
    let event = "entry_row_not_understood";
    state.odd_rows.record(Table::Entries, event, odd);
    // While the store may still lack rows, the other entries are those that call.
    let is_recovering = state.is_recovering();
    state
        .peers
        .retain(|name, _| is_recovering || listed.contains(name));
    let count = state.entry_count();
    state.members.record(now, count);
    state.update_cell();
}

/// Parses the value of an entry's row.
pub(super) fn parse(value: Option<&str>) -> Option<Row> {
    serde_json::from_str(value?).ok()
}

/// Deletes the lease row and the rows of all owned domains, at shutdown.
pub(crate) async fn resign(node: Arc<Node>) {
    let transaction = {
        let mut state = node.state();
        state.lease.record_loss();
        let local = state.local.clone();
        let Some(revision) = state.lease_revision.filter(|r| *r != Revision::ABSENT) else {
            return;
        };
        let own_row: (Table, Arc<str>) = (Table::Entries, local.entry.as_str().into());
        let mut transaction = Transaction {
            conditions: vec![(own_row.0, own_row.1.clone(), revision)],
            deletes: vec![own_row],
            puts: Vec::new(),
        };
        let names: Vec<_> = state.ownership.planners.keys().cloned().collect();
        for name in names {
            let key: Arc<str> = name.as_str().into();
            if let Some(row) = state.ownership.owner_rows.get(&name) {
                let condition = (Table::Domains, key.clone(), row.revision);
                transaction.conditions.push(condition);
                transaction.deletes.push((Table::Domains, key));
            }
        }
        state.ownership.planners.clear();
        transaction
    };
    match store::commit(&node, transaction).await {
        Ok(Commit::Done(_)) => log::info!("event=lease_resigned"),
        Ok(Commit::Conflict) => log::warn!("event=lease_not_resigned reason=conflict"),
        Err(error) => log::warn!("event=lease_not_resigned reason=\"{error}\""),
    }
}
