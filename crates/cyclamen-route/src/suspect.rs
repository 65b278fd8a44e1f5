//! Containment of requests that crash the groups that run them.
//!
//! A request is known by its content, so that it is recognised under a new id
//! and through another entry. Every group that closes its connection while a
//! request runs counts one strike against it. A request with a strike is a
//! suspect: at most one suspect runs on a group at a time, so that a second
//! crash is laid on one request only. At the limit it is refused for good.

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
    /// Crashes of two groups of one domain within this time have a common cause.
    pub common_cause: Duration,
    /// How long a strike counts.
    pub lasting: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            strikes: 2,
            common_cause: Duration::from_secs(3),
            lasting: Duration::from_secs(3600),
        }
    }
}

/// The strikes that an entry knows of.
#[derive(Debug)]
pub struct Suspects {
    options: Options,
    strikes: BTreeMap<Fingerprint, BTreeMap<Crash, Time>>,
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
        strikes.insert(crash.clone(), now);
        self.crashes.entry(crash.clone()).or_insert(now);
        self.clear_common_cause(now, &crash);
        true
    }

    /// Clears the strikes of crashes that came together in one fabric domain.
    fn clear_common_cause(&mut self, now: Time, crash: &Crash) {
        let window = self.options.common_cause;
        let other = |(c, at): &(&Crash, &Time)| {
            c.domain == crash.domain && c.group != crash.group && now.since(**at) <= window
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

    /// What may be done with a request.
    pub fn verdict(&self, now: Time, fingerprint: &Fingerprint) -> Verdict {
        let Some(strikes) = self.strikes.get(fingerprint) else {
            return Verdict::Clear;
        };
        let counts = |(crash, at): &(&Crash, &Time)| {
            !self.cleared.contains(*crash) && now.since(**at) <= self.options.lasting
        };
        match strikes.iter().filter(counts).count() {
            0 => Verdict::Clear,
            n if n < self.options.strikes => Verdict::Suspect,
            _ => Verdict::Condemned,
        }
    }

    /// The strikes to tell other entries.
    pub fn strikes(&self) -> impl Iterator<Item = Strike> + '_ {
        self.strikes.iter().flat_map(|(fingerprint, crashes)| {
            crashes.keys().map(|crash| Strike {
                fingerprint: fingerprint.clone(),
                crash: crash.clone(),
            })
        })
    }

    fn expire(&mut self, now: Time) {
        let lasting = self.options.lasting;
        for crashes in self.strikes.values_mut() {
            crashes.retain(|_, at| now.since(*at) <= lasting);
        }
        self.strikes.retain(|_, crashes| !crashes.is_empty());
        self.crashes.retain(|_, at| now.since(*at) <= lasting);
        let crashes = &self.crashes;
        self.cleared.retain(|crash| crashes.contains_key(crash));
    }
}
