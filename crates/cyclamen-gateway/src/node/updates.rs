//! Updates of the state from stored rows, gossip and probes.

mod positions;

use std::sync::Arc;

use cyclamen_cache::{Key, Revision};
use cyclamen_directory::Instance;
use cyclamen_directory::catalog::Access;
use cyclamen_types::Time;
use cyclamen_types::excerpt::Word;

use crate::node::State;
use crate::node::timeouts;
use crate::platform::{DecodeError, Platform, Record, Row, Snapshot, Subject, Table};

/// The tables whose changes every entry follows in the store and gossips to others.
pub(crate) const FOLLOWED_TABLES: [Table; 2] = [Table::Operators, Table::Instances];

/// Where a row came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// The platform's store.
    Store,
    /// Another entry.
    Gossip,
}

impl Source {
    fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Gossip => "gossip",
        }
    }
}

impl State {
    /// Applies changed rows.
    pub(crate) fn apply_rows(
        &mut self,
        now: Time,
        platform: &dyn Platform,
        source: Source,
        rows: impl IntoIterator<Item = Row>,
    ) {
        let mut changed = false;
        for row in rows {
            changed |= self.apply_row(now, platform, source, row);
        }
        if changed {
            self.refresh_targets(now);
        }
    }

    /// Applies a complete table; rows that are missing from it count as deleted.
    ///
    /// Operators' rows of a former era of the store stay in force until rows of this era say
    /// otherwise.
    pub(crate) fn apply_snapshot(
        &mut self,
        now: Time,
        platform: &dyn Platform,
        table: Table,
        snapshot: Snapshot,
    ) {
        let prefix = format!("{}/", table.as_str());
        let era = snapshot.as_of.era;
        self.read_as_of.insert(table, snapshot.as_of);
        let known = self.rows.rows_with_prefix(&prefix);
        let known = known.filter(|row| table != Table::Operators || row.revision.era == era);
        let known: Vec<Key> = known.map(|row| row.key.clone()).collect();
        let is_present = |key: &str| snapshot.rows.iter().any(|row| *row.key == *key);
        let deleted: Vec<Row> = known
            .iter()
            .filter_map(|key| key.0.strip_prefix(&prefix))
            .filter(|key| !is_present(key))
            .map(|key| Row {
                table,
                key: key.into(),
                revision: snapshot.as_of,
                value: None,
            })
            .collect();
        let rows = self.admit_rows(platform, table, snapshot.rows);
        self.apply_rows(now, platform, Source::Store, rows);
        self.apply_rows(now, platform, Source::Store, deleted);
        self.record_position(now, table, snapshot.as_of);
    }

    /// Applies a row unless the same or a newer revision is known; returns whether the targets
    /// may have changed.
    fn apply_row(&mut self, now: Time, platform: &dyn Platform, source: Source, row: Row) -> bool {
        let key = Key::new(&format!("{}/", row.table.as_str()), &row.key);
        let subject = platform.subject(row.table, &row.key);
        if subject == Subject::Catalog {
            return self.apply_catalog_row(now, platform, source, key, row);
        }
        let known = self.rows.row(&key).map(|known| known.revision);
        if known.is_some_and(|known| known >= row.revision) {
            return false;
        }
        self.rows.record_write(cyclamen_cache::Row {
            key,
            revision: row.revision,
            value: row.value.clone(),
        });
        match subject {
            Subject::Other => false,
            Subject::Nothing if row.value.is_none() => false,
            Subject::ZoneOut(zone) if row.value.is_none() => {
                log::info!("event=zone_in zone={zone} revision={}", row.revision);
                self.zones_out.remove(&zone)
            }
            Subject::Instance(id) if row.value.is_none() => {
                log::info!(
                    "event=instance_unlisted instance={id} revision={}",
                    row.revision
                );
                self.registry.remove(now, &id);
                true
            }
            subject => match platform.decode(&row) {
                Ok(record) => self.apply_record(now, row.revision, source, record),
                Err(error) => {
                    log_not_understood(&row, &error);
                    if let Subject::Instance(id) = subject {
                        self.registry.withdraw(now, &id);
                    }
                    true
                }
            },
        }
    }

    /// Applies a row with an operators' configuration, whatever its revision, if its own version
    /// is higher than that in force; returns whether it is.
    ///
    /// The row that is kept is always the one in force, with the highest revision seen.
    fn apply_catalog_row(
        &mut self,
        now: Time,
        platform: &dyn Platform,
        source: Source,
        key: Key,
        row: Row,
    ) -> bool {
        let known = self.rows.row(&key).cloned();
        let is_known = known.as_ref().is_some_and(|known| {
            known.value == row.value || (known.value.is_some() && row.value.is_none())
        });
        let is_known = is_known || (row.value.is_some() && self.refused_catalog == row.value);
        let applied = !is_known
            && match platform.decode(&row) {
                Ok(record) => self.apply_record(now, row.revision, source, record),
                Err(error) => {
                    log_not_understood(&row, &error);
                    self.refused_catalog.clone_from(&row.value);
                    false
                }
            };
        let known_revision = known.as_ref().map(|known| known.revision);
        let value = if applied {
            row.value
        } else {
            known.and_then(|known| known.value).or(row.value)
        };
        self.catalog_key = Some(key.clone());
        self.rows.replace(cyclamen_cache::Row {
            key,
            revision: row.revision.max(known_revision.unwrap_or_default()),
            value,
        });
        applied
    }

    fn apply_record(
        &mut self,
        now: Time,
        revision: Revision,
        source: Source,
        record: Record,
    ) -> bool {
        match record {
            Record::Catalog(catalog) if catalog.version() > self.catalog.version() => {
                log::info!(
                    "event=configuration version={} revision={revision} source={} keys={} keys_checked={}",
                    catalog.version(),
                    source.as_str(),
                    catalog.key_count(),
                    catalog.access() == Access::ByKey
                );
                timeouts::set(&self.timeouts, &catalog.limits());
                self.catalog = Arc::new(catalog);
                self.catalog_since = now;
                self.retain_configured();
                true
            }
            Record::Catalog(_) | Record::Other => false,
            Record::ZoneOut(zone) => {
                log::info!("event=zone_out zone={zone} revision={revision}");
                self.zones_out.insert(zone)
            }
            Record::Instance(instance) => {
                self.log_instance(&instance, revision);
                self.registry.upsert(now, instance)
            }
        }
    }

    /// Logs an instance if its membership, status or incarnation has changed.
    fn log_instance(&self, instance: &Instance, revision: Revision) {
        let before = self.registry.get(&instance.id);
        let before = before.map(|entry| entry.instance.clone());
        let unchanged = before.as_ref().is_some_and(|b| {
            b.membership == instance.membership
                && b.status == instance.status
                && b.incarnation == instance.incarnation
        });
        if unchanged {
            return;
        }
        let (group, phase) = match &instance.membership {
            Some(m) => (m.group.as_str(), format!("{:?}", m.phase).to_lowercase()),
            None => ("none", "none".to_string()),
        };
        log::info!(
            "event=instance_listed instance={} status={:?} group={group} phase={phase} revision={revision}",
            instance.id,
            instance.status,
        );
    }

    /// Ends a recovery whose time is over. Removes suspicions that were not confirmed in time,
    /// instances that were not listed again in time, limits of workers that are gone, and
    /// containments that have expired.
    pub(crate) fn remove_expired(&mut self, now: Time, platform: &dyn Platform) {
        self.end_recovery(now, platform);
        self.expire_limits();
        let restored = self.detector.expire(now);
        let departed = self.registry.expire(now);
        self.strikes.release_expired(now);
        self.log_verdicts();
        if departed || restored {
            self.refresh_targets(now);
        }
    }
}

fn log_not_understood(row: &Row, error: &DecodeError) {
    log::warn!(
        "event=row_not_understood table={} key={} revision={} reason=\"{error}\"",
        row.table.as_str(),
        Word(&row.key),
        row.revision
    );
}
