//! Calls to the platform's store, counted, and logged where they fail.

use std::sync::Arc;

use serde::Serialize;

use crate::node::Node;
use crate::platform::{Commit, Error, Snapshot, Table, Transaction};

/// Reads a whole table.
pub(super) async fn read(node: &Node, table: Table) -> Result<Snapshot, Error> {
    let answer = node.platform.read(table).await;
    node.metrics.called_store("read", answer.is_ok());
    answer.inspect_err(|error| {
        let table = table.as_str();
        log::info!("event=table_not_read table={table} reason=\"{error}\"");
    })
}

/// Commits a transaction; the caller logs what its failure means.
pub(super) async fn commit(node: &Node, transaction: Transaction) -> Result<Commit, Error> {
    let answer = node.platform.commit(transaction).await;
    node.metrics.called_store("commit", answer.is_ok());
    answer
}

/// Encodes a row of this project's own.
pub(super) fn encode(row: &impl Serialize) -> Option<Arc<str>> {
    let encoded = serde_json::to_string(row);
    let encoded = encoded.inspect_err(|error| {
        log::error!("event=row_not_encoded reason=\"{error}\"");
    });
    encoded.ok().map(Arc::from)
}
