//! Containment of requests that crash the groups running them.
//!
//! A request is identified by its content, so that it is recognised under a new
//! id and at another entry. Each group that closes its connection while a
//! request runs counts as one strike against the request. A request with a
//! strike is a suspect: at most one suspect runs on a group at a time, so that
//! a second crash counts against one request only. A request at the strike
//! limit is refused for as long as its strikes count. A request that received a
//! complete response does not crash groups; its earlier strikes no longer count.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_types::{Time, domain, group};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Fields that may differ between attempts with the same content; excluded from the
/// fingerprint.
const VOLATILE_FIELDS: [&str; 4] = ["user", "metadata", "request_id", "seed"];
const FINGERPRINT_BYTES: usize = 16;
/// Maximum number of stored strikes; beyond it the oldest are evicted.
const MAX_STORED_STRIKES: usize = 4_096;

/// A digest of the content of a request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(Arc<str>);

impl Fingerprint {
    /// Returns the fingerprint of a request body. A JSON body is compared by its parsed
    /// value, not byte by byte.
    pub fn of(route: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(route.as_bytes());
        match serde_json::from_slice::<serde_json::Value>(body) {
            Ok(mut value) => {
                if let Some(fields) = value.as_object_mut() {
                    fields.retain(|name, _| !VOLATILE_FIELDS.contains(&name.as_str()));
                }
                hasher.update(value.to_string().as_bytes());
            }
            Err(_) => hasher.update(body),
        }
        Self::from_hasher(hasher)
    }

    /// Returns the fingerprint of a request from its parts, each compared byte by byte.
    pub fn of_parts<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self::from_hasher(hasher)
    }

    fn from_hasher(hasher: Sha256) -> Self {
        let digest = hasher.finalize();
        let digits = digest
            .iter()
            .take(FINGERPRINT_BYTES)
            .map(|b| format!("{b:02x}"));
        Self(digits.collect::<String>().into())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(text.into()))
    }
}

/// A part of a prompt that several requests may share, by its id.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Part(Arc<str>);

impl Part {
    /// Creates a part from its id.
    pub fn new(id: impl Into<Arc<str>>) -> Self {
        Self(id.into())
    }

    /// Returns the id.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Part {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self::new(text))
    }
}

/// One crash of a group.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// The group's fabric domain.
    pub domain: domain::Name,
    /// The group.
    pub group: group::Id,
    /// The fencing token of its membership.
    pub fence: group::Fence,
}

/// A strike, as exchanged between entries.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Strike {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The crash during which it ran.
    pub crash: Crash,
}

/// How a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request may run on any group.
    Allow,
    /// The request may run only on a group without another suspect.
    Isolate,
    /// The request must not run.
    Refuse,
}

/// Options of containment.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Number of crashed groups at which a request is refused.
    pub strike_limit: usize,
    /// Crashes of two groups of one domain in less than this time are attributed to a
    /// common cause and do not count.
    pub common_cause_window: Duration,
    /// How long a strike counts.
    pub strike_lifetime: Duration,
    /// How long a strike is sent to entries that may have received it already.
    pub gossip_duration: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            strike_limit: 2,
            common_cause_window: Duration::from_secs(3),
            strike_lifetime: Duration::from_secs(3600),
            gossip_duration: Duration::from_secs(600),
        }
    }
}

/// The state of a recorded strike.
#[derive(Debug, Clone, Copy)]
struct Record {
    recorded_at: Time,
    /// Whether the request has received a complete response since.
    cleared: bool,
}

/// The strikes recorded by an entry.
#[derive(Debug)]
pub struct Strikes {
    options: Options,
    by_fingerprint: BTreeMap<Fingerprint, BTreeMap<Crash, Record>>,
    crashes: BTreeMap<Crash, Time>,
    common_cause_crashes: BTreeSet<Crash>,
}

impl Strikes {
    /// Creates an empty set of strikes.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            by_fingerprint: BTreeMap::new(),
            crashes: BTreeMap::new(),
            common_cause_crashes: BTreeSet::new(),
        }
    }

    /// Records a strike seen here or received from another entry; returns whether it is
    /// new.
    pub fn record(&mut self, now: Time, strike: Strike) -> bool {
        self.expire(now);
        let Strike { fingerprint, crash } = strike;
        let records = self.by_fingerprint.entry(fingerprint).or_default();
        if records.contains_key(&crash) {
            return false;
        }
        let record = Record {
            recorded_at: now,
            cleared: false,
        };
        records.insert(crash.clone(), record);
        self.crashes.entry(crash.clone()).or_insert(now);
        self.exclude_common_cause(now, &crash);
        true
    }

    /// Excludes crashes that occurred together in one fabric domain from the strikes that
    /// count.
    fn exclude_common_cause(&mut self, now: Time, crash: &Crash) {
        let window = self.options.common_cause_window;
        let is_other = |(c, at): &(&Crash, &Time)| {
            c.domain == crash.domain && c.group != crash.group && now.since(**at) < window
        };
        let others: Vec<_> = self
            .crashes
            .iter()
            .filter(is_other)
            .map(|(c, _)| c.clone())
            .collect();
        if !others.is_empty() {
            self.common_cause_crashes.insert(crash.clone());
            self.common_cause_crashes.extend(others);
        }
    }

    /// Records that a request received a complete response, which clears its strikes.
    pub fn record_completion(&mut self, fingerprint: &Fingerprint) {
        let records = self.by_fingerprint.get_mut(fingerprint);
        for record in records.into_iter().flat_map(BTreeMap::values_mut) {
            record.cleared = true;
        }
    }

    /// Returns whether no strike is recorded.
    pub fn is_empty(&self) -> bool {
        self.by_fingerprint.is_empty()
    }

    /// Decides how a request may run.
    pub fn decide(&self, now: Time, fingerprint: &Fingerprint) -> Decision {
        match self.active_times(now, fingerprint).count() {
            0 => Decision::Allow,
            n if n < self.options.strike_limit => Decision::Isolate,
            _ => Decision::Refuse,
        }
    }

    /// Returns the time until the oldest active strike against a request expires, or zero if
    /// there is none.
    pub fn expires_in(&self, now: Time, fingerprint: &Fingerprint) -> Duration {
        let oldest = self.active_times(now, fingerprint).min();
        oldest.map_or(Duration::ZERO, |at| {
            (at + self.options.strike_lifetime).since(now)
        })
    }

    /// Returns when each active strike against a request was recorded.
    fn active_times(&self, now: Time, fingerprint: &Fingerprint) -> impl Iterator<Item = Time> {
        let records = self.by_fingerprint.get(fingerprint);
        let records = records.into_iter().flatten();
        let is_active =
            move |(crash, record): &(&Crash, &Record)| self.is_active(now, crash, record);
        records
            .filter(is_active)
            .map(|(_, record)| record.recorded_at)
    }

    /// Returns whether a strike counts against its request.
    fn is_active(&self, now: Time, crash: &Crash, record: &Record) -> bool {
        let is_unexpired = now.since(record.recorded_at) <= self.options.strike_lifetime;
        is_unexpired && !record.cleared && !self.common_cause_crashes.contains(crash)
    }

    /// Returns the newest active strikes to send to an entry, at most `limit`. A new entry
    /// also gets those older than the gossip duration.
    pub fn to_gossip(&self, now: Time, to_new_entry: bool, limit: usize) -> Vec<Strike> {
        let gossip_duration = self.options.gossip_duration;
        let mut selected: Vec<(Time, &Fingerprint, &Crash)> = Vec::new();
        for (fingerprint, records) in &self.by_fingerprint {
            let due = records.iter().filter(|(crash, record)| {
                let is_recent = now.since(record.recorded_at) <= gossip_duration;
                (is_recent || to_new_entry) && self.is_active(now, crash, record)
            });
            selected.extend(due.map(|(crash, record)| (record.recorded_at, fingerprint, crash)));
        }
        selected.sort_unstable_by_key(|(at, _, _)| std::cmp::Reverse(*at));
        let to_strike = |(_, fingerprint, crash): (Time, &Fingerprint, &Crash)| Strike {
            fingerprint: fingerprint.clone(),
            crash: crash.clone(),
        };
        selected.into_iter().take(limit).map(to_strike).collect()
    }

    /// Removes strikes after twice their lifetime. Entries that recorded them later no longer
    /// send them by then, so that they are not recorded again as new.
    fn expire(&mut self, now: Time) {
        let retention = 2 * self.options.strike_lifetime;
        for records in self.by_fingerprint.values_mut() {
            records.retain(|_, record| now.since(record.recorded_at) <= retention);
        }
        self.by_fingerprint.retain(|_, records| !records.is_empty());
        self.evict_oldest();
        self.crashes.retain(|_, at| now.since(*at) <= retention);
        let crashes = &self.crashes;
        self.common_cause_crashes
            .retain(|crash| crashes.contains_key(crash));
    }

    /// Evicts all strikes of the requests whose last strike is oldest, until fewer than
    /// [`MAX_STORED_STRIKES`] are left.
    fn evict_oldest(&mut self) {
        let mut count: usize = self.by_fingerprint.values().map(BTreeMap::len).sum();
        while count >= MAX_STORED_STRIKES {
            let last =
                |records: &BTreeMap<Crash, Record>| records.values().map(|r| r.recorded_at).max();
            let oldest = self
                .by_fingerprint
                .iter()
                .min_by_key(|(_, records)| last(records));
            let Some(oldest) = oldest.map(|(fingerprint, _)| fingerprint.clone()) else {
                return;
            };
            let evicted = self.by_fingerprint.remove(&oldest);
            count -= evicted.map_or(0, |records| records.len());
        }
    }
}
