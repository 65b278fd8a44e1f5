//! Containment of requests that crash the groups that run them.
//!
//! A request is known by its content, so that it is recognised under a new id
//! and through another entry. Every group that closes its connection while a
//! request runs counts one strike against it. A request with a strike is a
//! suspect: at most one suspect runs on a group at a time, so that a second
//! crash is laid on one request only. At the limit it is refused while its
//! strikes count. A request that is answered whole does not crash groups; its
//! earlier strikes no longer count.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_types::{Time, domain, group};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Fields of a request that differ between two tries of the same content.
const VOLATILE_FIELDS: [&str; 4] = ["user", "metadata", "request_id", "seed"];
const FINGERPRINT_BYTES: usize = 16;
/// Strikes that are kept; beyond it the oldest are forgotten.
const STRIKE_LIMIT: usize = 4_096;

/// A digest of the content of a request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(Arc<str>);

impl Fingerprint {
    /// The fingerprint of a request body; JSON is compared by its meaning.
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

    /// The fingerprint of a request by its parts, each compared byte by byte.
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

/// One crash of a group.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// The group's fabric domain.
    pub domain: domain::Name,
    /// The group.
    pub group: group::Id,
    /// The fencing number of its membership.
    pub fence: group::Fence,
}

/// A strike, as entries tell it to each other.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Strike {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The crash that it was part of.
    pub crash: Crash,
}

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may run anywhere.
    Clear,
    /// It may run beside no other suspect.
    Suspect,
    /// It may not run.
    Condemned,
}

/// Bounds of containment.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Groups that one request may take down.
    pub strikes: usize,
    /// Crashes of two groups of one domain in less than this time have a common cause.
    pub common_cause: Duration,
    /// How long a strike counts.
    pub lasting: Duration,
    /// How long a strike is told to entries that may have heard of it already.
    pub telling: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            strikes: 2,
            common_cause: Duration::from_secs(3),
            lasting: Duration::from_secs(3600),
            telling: Duration::from_secs(600),
        }
    }
}

/// A strike that is known.
#[derive(Debug, Clone, Copy)]
struct Seen {
    at: Time,
    /// Whether the request was answered whole since.
    acquitted: bool,
}

/// The strikes that an entry knows of.
#[derive(Debug)]
pub struct Suspects {
    options: Options,
    strikes: BTreeMap<Fingerprint, BTreeMap<Crash, Seen>>,
    crashes: BTreeMap<Crash, Time>,
    cleared: BTreeSet<Crash>,
}

impl Suspects {
    /// No strikes.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            strikes: BTreeMap::new(),
            crashes: BTreeMap::new(),
            cleared: BTreeSet::new(),
        }
    }

    /// Takes note of a strike, seen here or told by another entry; whether it is news.
    pub fn strike(&mut self, now: Time, strike: Strike) -> bool {
        self.expire(now);
        let Strike { fingerprint, crash } = strike;
        let strikes = self.strikes.entry(fingerprint).or_default();
        if strikes.contains_key(&crash) {
            return false;
        }
        let seen = Seen {
            at: now,
            acquitted: false,
        };
        strikes.insert(crash.clone(), seen);
        self.crashes.entry(crash.clone()).or_insert(now);
        self.clear_common_cause(now, &crash);
        true
    }

    /// Clears the strikes of crashes that came together in one fabric domain.
    fn clear_common_cause(&mut self, now: Time, crash: &Crash) {
        let window = self.options.common_cause;
        let other = |(c, at): &(&Crash, &Time)| {
            c.domain == crash.domain && c.group != crash.group && now.since(**at) < window
        };
        let others: Vec<_> = self
            .crashes
            .iter()
            .filter(other)
            .map(|(c, _)| c.clone())
            .collect();
        if !others.is_empty() {
            self.cleared.insert(crash.clone());
            self.cleared.extend(others);
        }
    }

    /// Takes note that a request was answered whole.
    pub fn acquit(&mut self, fingerprint: &Fingerprint) {
        let strikes = self.strikes.get_mut(fingerprint);
        for seen in strikes.into_iter().flat_map(BTreeMap::values_mut) {
            seen.acquitted = true;
        }
    }

    /// Whether no strike is known.
    pub fn is_empty(&self) -> bool {
        self.strikes.is_empty()
    }

    /// What may be done with a request.
    pub fn verdict(&self, now: Time, fingerprint: &Fingerprint) -> Verdict {
        match self.counting(now, fingerprint).count() {
            0 => Verdict::Clear,
            n if n < self.options.strikes => Verdict::Suspect,
            _ => Verdict::Condemned,
        }
    }

    /// The time until a strike against a request no longer counts; zero without any.
    pub fn lasts(&self, now: Time, fingerprint: &Fingerprint) -> Duration {
        let oldest = self.counting(now, fingerprint).min();
        oldest.map_or(Duration::ZERO, |at| (at + self.options.lasting).since(now))
    }

    /// When each strike that counts against a request was learned of.
    fn counting(&self, now: Time, fingerprint: &Fingerprint) -> impl Iterator<Item = Time> {
        let strikes = self.strikes.get(fingerprint);
        let strikes = strikes.into_iter().flatten();
        let counts = move |(crash, seen): &(&Crash, &Seen)| self.counts(now, crash, seen);
        strikes.filter(counts).map(|(_, seen)| seen.at)
    }

    fn counts(&self, now: Time, crash: &Crash, seen: &Seen) -> bool {
        let lasts = now.since(seen.at) <= self.options.lasting;
        lasts && !seen.acquitted && !self.cleared.contains(crash)
    }

    /// The newest strikes to tell an entry, up to a number; all of them if it is new.
    pub fn strikes(&self, now: Time, to_new_entry: bool, limit: usize) -> Vec<Strike> {
        let telling = self.options.telling;
        let mut told: Vec<(Time, &Fingerprint, &Crash)> = Vec::new();
        for (fingerprint, crashes) in &self.strikes {
            let due = crashes.iter().filter(|(crash, seen)| {
                let young = now.since(seen.at) <= telling;
                (young || to_new_entry) && self.counts(now, crash, seen)
            });
            told.extend(due.map(|(crash, seen)| (seen.at, fingerprint, crash)));
        }
        told.sort_unstable_by_key(|(at, _, _)| std::cmp::Reverse(*at));
        let strike = |(_, fingerprint, crash): (Time, &Fingerprint, &Crash)| Strike {
            fingerprint: fingerprint.clone(),
            crash: crash.clone(),
        };
        told.into_iter().take(limit).map(strike).collect()
    }

    /// Forgets strikes a while after they ceased to count, when no entry tells them any
    /// more that learned of them later.
    fn expire(&mut self, now: Time) {
        let lasting = 2 * self.options.lasting;
        for crashes in self.strikes.values_mut() {
            crashes.retain(|_, seen| now.since(seen.at) <= lasting);
        }
        self.strikes.retain(|_, crashes| !crashes.is_empty());
        self.forget_oldest();
        self.crashes.retain(|_, at| now.since(*at) <= lasting);
        let crashes = &self.crashes;
        self.cleared.retain(|crash| crashes.contains_key(crash));
    }
    /// Forgets the requests whose last strike is the oldest while there are too many strikes.
    fn forget_oldest(&mut self) {
        let mut count: usize = self.strikes.values().map(BTreeMap::len).sum();
        while count >= STRIKE_LIMIT {
            let last = |crashes: &BTreeMap<Crash, Seen>| crashes.values().map(|s| s.at).max();
            let oldest = self.strikes.iter().min_by_key(|(_, crashes)| last(crashes));
            let Some(oldest) = oldest.map(|(fingerprint, _)| fingerprint.clone()) else {
                return;
            };
            let forgotten = self.strikes.remove(&oldest);
            count -= forgotten.map_or(0, |crashes| crashes.len());
        }
    }
}
