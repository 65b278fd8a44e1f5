//! Follows the tables that operators and workers write.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_replica::Planner;
use smol::Timer;

use crate::node::{FOLLOWED, Node};
use crate::platform::{Changes, Error, Snapshot, Table};
use crate::settings::span;
use crate::tasks::store;

/// The pause after a failed call; it doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// The time in which changes of instances gather at the store for each entry that follows
/// them, where no group of an own domain changes.
const GATHER: Duration = Duration::from_millis(20);
/// The longest time in which changes gather.
const LONGEST_GATHER: Duration = Duration::from_millis(1_500);
/// The longest pause between two tries.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// Starts a task for each table.
pub(super) fn start(node: &Arc<Node>) -> Vec<smol::Task<()>> {
    let follow = |table| smol::spawn(run(node.clone(), table));
    FOLLOWED.map(follow).into()
}

async fn run(node: Arc<Node>, table: Table) {
    let mut pause = FIRST_PAUSE;
    let mut known = false;
    let mut reached = true;
    loop {
        let step = if known {
            follow(&node, table).await
        } else {
            read(&node, table).await.map(|()| true)
        };
        match step {
            Ok(goes_on) => {
                if !reached {
                    log::info!("event=store_regained table={}", table.as_str());
                }
                reached = true;
                known = goes_on;
                pause = FIRST_PAUSE;
            }
            Err(error) => {
                if reached {
                    log::warn!(
                        "event=store_lost table={} reason=\"{error}\"",
                        table.as_str()
                    );
                }
                reached = false;
                node.state().register.record_outage(node.now());
                Timer::after(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

async fn read(node: &Arc<Node>, table: Table) -> Result<(), Error> {
    let snapshot = store::read(node, table).await?;
    log::info!(
        "event=table_read table={} rows={} revision={}",
        table.as_str(),
        snapshot.rows.len(),
        snapshot.as_of
    );
    let now = node.now();
    node.state()
        .take_table(now, node.platform.as_ref(), table, snapshot);
    node.wake_planner();
    Ok(())
}

/// Waits for changes; whether the table can be followed further.
async fn follow(node: &Arc<Node>, table: Table) -> Result<bool, Error> {
    let after = node.state().positions.get(&table).copied();
    let wait = span(node.settings.timing.follow_wait_ms);
    let answer = node
        .platform
        .follow(table, after.unwrap_or_default(), wait)
        .await;
    node.metrics.called_store("follow", answer.is_ok());
    match answer? {
        Changes::Rows(snapshot) => {
            let some = !snapshot.rows.is_empty();
            let busy = take(node, table, snapshot);
            if some {
                node.wake_planner();
            }
            if some && !busy {
                Timer::after(gather(node, table)).await;
            }
            Ok(true)
        }
        Changes::Expired => {
            log::warn!("event=history_lost table={}", table.as_str());
            Ok(false)
        }
    }
}

/// The time in which changes gather; the more entries ask the store, the longer.
fn gather(node: &Arc<Node>, table: Table) -> Duration {
    match table {
        Table::Instances => {
            let entries = node.state().share().entries;
            let entries = u32::try_from(entries).unwrap_or(u32::MAX);
            GATHER.saturating_mul(entries).min(LONGEST_GATHER)
        }
        Table::Operators | Table::Entries | Table::Domains => Duration::ZERO,
    }
}

/// Takes changed rows; whether a group of an own domain is on its way in or out.
fn take(node: &Arc<Node>, table: Table, changed: Snapshot) -> bool {
    let now = node.now();
    let mut state = node.state();
    state.take_rows(now, node.platform.as_ref(), changed.rows);
    state.note_position(now, table, changed.as_of);
    let mut planners = state.ownership.planners.values();
    planners.any(Planner::is_busy)
}
