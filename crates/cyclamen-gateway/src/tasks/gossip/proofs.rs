//! Proofs in gossip that a followed table is known completely.
//!
//! A call names the caller's position in each table, and the response tells what has changed since.
//! They travel as rows of a table of their own, which builds that do not know it ignore.

use std::time::Duration;

use cyclamen_cache::{Delta, Key, Revision, Row};
use cyclamen_peer::Gossip;
use cyclamen_types::Time;

use super::message::MAX_ROWS;
use crate::node::{FOLLOWED_TABLES, Proof, State};
use crate::platform::Table;

/// What the keys of positions begin with; the name of the followed table comes after it.
const PREFIX: &str = "positions/";

/// Adds this entry's positions to a call.
pub(super) fn ask(state: &State, message: &mut Gossip) {
    if !state.shares_following {
        return;
    }
    for table in FOLLOWED_TABLES {
        if let Some(position) = state.positions.get(&table) {
            message.delta.rows.push(row(table, *position, None));
        }
    }
}

/// Returns the positions that a caller names.
pub(super) fn asked(received: &Gossip) -> Vec<(Table, Revision)> {
    let rows = received.delta.rows.iter();
    rows.filter_map(|row| Some((table(row)?, row.revision)))
        .collect()
}

/// Adds to a response what has changed since the positions of the caller, for the tables of which
/// this entry can prove that it knows all.
pub(super) fn answer(state: &State, now: Time, asked: &[(Table, Revision)], message: &mut Gossip) {
    if !state.shares_following {
        return;
    }
    for (table, since) in asked {
        if let Some(rows) = changes(state, now, *table, *since) {
            let rows = rows.into_iter();
            let lacking = rows.filter(|row| !message.delta.rows.contains(row));
            let lacking: Vec<Row> = lacking.collect();
            message.delta.rows.extend(lacking);
        }
    }
}

/// Returns all rows of a table that changed after a revision, and the row with the proof.
fn changes(state: &State, now: Time, table: Table, since: Revision) -> Option<Vec<Row>> {
    let proof = state.proof(table)?;
    // What was deleted before the table was read as a whole is not known here.
    let read_as_of = state.read_as_of.get(&table)?;
    let is_retained = since >= *read_as_of && state.rows.retains_since(since);
    let starts = since.era == proof.position.era && is_retained;
    if !starts || since > proof.position {
        return None;
    }
    let prefix = format!("{}/", table.as_str());
    let changed = state.rows.rows_since(since);
    let changed = changed.filter(|row| row.key.0.starts_with(&prefix));
    let mut rows: Vec<Row> = changed.take(MAX_ROWS + 1).cloned().collect();
    if rows.len() > MAX_ROWS {
        return None;
    }
    let age = now.since(proof.complete_at).as_millis() + 1;
    let value = format!("{age} {}", since.version);
    rows.push(row(table, proof.position, Some(value)));
    Some(rows)
}

/// Returns the proofs in a response to a call that began at `called_at`.
///
/// Those that begin after this entry's position prove nothing, nor do any if a row may be
/// disregarded.
pub(super) fn received(state: &State, called_at: Time, delta: &Delta) -> Vec<Proof> {
    if !state.shares_following {
        return Vec::new();
    }
    let mut rows = delta.rows.iter();
    if rows.any(|row| table(row).is_none() && state.rows.may_be_forgotten(row)) {
        return Vec::new();
    }
    let rows = delta.rows.iter();
    rows.filter_map(|row| proof(state, called_at, row))
        .collect()
}

fn proof(state: &State, called_at: Time, row: &Row) -> Option<Proof> {
    let table = table(row)?;
    let (age, since) = row.value.as_deref()?.split_once(' ')?;
    let age = Duration::from_millis(age.parse().ok()?);
    let since = Revision {
        era: row.revision.era,
        version: since.parse().ok()?,
    };
    let own = *state.positions.get(&table)?;
    let continues = own.era == since.era && since <= own;
    continues.then_some(Proof {
        table,
        position: row.revision,
        complete_at: called_at - age,
    })
}

fn row(table: Table, revision: Revision, value: Option<String>) -> Row {
    Row {
        key: Key::new(PREFIX, table.as_str()),
        revision,
        value: value.map(Into::into),
    }
}

/// Returns the table of whose position a row tells.
fn table(row: &Row) -> Option<Table> {
    let name = row.key.0.strip_prefix(PREFIX)?;
    FOLLOWED_TABLES.into_iter().find(|t| t.as_str() == name)
}
