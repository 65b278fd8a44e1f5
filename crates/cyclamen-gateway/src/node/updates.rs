//! What rows and news change in this entry's beliefs.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_cache::{Key, Revision};
use cyclamen_directory::Instance;
use cyclamen_replica::Start;
use cyclamen_types::{Time, entry};

use crate::edge::{Platform, Record, Row, Snapshot, Subject, Table};
use crate::node::State;

/// The time after which other entries should know of a change of the list by themselves.
const SETTLED: Duration = Duration::from_secs(1);
/// The time after which other entries should know by themselves what operators wrote.
const OPERATORS_SETTLED: Duration = Duration::from_millis(300);
/// The tables that every entry follows, and tells others of.
pub(crate) const FOLLOWED: [Table; 2] = [Table::Operators, Table::Instances];

impl State {
    /// Takes rows that changed, from the store or from another entry.
    pub(crate) fn take_rows(
        &mut self,
        now: Time,
        platform: &dyn Platform,
        rows: impl IntoIterator<Item = Row>,
    ) {
        let mut changed = false;
        for row in rows {
            changed |= self.take_row(now, platform, row);
        }
        if changed {
            self.refresh_targets(now);
        }
    }

    /// Takes a whole table; rows that are missing from it are gone.
    pub(crate) fn take_table(
        &mut self,
        now: Time,
        platform: &dyn Platform,
        table: Table,
        snapshot: Snapshot,
    ) {
        let prefix = format!("{}/", table.as_str());
        let known: Vec<Key> = self
            .rows
            .rows_with_prefix(&prefix)
            .map(|row| row.key.clone())
            .collect();
        let kept = |key: &str| snapshot.rows.iter().any(|row| *row.key == *key);
        let gone: Vec<Row> = known
            .iter()
            .filter_map(|key| key.0.strip_prefix(&prefix))
            .filter(|key| !kept(key))
            .map(|key| Row {
                table,
                key: key.into(),
                revision: snapshot.as_of,
                value: None,
            })
            .collect();
        self.take_rows(now, platform, snapshot.rows);
        self.take_rows(now, platform, gone);
        self.note_position(now, table, snapshot.as_of);
    }

    /// Takes note that a table is known up to a revision.
    pub(crate) fn note_position(&mut self, now: Time, table: Table, as_of: Revision) {
        let position = self.positions.entry(table).or_default();
        *position = as_of.max(*position);
        let position = *position;
        self.reached.entry(table).or_default().note(now, position);
    }

    /// Takes note that news showed what operators wrote up to a revision.
    pub(crate) fn note_told(&mut self, now: Time, revision: Revision) {
        self.told_operators = self.told_operators.max(revision);
        let reached = self.reached.entry(Table::Operators).or_default();
        reached.note(now, self.told_operators);
    }

    /// The revision of a followed table that other entries should know by themselves.
    pub(crate) fn settled(&self, now: Time, table: Table) -> Revision {
        let time = match table {
            Table::Operators => OPERATORS_SETTLED,
            Table::Instances | Table::Entries | Table::Domains => SETTLED,
        };
        let reached = self.reached.get(&table);
        reached.map_or_else(Revision::default, |r| r.known_for(now, time))
    }

    /// The revision up to which the store has shown a followed table.
    pub(crate) fn as_of(&self, table: Table) -> Revision {
        self.positions.get(&table).copied().unwrap_or_default()
    }

    /// The revision up to which it is known what operators wrote, by the store or by news.
    pub(crate) fn operators_as_of(&self) -> Revision {
        self.as_of(Table::Operators).max(self.told_operators)
    }

    /// Takes one row unless a newer one is known; whether it changes anything.
    fn take_row(&mut self, now: Time, platform: &dyn Platform, row: Row) -> bool {
        let key = Key::new(&format!("{}/", row.table.as_str()), &row.key);
        let known = self.rows.row(&key).map(|known| known.revision);
        if known.is_some_and(|known| known >= row.revision) {
            return false;
        }
        self.rows.record_write(cyclamen_cache::Row {
            key,
            revision: row.revision,
            value: row.value.clone(),
        });
        match platform.subject(row.table, &row.key) {
            Subject::Other => false,
            Subject::ZoneOut(zone) if row.value.is_none() => {
                log::info!("event=zone_in zone={zone} revision={}", row.revision);
                self.zones_out.remove(&zone)
            }
            Subject::Instance(id) if row.value.is_none() => {
                log::info!(
                    "event=instance_unlisted instance={id} revision={}",
                    row.revision
                );
                self.register.remove(now, &id);
                true
            }
            subject => match platform.decode(&row) {
                Ok(record) => self.take_record(now, row.revision, record),
                Err(fault) => {
                    log::warn!(
                        "event=row_not_understood table={} key={} revision={} reason=\"{fault}\"",
                        row.table.as_str(),
                        row.key,
                        row.revision
                    );
                    if let Subject::Instance(id) = subject {
                        self.register.remove(now, &id);
                    }
                    true
                }
            },
        }
    }

    fn take_record(&mut self, now: Time, revision: Revision, record: Record) -> bool {
        match record {
            Record::Catalog(catalog) if catalog.version() > self.catalog.version() => {
                log::info!(
                    "event=configuration version={} revision={revision}",
                    catalog.version()
                );
                self.catalog = Arc::new(catalog);
                true
            }
            Record::Catalog(_) | Record::Other => false,
            Record::ZoneOut(zone) => {
                log::info!("event=zone_out zone={zone} revision={revision}");
                self.zones_out.insert(zone)
            }
            Record::Instance(instance) => {
                self.log_instance(&instance, revision);
                self.register.upsert(now, instance)
            }
        }
    }

    /// Logs what is new about an instance.
    fn log_instance(&self, instance: &Instance, revision: Revision) {
        let before = self.register.get(&instance.id);
        let before = before.map(|entry| entry.instance.clone());
        let same_place = before.as_ref().is_some_and(|b| {
            b.membership == instance.membership
                && b.status == instance.status
                && b.incarnation == instance.incarnation
        });
        if same_place {
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

    /// Takes note that a worker left questions unanswered; whether that is news.
    pub(crate) fn suspect(&mut self, now: Time, start: &Start) -> bool {
        let news = self.detector.suspect(now, start);
        if news {
            log::info!(
                "event=instance_suspected instance={} incarnation={}",
                start.instance,
                start.incarnation
            );
            self.refresh_targets(now);
        }
        news
    }

    /// Takes note that a worker answers.
    pub(crate) fn restore(&mut self, now: Time, start: &Start) {
        if self.detector.restore(now, start) {
            log::info!(
                "event=instance_restored instance={} incarnation={}",
                start.instance,
                start.incarnation
            );
            self.refresh_targets(now);
        }
    }

    /// Takes note of what another entry suspects; the listed workers to be asked now.
    pub(crate) fn take_suspicions(
        &mut self,
        now: Time,
        entry: &entry::Name,
        suspected: impl IntoIterator<Item = Start>,
    ) -> Vec<Arc<Instance>> {
        let register = &self.register;
        let listed = suspected.into_iter().filter(|start| {
            let known = register.get(&start.instance);
            known.is_some_and(|e| e.instance.incarnation == start.incarnation)
        });
        let to_ask = self.detector.record_report(now, entry, listed);
        if !to_ask.is_empty() {
            self.refresh_targets(now);
        }
        let entries = to_ask.iter().filter_map(|s| self.register.get(&s.instance));
        entries.map(|entry| entry.instance.clone()).collect()
    }

    /// Forgets suspicions that nobody has confirmed, and instances that did not come back.
    pub(crate) fn expire_beliefs(&mut self, now: Time) {
        let restored = self.detector.expire(now);
        let gone = self.register.expire(now);
        if gone || restored {
            self.refresh_targets(now);
        }
    }

    /// Whether a worker should get no new work, as far as is known.
    pub(crate) fn is_suspected(&self, instance: &Instance) -> bool {
        self.detector.is_suspected(&Start::from(instance))
    }
}
