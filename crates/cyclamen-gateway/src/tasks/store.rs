//! Calls to the platform's store, with metrics and logs of failures.

use std::sync::Arc;

use serde::Serialize;

use crate::node::Node;
use crate::platform::{Commit, Error, Snapshot, Table, Transaction};

/// Reads a complete table.
pub(super) async fn read(node: &Node, table: Table) -> Result<Snapshot, Error> {
    let result = node.platform.read(table).await;
    record_call(node, "read", table, result.is_ok());
    observe_era(node);
    let result = result.and_then(|snapshot| {
        let is_current = snapshot.as_of.era == node.state().era;
        is_current.then_some(snapshot).ok_or(Error::EraEnded)
    });
    result.inspect_err(|error| {
        let table = table.as_str();
        log::info!("event=table_not_read table={table} reason=\"{error}\"");
    })
}

/// Commits a transaction; the caller logs a failure.
pub(super) async fn commit(node: &Node, transaction: Transaction) -> Result<Commit, Error> {
    let table = transaction.table();
    let result = node.platform.commit(transaction).await;
    record_call(node, "commit", table, result.is_ok());
    observe_era(node);
    match result {
        Ok(Commit::Done(revision)) if revision.era < node.state().era => Err(Error::EraEnded),
        result => result,
    }
}

/// Counts a call to the store and records whether the store answered it.
pub(super) fn record_call(node: &Node, call: &'static str, table: Table, ok: bool) {
    node.metrics.record_store_call(call, table, ok);
    let mut state = node.state();
    state.store_calls.record(call, table);
    if ok {
        state.store_answered_at = node.now();
    }
}

/// Logs how many calls of each kind were made since the last time, and how many were not needed.
pub(super) async fn report(node: &Arc<Node>) {
    let calls = std::mem::take(&mut node.state().store_calls);
    if !calls.is_empty() {
        log::info!("event=store_calls {calls}");
    }
}

/// Begins an era of the store that one of its responses has told.
pub(super) fn observe_era(node: &Node) {
    let era = node.platform.era();
    if node.state().observe_era(node.now(), era) {
        node.wake_planner();
    }
}

/// Encodes a row of one of the tables that entries write; logs an error.
pub(super) fn encode(row: &impl Serialize) -> Option<Arc<str>> {
    let encoded = serde_json::to_string(row);
    let encoded = encoded.inspect_err(|error| {
        log::error!("event=row_not_encoded reason=\"{error}\"");
    });
    encoded.ok().map(Arc::from)
}
