//! The platform: table service and instance list, with outages on demand.

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

/// How the platform fails.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The table service refuses every call.
    pub down: bool,
    /// Milliseconds that every call of the table service takes.
    pub slow_ms: u64,
    /// Transactions take effect, but their answers are lost.
    pub lose_answers: bool,
}

/// What the platform has done.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Reads of the table service.
    pub reads: u64,
    /// Transactions of the table service.
    pub transactions: u64,
    /// Bytes of the table service's answers.
    pub bytes: u64,
}

/// An instance that was not heard of for this long leaves the list.
const EXPIRY: Duration = Duration::from_secs(4);

/// The rows of the table service, without any input or output.
#[derive(Debug, Default)]
pub struct Table {
    revision: Revision,
    rows: BTreeMap<Key, Row>,
}

impl Table {
    /// Commits a transaction if its conditions hold.
    pub fn transact(&mut self, transaction: Transaction) -> Outcome {
        let broken = transaction.conditions.iter().filter(|c| !self.holds(c));
        let broken: Vec<_> = broken.map(|c| c.key.clone()).collect();
        if !broken.is_empty() {
            return Outcome::Conflict(broken);
        }
        self.revision = Revision(self.revision.0 + 1);
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

    /// The rows of some keys; those never written are left out.
    pub fn read(&self, keys: impl IntoIterator<Item = Key>) -> Vec<Row> {
        keys.into_iter()
            .filter_map(|key| self.rows.get(&key).cloned())
            .collect()
    }

    /// The rows under a prefix that changed after a revision.
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
struct Listed {
    listing: Listing,
    heard: Instant,
}

#[derive(Debug, Default)]
struct State {
    table: Table,
    instances: BTreeMap<instance::Id, Listed>,
    faults: Faults,
    counters: Counters,
}

/// The platform as a handler of HTTP requests.
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

    /// Changes how the platform fails.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
    }

    /// Commits a transaction, whatever the faults.
    pub fn transact(&self, transaction: Transaction) -> Outcome {
        self.state().table.transact(transaction)
    }

    /// What the platform has done so far.
    pub fn counters(&self) -> Counters {
        self.state().counters
    }

    async fn table(&self, conn: Conn, body: &[u8]) -> Conn {
        let faults = self.state().faults;
        Timer::after(Duration::from_millis(faults.slow_ms)).await;
        if faults.down {
            return conn.with_status(503).halt();
        }
        let answer = match conn.path() {
            "/table/transact" => self.answer_transaction(body),
            "/table/read" => self.answer_read(body),
            "/table/changes" => self.answer_changes(conn.querystring()),
            _ => None,
        };
        let lost = faults.lose_answers && conn.path() == "/table/transact";
        match answer {
            Some(_) if lost => conn.with_status(504).halt(),
            Some(text) => {
                self.state().counters.bytes += u64::try_from(text.len()).unwrap_or(0);
                conn.ok(text)
            }
            None => conn.with_status(400).halt(),
        }
    }

    fn answer_transaction(&self, body: &[u8]) -> Option<String> {
        let transaction = serde_json::from_slice(body).ok()?;
        let mut state = self.state();
        state.counters.transactions += 1;
        serde_json::to_string(&state.table.transact(transaction)).ok()
    }

    fn answer_read(&self, body: &[u8]) -> Option<String> {
        let read: Read = serde_json::from_slice(body).ok()?;
        let mut state = self.state();
        state.counters.reads += 1;
        serde_json::to_string(&state.table.read(read.keys)).ok()
    }

    fn answer_changes(&self, query: &str) -> Option<String> {
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
            .retain(|_, listed| listed.heard.elapsed() < EXPIRY);
        let listings = state
            .instances
            .values()
            .map(|listed| listed.listing.clone());
        List {
            instances: listings.collect(),
        }
    }

    fn register(&self, list: List) {
        let heard = Instant::now();
        let mut state = self.state();
        for listing in list.instances {
            let listed = Listed {
                listing: listing.clone(),
                heard,
            };
            state.instances.insert(listing.instance, listed);
        }
    }
}

impl Handler for Platform {
    async fn run(&self, mut conn: Conn) -> Conn {
        let body = server::body(&mut conn).await;
        match (conn.method(), conn.path()) {
            (Method::Get, "/instances") => json(conn, &self.list()),
            (Method::Get, "/admin/counters") => json(conn, &self.counters()),
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
            _ => self.table(conn, &body).await,
        }
    }
}

/// Answers with JSON.
pub(crate) fn json(conn: Conn, value: &impl Serialize) -> Conn {
    match serde_json::to_string(value) {
        Ok(text) => conn.ok(text),
        Err(_) => conn.with_status(500).halt(),
    }
}
