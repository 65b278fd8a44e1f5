//! Follows the tables that operators and workers write.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_replica::Planner;
use cyclamen_types::Time;
use smol::Timer;

use crate::node::{FOLLOWED_TABLES, Node, Source, State};
use crate::platform::share::{Schedule, Situation, Step};
use crate::platform::{Changes, Error, Poll, Snapshot, Table};
use crate::tasks::{gossip, store};

/// The initial time between the starts of a failed call and its retry; it doubles with each failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The time, for each entry, by which the next read of instance changes is delayed so that they
/// accumulate in the store. There is no delay while a group of an owned domain is being formed or
/// dissolved.
const BATCH_WINDOW_PER_ENTRY: Duration = Duration::from_millis(20);
/// The maximum delay of the next read of instance changes.
const MAX_BATCH_WINDOW: Duration = Duration::from_millis(1_500);
/// The maximum time between the starts of a failed call and its retry.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Starts a task for each table.
pub(super) fn start(node: &Arc<Node>) -> Vec<smol::Task<()>> {
    let follow = |table| smol::spawn(run(node.clone(), table));
    FOLLOWED_TABLES.map(follow).into()
}

async fn run(node: Arc<Node>, table: Table) {
    let mut delay = MIN_RETRY_DELAY;
    let mut synced = false;
    let mut reachable = true;
    let mut schedule = node.state().shares_following.then(|| {
        let options = node.settings.timing.polls(table);
        Schedule::new(options)
    });
    loop {
        let mut shared = None;
        if synced && let Some(schedule) = &mut schedule {
            match step(&node, table, schedule, reachable) {
                Step::Ask(poll) => shared = Some((poll, *schedule)),
                Step::AskOthers(wait) => {
                    gossip::ask_zone(&node);
                    Timer::after(wait).await;
                    continue;
                }
                Step::Wait(wait) => {
                    Timer::after(wait).await;
                    continue;
                }
            }
        }
        let called_at = node.now();
        let step = if synced {
            follow(&node, table, reachable, shared).await
        } else {
            read(&node, table).await.map(|()| true)
        };
        match step {
            Ok(still_synced) => {
                if !reachable {
                    log::info!("event=store_regained table={}", table.as_str());
                }
                reachable = true;
                synced = still_synced;
                delay = MIN_RETRY_DELAY;
            }
            Err(error) => {
                if reachable {
                    log::warn!(
                        "event=store_lost table={} reason=\"{error}\"",
                        table.as_str()
                    );
                }
                reachable = false;
                // Asking for the same changes again could bring the same response for ever.
                synced &= error != Error::Malformed;
                record_failure(&node, table, called_at, &error);
                let elapsed = node.now().since(called_at);
                Timer::after(delay.saturating_sub(elapsed)).await;
                delay = (delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

/// Decides whether to ask the store now if the following of tables is shared.
///
/// A table that has to be read again is asked for at once.
fn step(node: &Arc<Node>, table: Table, schedule: &mut Schedule, reachable: bool) -> Step {
    let now = node.now();
    let mut guard = node.state();
    let state = &mut *guard;
    let is_urgent = table == Table::Instances && is_busy(state);
    let is_of_former_era = state.as_of(table).era < state.era;
    let situation = Situation {
        age: state.proof_age(now, table),
        zone_entries: 1 + state.peers.values().filter(|peer| peer.same_zone).count(),
        is_urgent: is_urgent || is_of_former_era,
        is_reachable: reachable,
    };
    schedule.step(now, situation, &mut state.rng)
}

/// Returns whether a group of an owned domain is being formed or dissolved.
fn is_busy(state: &State) -> bool {
    let mut planners = state.ownership.planners.values();
    planners.any(Planner::is_busy)
}

/// Records a call that the store did not answer, with the time spent on it and the age of what is
/// known of the table.
fn record_failure(node: &Arc<Node>, table: Table, called_at: Time, error: &Error) {
    let now = node.now();
    let mut state = node.state();
    state.registry.record_outage(now);
    let age = state.table_age(now, table);
    log::info!(
        "event=table_not_followed table={} waited_ms={} age_ms={} reason=\"{error}\"",
        table.as_str(),
        now.since(called_at).as_millis(),
        age.as_millis()
    );
}

async fn read(node: &Arc<Node>, table: Table) -> Result<(), Error> {
    let called_at = node.now();
    let snapshot = store::read(node, table).await?;
    log::info!(
        "event=table_read table={} rows={} revision={}",
        table.as_str(),
        snapshot.rows.len(),
        snapshot.as_of
    );
    let now = node.now();
    let mut state = node.state();
    if state.shares_following {
        state.reset_position(table, snapshot.as_of);
    }
    state.apply_snapshot(now, node.platform.as_ref(), table, snapshot);
    state.record_answer(table, called_at);
    drop(state);
    node.wake_planner();
    Ok(())
}

/// Waits for changes and applies them; returns `false` if the table has to be read again.
///
/// `reachable` is whether the store answered the last call; `shared` is the call to make, and the
/// schedule that decided so, if the following of tables is shared.
async fn follow(
    node: &Arc<Node>,
    table: Table,
    reachable: bool,
    shared: Option<(Poll, Schedule)>,
) -> Result<bool, Error> {
    let (after, age, era) = {
        let state = node.state();
        let age = state.table_age(node.now(), table);
        (state.as_of(table), age, state.era)
    };
    if after.era < era {
        return Ok(false);
    }
    let polls = node.settings.timing.polls(table);
    let poll = match shared {
        Some((poll, _)) => poll,
        None if reachable => polls.next(age),
        None => polls.retry(),
    };
    let called_at = node.now();
    let followed = node.platform.follow(table, after, poll).await;
    store::record_call(node, "follow", table, followed.is_ok());
    store::observe_era(node);
    match followed? {
        Changes::Rows(snapshot) if shared.is_some() && snapshot.as_of < after => {
            // Another entry told of a revision that the store has not reached.
            log::warn!("event=position_not_reached table={}", table.as_str());
            node.state().distrust(table);
            Ok(false)
        }
        Changes::Rows(snapshot) => {
            let has_changes = !snapshot.rows.is_empty();
            let busy = apply(node, table, snapshot);
            let complete_at = poll.complete_at(called_at, node.now(), has_changes);
            node.state().record_answer(table, complete_at);
            if has_changes {
                node.wake_planner();
            }
            if has_changes {
                let window = match shared {
                    Some((_, schedule)) => shared_window(node, table, schedule, busy),
                    None if busy => Duration::ZERO,
                    None => batch_window(node, table),
                };
                if !window.is_zero() {
                    Timer::after(window).await;
                }
            }
            Ok(true)
        }
        Changes::Expired => {
            log::warn!("event=history_lost table={}", table.as_str());
            Ok(false)
        }
    }
}

/// Returns the delay of the next read of changes if the following of tables is shared.
///
/// An entry that knows no other has nobody to tell it of changes in the meantime.
fn shared_window(node: &Arc<Node>, table: Table, schedule: Schedule, busy: bool) -> Duration {
    let is_alone = node.state().peers.is_empty();
    match table {
        Table::Instances if is_alone && busy => Duration::ZERO,
        Table::Instances if is_alone => batch_window(node, table),
        Table::Instances => schedule.window(node.state().proof_age(node.now(), table), busy),
        Table::Operators | Table::Entries | Table::Domains | Table::Parts | Table::Combinations => {
            Duration::ZERO
        }
    }
}

/// Returns the delay of the next read of changes; it grows with the number of entries that query
/// the store.
fn batch_window(node: &Arc<Node>, table: Table) -> Duration {
    let window = match table {
        Table::Instances => {
            let entries = node.state().entry_count();
            let entries = u32::try_from(entries).unwrap_or(u32::MAX);
            BATCH_WINDOW_PER_ENTRY
                .saturating_mul(entries)
                .min(MAX_BATCH_WINDOW)
        }
        Table::Operators | Table::Entries | Table::Domains | Table::Parts | Table::Combinations => {
            Duration::ZERO
        }
    };
    window.min(node.settings.timing.polls(table).max_delay())
}

/// Applies changed rows; returns whether a group of an owned domain is being formed or
/// dissolved.
fn apply(node: &Arc<Node>, table: Table, changed: Snapshot) -> bool {
    let now = node.now();
    let mut state = node.state();
    state.apply_rows(now, node.platform.as_ref(), Source::Store, changed.rows);
    state.record_position(now, table, changed.as_of);
    is_busy(&state)
}
