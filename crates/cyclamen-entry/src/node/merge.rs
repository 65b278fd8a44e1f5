//! Merges changes of the shared rows into the state.

use std::sync::Arc;

use cyclamen_cache::{Delta, Key, Outcome, Revision, Row};
use cyclamen_domain::{Domain, Owner};
use cyclamen_platform::keys;
use cyclamen_tables::{Document, Pools, Routes};
use cyclamen_types::excerpt::Word;
use cyclamen_types::{Time, domain};
use serde::de::DeserializeOwned;

use crate::node::state::State;

impl State {
    /// Merges a delta from the table service or another entry.
    ///
    /// Returns `false` if the delta starts after the revision of the cache and was not merged.
    pub(crate) fn merge_delta(&mut self, now: Time, delta: Delta) -> bool {
        match self.cache.merge(delta) {
            Outcome::Merged(changed) => {
                for key in changed {
                    self.apply_row(now, &key);
                }
                self.update_limiter_position(now);
                true
            }
            Outcome::Stale => true,
            Outcome::Gap => false,
        }
    }

    /// Records a row that this entry has just written.
    pub(crate) fn record_write(
        &mut self,
        now: Time,
        key: Key,
        revision: Revision,
        value: Option<Arc<str>>,
    ) {
        let row = Row {
            key: key.clone(),
            revision,
            value,
        };
        self.cache.record_write(row);
        self.apply_row(now, &key);
    }

    /// Returns the revision of a row for use in a transaction's condition.
    pub(crate) fn revision(&self, key: &Key) -> Revision {
        let row = self.cache.row(key).filter(|row| row.value.is_some());
        row.map_or(Revision::ABSENT, |row| row.revision)
    }

    fn apply_row(&mut self, now: Time, key: &Key) {
        if *key == keys::routes() {
            self.apply_routes();
        } else if *key == keys::pools() {
            self.apply_pools();
        } else if let Some(name) = key.0.strip_prefix(keys::ENTRIES) {
            self.apply_entry(name, key);
        } else if let Some(name) = key.0.strip_prefix(keys::DOMAINS) {
            self.apply_domain(now, name, key);
        }
    }

    /// Returns the decoded value of a row that has changed; logs one that cannot be decoded.
    fn decode<T: DeserializeOwned>(&self, key: &Key) -> Option<T> {
        let value = self.cache.get(key);
        let row = self.cache.row(key).filter(|row| row.value.is_some());
        if let (None, Some(row)) = (&value, row) {
            log::warn!(
                "event=row_not_understood key={} revision={}",
                Word(&key.0),
                row.revision
            );
        }
        value
    }

    /// Adopts a newer version of the routes; a table that cannot be decoded leaves the
    /// current one in force.
    fn apply_routes(&mut self) {
        let document: Option<Document<Routes>> = self.decode(&keys::routes());
        if let Some(document) = document.filter(|d| d.version > self.routes.version) {
            log::info!("event=routes_adopted version={}", document.version);
            self.routes = Arc::new(document);
            let routes = &self.routes.body;
            self.durations
                .retain(|name| routes.get(name.as_str()).is_some());
        }
    }

    fn apply_pools(&mut self) {
        let document: Option<Document<Pools>> = self.decode(&keys::pools());
        if let Some(document) = document.filter(|d| d.version > self.pools.version) {
            log::info!("event=pools_adopted version={}", document.version);
            self.pools = Arc::new(document);
        }
    }

    fn apply_entry(&mut self, name: &str, key: &Key) {
        let Some(owner) = parse_owner(name) else {
            return;
        };
        match self.decode(key) {
            Some(entry) => {
                self.entries.insert(owner, entry);
            }
            None => {
                self.entries.remove(&owner);
                let entries = &self.entries;
                for domain in self.domains.values_mut() {
                    domain.retain_holders(|holder| entries.contains_key(holder));
                }
            }
        }
    }

    fn apply_domain(&mut self, now: Time, name: &str, key: &Key) {
        let Ok(name) = name.parse::<domain::Name>() else {
            return;
        };
        let row: Option<cyclamen_domain::Row> = self.decode(key);
        let Some(row) = row else {
            return;
        };
        let mine = row.owner.as_ref() == Some(&self.me);
        let options = self.domain_options;
        let domain = self.domains.entry(name.clone());
        let domain = domain.or_insert_with(|| Domain::new(name.clone(), options));
        if domain.is_mine() != mine {
            log::info!("event=domain_owner domain={name} mine={mine}");
        }
        domain.set_row(now, row, mine);
        if !mine {
            self.poll_queue(now, &name);
        }
    }
}

fn parse_owner(text: &str) -> Option<Owner> {
    let (entry, incarnation) = text.rsplit_once('/')?;
    Some(Owner {
        entry: entry.parse().ok()?,
        incarnation: incarnation.parse().ok()?,
    })
}
