//! Gossip messages for other entries.

use std::time::Duration;

use cyclamen_cache::Delta;
use cyclamen_dispatch::Observation;
use cyclamen_peer::Gossip;
use cyclamen_types::Time;

use crate::node::{Knowledge, State};
use crate::platform::Table;

/// The maximum age of another entry's last gossip at which its reported revisions count as
/// current.
const REPORTED_REVISIONS_TTL: Duration = Duration::from_millis(400);
/// The maximum number of rows in a gossip message.
pub(super) const MAX_ROWS: usize = 256;
/// How long after its first gossip an entry counts as new and also gets strikes that were
/// gossiped earlier.
const NEW_ENTRY_DURATION: Duration = Duration::from_secs(2);
/// The maximum number of strikes in a gossip message.
const MAX_STRIKES: usize = 64;

/// The maximum number of observations in a gossip message.
const MAX_OBSERVATIONS: usize = 24;

/// Returns the newest observations that were learnt since the last gossip of the receiver, which told
/// it the earlier ones.
pub(super) fn observations(state: &State, now: Time, heard_at: Option<Time>) -> Vec<Observation> {
    state
        .dispatcher
        .observations(now, heard_at, MAX_OBSERVATIONS)
}

/// Returns the gossip message for another entry, with the rows that it lacks according to its
/// last gossip.
///
/// Entries read changes from the store at about the same time, so the message
/// contains only rows that the other entry should have read a while ago. The rows
/// of a table are sent in the order of their revisions, so that the receiver
/// has all of them up to the last one it received. Their configuration is sent besides if the one
/// in force at the other entry is older.
///
/// `seen_at` is when gossip of the receiver's incarnation first arrived; `None` if it is unknown,
/// as is an entry whose row the store has lost.
pub(super) fn build(
    state: &State,
    now: Time,
    receiver: &Knowledge,
    seen_at: Option<Time>,
) -> Gossip {
    let fresh = receiver
        .heard_at
        .is_some_and(|at| now.since(at) < REPORTED_REVISIONS_TTL);
    if !fresh {
        return without_rows(state, now, seen_at);
    }
    let propagated = state.propagated_revision(now, Table::Instances);
    let lags = receiver.operators_as_of < state.propagated_revision(now, Table::Operators);
    let lacks_catalog = state.has_propagated_catalog(now, receiver.catalog_version);
    if !lags && !lacks_catalog && receiver.as_of >= propagated {
        return without_rows(state, now, seen_at);
    }
    let prefix = |table: Table| format!("{}/", table.as_str());
    let (operators, listed) = (prefix(Table::Operators), prefix(Table::Instances));
    let lacks = |row: &&cyclamen_cache::Row| {
        let known = if row.key.0.starts_with(&operators) {
            !lags || row.revision <= receiver.operators_as_of
        } else {
            !row.key.0.starts_with(&listed)
                || row.revision <= receiver.as_of
                || row.revision > propagated
        };
        !known
    };
    let oldest = receiver.as_of.min(receiver.operators_as_of);
    let is_listed = |row: &cyclamen_cache::Row| row.key.0.starts_with(&listed);
    let mut rows: Vec<_> = state.rows.rows_since(oldest).filter(lacks).collect();
    let catalog = state.catalog_row().filter(|_| lacks_catalog);
    rows.extend(catalog.filter(|catalog| !rows.iter().any(|row| row.key == catalog.key)));
    rows.sort_unstable_by_key(|row| (is_listed(row), row.revision));
    rows.truncate(MAX_ROWS);
    Gossip {
        delta: Delta {
            since: oldest,
            as_of: state.rows.as_of(),
            rows: rows.into_iter().cloned().collect(),
        },
        ..without_rows(state, now, seen_at)
    }
}

fn without_rows(state: &State, now: Time, seen_at: Option<Time>) -> Gossip {
    let is_new = seen_at.is_none_or(|at| now.since(at) < NEW_ENTRY_DURATION);
    let strikes = state.strikes.to_gossip(now, is_new, MAX_STRIKES);
    Gossip {
        sender: state.local.clone(),
        era: state.era,
        as_of: state.known_as_of(Table::Instances),
        operators_as_of: state.known_as_of(Table::Operators),
        catalog_version: state.catalog.version(),
        summaries: Vec::new(),
        answers: state.strikes.answers_to_gossip(now, &strikes),
        strikes,
        delta: Delta::default(),
        loads: state.dispatcher.loads(),
        leaving: state.leaving_to_gossip(now),
        suspected: state.suspicions_to_gossip(now),
        reached: state.detector.reached(now).cloned().collect(),
        handover: state.handover_address(),
        unserved: state.unserved(),
        cut_off: state.lost(),
        limits: state.limits_to_gossip(now),
        issues: state.issued_scopes(now),
        uses_permits: true,
        is_draining: state.is_draining(),
        store_age: now.since(state.store_known_at()),
        demands: state.demands_to_gossip(now),
        observations: Vec::new(),
        team_work: state.dispatcher.team_work(now),
    }
}
