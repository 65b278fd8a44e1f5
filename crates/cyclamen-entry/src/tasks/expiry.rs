//! Watches the leases of other entries and removes those that ran out.

use std::sync::Arc;

use cyclamen_cache::{Revision, Row};
use cyclamen_domain::Owner;
use cyclamen_platform::{Transaction, keys};

use crate::node::Node;

/// Entries that each entry watches; the ones that follow it in order of name.
const WATCHED: usize = 5;

/// Reads the leases of the watched entries.
pub(crate) async fn step(node: &Arc<Node>) {
    let targets = targets(node);
    if targets.is_empty() {
        return;
    }
    let Ok(rows) = node.platform.read(targets.iter().map(keys::lease)).await else {
        return;
    };
    let read = node.now();
    for target in &targets {
        let key = keys::lease(target);
        let row = rows
            .iter()
            .find(|row| row.key == key && row.value.is_some());
        if let Some(transaction) = judge(node, read, target, row) {
            remove(node, target, transaction).await;
        }
    }
}

fn targets(node: &Node) -> Vec<Owner> {
    let mut state = node.state();
    let me = state.me.clone();
    let after = state.entries.keys().filter(|owner| **owner > me);
    let before = state.entries.keys().filter(|owner| **owner < me);
    let targets: Vec<_> = after.chain(before).take(WATCHED).cloned().collect();
    state.observer.retain(|owner| targets.contains(owner));
    targets
}

/// The transaction that removes an entry whose lease has run out or is gone.
fn judge(
    node: &Node,
    read: cyclamen_types::Time,
    target: &Owner,
    row: Option<&Row>,
) -> Option<Transaction> {
    let mut state = node.state();
    let lease = keys::lease(target);
    let Some(row) = row else {
        let entry = keys::entry(target);
        let revision = state.revision(&entry);
        let gone = Transaction::default()
            .when(lease, Revision(0))
            .when(entry.clone(), revision);
        return Some(gone.delete(entry));
    };
    state.observer.observe(read, target, row.revision.0);
    let revision = state.observer.expired(read, target)?;
    let expired = Transaction::default().when(lease.clone(), Revision(revision));
    Some(expired.delete(lease).delete(keys::entry(target)))
}

async fn remove(node: &Node, target: &Owner, transaction: Transaction) {
    match node.platform.transact(&transaction).await {
        Ok(outcome) => log::info!("event=entry_removed entry={target} outcome=\"{outcome:?}\""),
        Err(error) => log::warn!("event=entry_not_removed entry={target} reason=\"{error}\""),
    }
}
