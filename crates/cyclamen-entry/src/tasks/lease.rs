//! Obtains, renews and resigns the lease of this entry.

use std::sync::Arc;

use cyclamen_cache::Revision;
use cyclamen_domain::Owner;
use cyclamen_lease::Renewal;
use cyclamen_platform::{Error, Outcome, Transaction, keys};

use crate::node::{Entry, Lease, Node};

/// Sends a renewal if one is due.
pub(crate) async fn step(node: &Arc<Node>) {
    let now = node.now();
    let (renewal, me, revision) = {
        let mut state = node.state();
        let Some(renewal) = state.lease.start_renewal(now) else {
            return;
        };
        (renewal, state.me.clone(), state.lease_revision)
    };
    let transaction = match revision {
        Some(revision) => renewal_transaction(&me, revision),
        None => registration_transaction(node, &me),
    };
    match node.platform.transact(&transaction).await {
        Ok(Outcome::Committed(revision)) => record_renewal(node, renewal, &me, revision),
        Ok(Outcome::Conflict(_)) => resolve_conflict(node, &me, revision.is_some()).await,
        Err(error) => log::warn!("event=lease_not_renewed reason=\"{error}\""),
    }
}

fn registration_transaction(node: &Node, me: &Owner) -> Transaction {
    Transaction::default()
        .when(keys::lease(me), Revision::ABSENT)
        .put(keys::lease(me), &Lease { renewals: 0 })
        .put(keys::entry(me), &entry(node, false))
}

fn entry(node: &Node, draining: bool) -> Entry {
    Entry {
        zone: node.settings.zone.clone(),
        peer: node.settings.peer_listen,
        draining,
    }
}

/// Marks this entry as draining in its row, so that other entries assign no more domains
/// to it.
pub(crate) async fn announce_drain(node: &Node) {
    let key = {
        let state = node.state();
        keys::entry(&state.me)
    };
    let revision = node.state().revision(&key);
    let write = Transaction::default()
        .when(key.clone(), revision)
        .put(key, &entry(node, true));
    if let Err(error) = node.platform.transact(&write).await {
        log::warn!("event=drain_not_announced reason=\"{error}\"");
    }
}

fn renewal_transaction(me: &Owner, revision: Revision) -> Transaction {
    let lease = Lease {
        renewals: revision.version,
    };
    Transaction::default()
        .when(keys::lease(me), revision)
        .put(keys::lease(me), &lease)
}

fn record_renewal(node: &Node, renewal: Renewal, me: &Owner, revision: Revision) {
    let mut state = node.state();
    if state.me == *me {
        state.lease.record_renewal(renewal);
        state.lease_revision = Some(revision);
    }
}

/// Reads the lease after a conflict: either an earlier write took effect or the lease was
/// removed.
async fn resolve_conflict(node: &Node, me: &Owner, registered: bool) {
    let Ok(rows) = node.platform.read([keys::lease(me)]).await else {
        return;
    };
    let row = rows.into_iter().find(|row| row.value.is_some());
    let now = node.now();
    let mut state = node.state();
    match row {
        Some(row) => state.lease_revision = Some(row.revision),
        None if registered => {
            log::warn!("event=lease_lost entry={me}");
            state.start_incarnation(now);
        }
        None => {}
    }
}

/// Deletes the lease and the row of this entry at shutdown.
pub(crate) async fn resign(node: &Node) -> Result<Outcome, Error> {
    let me = node.state().me.clone();
    let transaction = Transaction::default()
        .delete(keys::lease(&me))
        .delete(keys::entry(&me));
    node.platform.transact(&transaction).await
}
