//! Keeps the evidence against contained parts of prompts in the store, so that it outlasts a
//! restart of all entries.

use std::collections::BTreeSet;
use std::sync::Arc;

use cyclamen_cache::Revision;
use cyclamen_route::containment::{Combination, Part, Strike};
use serde::{Deserialize, Serialize};

use crate::node::Node;
use crate::platform::{Error, Row as StoredRow, Table, Transaction};
use crate::tasks::store;

/// The tables with evidence.
const TABLES: [Table; 2] = [Table::Parts, Table::Combinations];

/// The stored row of contained parts: strikes that suffice to contain them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Row {
    strikes: Vec<Strike>,
}

/// What the store lacks or has too much of.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Change {
    Put(Combination, Vec<Strike>),
    Delete(Combination),
}

/// Reads the evidence once, then stores that against newly contained parts and deletes that against
/// released ones.
pub(super) async fn step(node: &Arc<Node>) {
    if node.state().stored_evidence.is_none() && read(node).await.is_err() {
        return;
    }
    while let Some(change) = next_change(node) {
        if let Err(error) = apply(node, &change).await {
            log::info!("event=evidence_not_stored reason=\"{error}\"");
            return;
        }
    }
}

/// Reads the evidence and records it as strikes.
async fn read(node: &Arc<Node>) -> Result<(), Error> {
    let mut stored = BTreeSet::new();
    for table in TABLES {
        let snapshot = store::read(node, table).await?;
        record(node, table, &snapshot.rows, &mut stored);
    }
    node.state().stored_evidence = Some(stored);
    Ok(())
}

/// Records the evidence of a table as strikes, and against what it is.
///
/// Evidence against parts together is left out if there is evidence against fewer of them: that is
/// later.
fn record(node: &Node, table: Table, rows: &[StoredRow], stored: &mut BTreeSet<Combination>) {
    let now = node.now();
    let mut state = node.state();
    let mut odd = Vec::new();
    for row in rows {
        let Some(evidence) = parse(row) else {
            odd.push(row);
            stored.extend(contained(table, row, &[]));
            continue;
        };
        let contained = contained(table, row, &evidence.strikes);
        let is_decided = contained.as_ref().is_some_and(|c| {
            let parts: Vec<Part> = c.parts().cloned().collect();
            stored.iter().any(|fewer| fewer.is_in(&parts))
        });
        if !is_decided {
            state.record_strikes(now, evidence.strikes);
        }
        stored.extend(contained);
    }
    let event = "evidence_not_understood";
    state.odd_rows.record(table, event, odd);
}

fn parse(row: &StoredRow) -> Option<Row> {
    serde_json::from_str(row.value.as_deref()?).ok()
}

/// Returns what a row is evidence against, if its key tells.
fn contained(table: Table, row: &StoredRow, strikes: &[Strike]) -> Option<Combination> {
    match table {
        Table::Combinations => {
            let parts = strikes.iter().flat_map(|strike| strike.parts.iter());
            let combination = Combination::of(parts);
            (address(&combination) == (table, row.key.clone())).then_some(combination)
        }
        _ if row.key.is_empty() => None,
        _ => Some(Part::new(row.key.clone()).into()),
    }
}

/// Returns the table and the key of the evidence against some parts.
fn address(contained: &Combination) -> (Table, Arc<str>) {
    match contained.single() {
        Some(part) => (Table::Parts, part.as_str().into()),
        None => (Table::Combinations, contained.digest()),
    }
}

/// Returns the next difference between what is contained and the evidence in the store.
fn next_change(node: &Node) -> Option<Change> {
    let now = node.now();
    let state = node.state();
    let stored = state.stored_evidence.as_ref()?;
    let contained = state.strikes.contained();
    if let Some(added) = contained.difference(stored).next() {
        let evidence = state.strikes.evidence(now, added);
        return Some(Change::Put(added.clone(), evidence));
    }
    let released = stored.difference(contained).next();
    released.map(|released| Change::Delete(released.clone()))
}

/// Applies a change to the store; another entry may have done so already.
async fn apply(node: &Arc<Node>, change: &Change) -> Result<(), Error> {
    let transaction = match change {
        Change::Put(contained, strikes) => {
            let strikes = strikes.clone();
            let Some(value) = store::encode(&Row { strikes }) else {
                return Err(Error::Malformed);
            };
            let (table, key) = address(contained);
            Transaction {
                conditions: vec![(table, key.clone(), Revision::ABSENT)],
                puts: vec![(table, key, value)],
                ..Transaction::default()
            }
        }
        Change::Delete(released) => Transaction {
            deletes: vec![address(released)],
            ..Transaction::default()
        },
    };
    store::commit(node, transaction).await?;
    let mut state = node.state();
    if let Some(stored) = &mut state.stored_evidence {
        match change {
            Change::Put(contained, _) => stored.insert(contained.clone()),
            Change::Delete(released) => stored.remove(released),
        };
    }
    Ok(())
}
