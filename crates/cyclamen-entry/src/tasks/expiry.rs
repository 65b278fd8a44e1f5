//! Observes the leases of other entries and removes entries whose leases expired.

use std::sync::Arc;

use cyclamen_cache::{Revision, Row};
use cyclamen_domain::Owner;
use cyclamen_platform::{Transaction, keys};

use crate::node::Node;

/// The maximum number of entries that each entry observes: those that follow it in the
/// order of names, which wraps around at the end.
const MAX_OBSERVED_ENTRIES: usize = 5;

/// Reads the leases of the observed entries and removes those that expired.
pub(crate) async fn step(node: &Arc<Node>) {
    let targets = targets(node);
    if targets.is_empty() {
        return;
    }
    let Ok(rows) = node.platform.read(targets.iter().map(keys::lease)).await else {
        return;
    };
    let read_at = node.now();
    for target in &targets {
        let key = keys::lease(target);
        let row = rows
            .iter()
            .find(|row| row.key == key && row.value.is_some());
        if let Some(transaction) = removal(node, read_at, target, row) {
            remove(node, target, transaction).await;
        }
    }
}

fn targets(node: &Node) -> Vec<Owner> {
    let mut state = node.state();
    let me = state.me.clone();
    let after = state.entries.keys().filter(|owner| **owner > me);
    let before = state.entries.keys().filter(|owner| **owner < me);
    let targets: Vec<_> = after
        .chain(before)
        .take(MAX_OBSERVED_ENTRIES)
        .cloned()
        .collect();
    state.observer.retain(|owner| targets.contains(owner));
    targets
}

/// Returns the transaction that removes an entry whose lease has expired or is absent.
fn removal(
    node: &Node,
    read_at: cyclamen_types::Time,
    target: &Owner,
    row: Option<&Row>,
) -> Option<Transaction> {
    let mut state = node.state();
    let lease = keys::lease(target);
    let Some(row) = row else {
        let entry = keys::entry(target);
        let revision = state.revision(&entry);
        let absent = Transaction::default()
            .when(lease, Revision::ABSENT)
            .when(entry.clone(), revision);
        return Some(absent.delete(entry));
    };
    state.observer.observe(read_at, target, row.revision);
    let revision = state.observer.expired(read_at, target)?;
    let expired = Transaction::default().when(lease.clone(), revision);
    Some(expired.delete(lease).delete(keys::entry(target)))
}

async fn remove(node: &Node, target: &Owner, transaction: Transaction) {
    match node.platform.transact(&transaction).await {
        Ok(outcome) => log::info!("event=entry_removed entry={target} outcome=\"{outcome:?}\""),
        Err(error) => log::warn!("event=entry_not_removed entry={target} reason=\"{error}\""),
    }
}
