//! The platform: table service and instance list, with fault injection.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cyclamen_cache::{Delta, Key, Revision, Row};
use cyclamen_domain::Listing;
use cyclamen_platform::instances::List;
use cyclamen_platform::{Condition, Outcome, Transaction};
use cyclamen_types::instance;
use serde::{Deserialize, Serialize};
use smol::Timer;
use trillium::{Conn, Handler, Method};

use crate::server;

/// Faults to inject into the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The table service refuses every request.
    pub down: bool,
    /// The delay of every request to the table service, in milliseconds.
    pub slow_ms: u64,
    /// Transactions take effect, but their responses are lost.
    pub lose_answers: bool,
    /// The list of instances is empty.
    pub empty_list: bool,
}

/// Counters of the table service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// The number of reads of rows and of changes.
    pub reads: u64,
    /// The number of transactions, committed or not.
    pub transactions: u64,
    /// Bytes of the response bodies.
    pub bytes: u64,
}

/// An instance that has not been registered again for this long is removed from the list.
const REGISTRATION_TTL: Duration = Duration::from_secs(4);

/// The rows of the table service, without I/O.
#[derive(Debug, Default)]
pub struct Table {
    revision: Revision,
    rows: BTreeMap<Key, Row>,
}

impl Table {
    /// Commits a transaction if its conditions hold.
    pub fn transact(&mut self, transaction: Transaction) -> Outcome {
        let failed = transaction.conditions.iter().filter(|c| !self.holds(c));
        let failed: Vec<_> = failed.map(|c| c.key.clone()).collect();
        if !failed.is_empty() {
            return Outcome::Conflict(failed);
        }
        self.revision = Revision::from(self.revision.version + 1);
        for write in transaction.writes {
            let row = Row {
                key: write.key.clone(),
                revision: self.revision,
                value: write.value,
            };
            self.rows.insert(write.key, row);
        }
        Outcome::Committed(self.revision)
    }

    fn holds(&self, condition: &Condition) -> bool {
        let row = self
            .rows
            .get(&condition.key)
            .filter(|row| row.value.is_some());
        row.map(|row| row.revision).unwrap_or_default() == condition.revision
    }

    /// Returns the rows of these keys; keys that were never written are omitted.
    pub fn read(&self, keys: impl IntoIterator<Item = Key>) -> Vec<Row> {
        keys.into_iter()
            .filter_map(|key| self.rows.get(&key).cloned())
            .collect()
    }

    /// Returns the rows under a prefix that changed after a revision.
    pub fn changes(&self, prefix: &str, since: Revision) -> Delta {
        let rows = self.rows.values();
        let changed = rows.filter(|r| r.key.0.starts_with(prefix) && r.revision > since);
        Delta {
            since,
            as_of: self.revision,
            rows: changed.cloned().collect(),
        }
    }
}

#[derive(Debug)]
struct Registration {
    listing: Listing,
    registered_at: Instant,
}

#[derive(Debug, Default)]
struct State {
    table: Table,
    instances: BTreeMap<instance::Id, Registration>,
    faults: Faults,
    counters: Counters,
}

/// The HTTP handler of the platform.
#[derive(Debug, Clone, Default)]
pub struct Platform {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Deserialize)]
struct Read {
    keys: Vec<Key>,
}

impl Platform {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the faults of the platform.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
    }

    /// Commits a transaction if its conditions hold, regardless of the faults.
    pub fn transact(&self, transaction: Transaction) -> Outcome {
        self.state().table.transact(transaction)
    }

    /// Returns the counters of the table service.
    pub fn counters(&self) -> Counters {
        self.state().counters
    }

    async fn handle_table(&self, conn: Conn, body: &[u8]) -> Conn {
        let faults = self.state().faults;
        Timer::after(Duration::from_millis(faults.slow_ms)).await;
        if faults.down {
            return conn.with_status(503).halt();
        }
        let response = match conn.path() {
            "/table/transact" => self.handle_transact(body),
            "/table/read" => self.handle_read(body),
            "/table/changes" => self.handle_changes(conn.querystring()),
            _ => None,
        };
        let lost = faults.lose_answers && conn.path() == "/table/transact";
        match response {
            Some(_) if lost => conn.with_status(504).halt(),
            Some(text) => {
                self.state().counters.bytes += u64::try_from(text.len()).unwrap_or(0);
                conn.ok(text)
            }
            None => conn.with_status(400).halt(),
        }
    }

    fn handle_transact(&self, body: &[u8]) -> Option<String> {
        let transaction = serde_json::from_slice(body).ok()?;
        let mut state = self.state();
        state.counters.transactions += 1;
        serde_json::to_string(&state.table.transact(transaction)).ok()
    }

    fn handle_read(&self, body: &[u8]) -> Option<String> {
        let read: Read = serde_json::from_slice(body).ok()?;
        let mut state = self.state();
        state.counters.reads += 1;
        serde_json::to_string(&state.table.read(read.keys)).ok()
    }

    fn handle_changes(&self, query: &str) -> Option<String> {
        let (prefix, since) = query.strip_prefix("prefix=")?.split_once("&since=")?;
        let since = since.parse().ok()?;
        let mut state = self.state();
        state.counters.reads += 1;
        serde_json::to_string(&state.table.changes(prefix, since)).ok()
    }

    fn list(&self) -> List {
        let mut state = self.state();
        state
            .instances
            .retain(|_, registration| registration.registered_at.elapsed() < REGISTRATION_TTL);
        let is_empty = state.faults.empty_list;
        let registrations = state.instances.values().filter(|_| !is_empty);
        let listings = registrations.map(|registration| registration.listing.clone());
        List {
            instances: listings.collect(),
        }
    }

    fn register(&self, list: List) {
        let registered_at = Instant::now();
        let mut state = self.state();
        for listing in list.instances {
            let registration = Registration {
                listing: listing.clone(),
                registered_at,
            };
            state.instances.insert(listing.instance, registration);
        }
    }
}

impl Handler for Platform {
    async fn run(&self, mut conn: Conn) -> Conn {
        let body = server::read_body(&mut conn).await;
        match (conn.method(), conn.path()) {
            (Method::Get, "/instances") => respond_json(conn, &self.list()),
            (Method::Get, "/admin/counters") => respond_json(conn, &self.counters()),
            (Method::Post, "/admin/instances") => match serde_json::from_slice(&body) {
                Ok(list) => {
                    self.register(list);
                    conn.ok("")
                }
                Err(_) => conn.with_status(400).halt(),
            },
            (Method::Post, "/admin/faults") => match serde_json::from_slice(&body) {
                Ok(faults) => {
                    self.set_faults(faults);
                    conn.ok("")
                }
                Err(_) => conn.with_status(400).halt(),
            },
            _ => self.handle_table(conn, &body).await,
        }
    }
}

/// Responds with a value as JSON.
pub(crate) fn respond_json(conn: Conn, value: &impl Serialize) -> Conn {
    match serde_json::to_string(value) {
        Ok(text) => conn.ok(text),
        Err(_) => conn.with_status(500).halt(),
    }
}
