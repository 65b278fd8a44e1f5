//! A new era of the store, which begins when the store comes back from a copy of its contents.
//!
//! What was written since the copy is lost until its writers write it again. What operators had put
//! in force stays in force, workers stay listed, and rows of workers in the copy are applied only
//! once the workers have had time to write newer ones. Leases and the ownership of domains count
//! for nothing until they are written again.

use std::time::Duration;

use cyclamen_cache::{Era, Key};
use cyclamen_directory::instance::Status;
use cyclamen_types::Time;
use rand::Rng;

use crate::node::{Source, State};
use crate::platform::{Platform, Record, Row, Table};

/// The time after the store's return within which living workers write their rows again.
const RECOVERY_TIME: Duration = Duration::from_millis(2_500);
/// The time, for each entry, over which entries without domains spread the renewal of their leases.
const RENEWAL_SPREAD_PER_ENTRY: Duration = Duration::from_millis(20);

/// The time after the beginning of an era in which the store may lack newer rows of workers.
#[derive(Debug)]
pub(crate) struct Recovery {
    ends_at: Time,
    /// Rows of the copy that are applied at the end unless newer ones arrive.
    deferred: Vec<Row>,
}

impl State {
    /// Begins an era if it is higher than the current one; returns whether it is.
    pub(crate) fn observe_era(&mut self, now: Time, era: Era) -> bool {
        if era <= self.era {
            return false;
        }
        let former = std::mem::replace(&mut self.era, era);
        if self.positions.is_empty() {
            return false;
        }
        log::warn!("event=store_era_began era={era} former={former}");
        self.recovery = Some(Recovery {
            ends_at: now + RECOVERY_TIME,
            deferred: Vec::new(),
        });
        self.registry.record_outage(now);
        self.stored_evidence = None;
        self.lease.discard();
        self.lease_revision = None;
        let spread = self.renewal_spread();
        let renewal_at = now + self.rng.random_range(Duration::ZERO..=spread);
        self.ownership.begin_era(now, renewal_at);
        true
    }

    fn renewal_spread(&self) -> Duration {
        let entries = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        RENEWAL_SPREAD_PER_ENTRY.saturating_mul(entries)
    }

    /// Returns whether the store may still lack newer rows of workers.
    pub(crate) fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }

    /// Selects the rows of a complete table that are applied now.
    ///
    /// During a recovery, a row that may be older than the known one is deferred,
    /// and one of an incarnation that has left or been replaced counts as deleted.
    pub(crate) fn admit_rows(
        &mut self,
        platform: &dyn Platform,
        table: Table,
        rows: Vec<Row>,
    ) -> Vec<Row> {
        if table != Table::Instances || !self.is_recovering() {
            return rows;
        }
        let (mut admitted, mut deferred) = (Vec::new(), Vec::new());
        for row in rows {
            if self.is_obsolete(platform, &row) {
                admitted.push(Row { value: None, ..row });
            } else if self.may_be_older(platform, &row) {
                deferred.push(row);
            } else {
                admitted.push(row);
            }
        }
        if let Some(recovery) = &mut self.recovery {
            recovery.deferred = deferred;
        }
        admitted
    }

    /// Returns whether a row describes an incarnation that is known to have left or been replaced.
    fn is_obsolete(&self, platform: &dyn Platform, row: &Row) -> bool {
        match platform.decode(row) {
            Ok(Record::Instance(instance)) => self.registry.is_obsolete(&instance),
            _ => false,
        }
    }

    /// Returns whether a row may be older than the known one of a listed worker.
    ///
    /// A worker that leaves never stops doing so, so a row that says this is never obsolete.
    fn may_be_older(&self, platform: &dyn Platform, row: &Row) -> bool {
        let key = Key::new(&format!("{}/", row.table.as_str()), &row.key);
        let known = self.rows.row(&key).and_then(|known| known.value.as_ref());
        if known == row.value.as_ref() {
            return false;
        }
        match platform.decode(row) {
            Ok(Record::Instance(instance)) => {
                instance.status == Status::Ready && self.registry.is_listed(&instance.id)
            }
            _ => false,
        }
    }

    /// Ends the recovery if its time is over: applies the deferred rows unless newer ones have
    /// arrived.
    pub(crate) fn end_recovery(&mut self, now: Time, platform: &dyn Platform) {
        let ended = self.recovery.take_if(|recovery| now >= recovery.ends_at);
        let Some(recovery) = ended else {
            return;
        };
        let deferred = recovery.deferred.into_iter();
        let rows: Vec<Row> = deferred
            .map(|row| match self.is_obsolete(platform, &row) {
                true => Row { value: None, ..row },
                false => row,
            })
            .collect();
        log::info!(
            "event=store_recovered era={} deferred={}",
            self.era,
            rows.len()
        );
        self.apply_rows(now, platform, Source::Store, rows);
    }
}
