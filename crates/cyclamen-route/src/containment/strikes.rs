//! The strikes recorded by an entry.

mod gossip;
mod record;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cyclamen_types::Time;

use crate::containment::parts::Parts;
use crate::containment::strikes::record::{Insertion, Record};
use crate::containment::{
    Answer, Combination, Crash, Decision, Fingerprint, Observation, Options, Part, Strike, Verdict,
};

/// Maximum number of stored strikes; beyond it the oldest are evicted.
const MAX_STORED_STRIKES: usize = 4_096;

/// The strikes recorded by an entry.
#[derive(Debug)]
pub struct Strikes {
    options: Options,
    by_fingerprint: BTreeMap<Fingerprint, BTreeMap<Crash, Record>>,
    crashes: BTreeMap<Crash, Time>,
    common_cause_crashes: BTreeSet<Crash>,
    /// The parts of prompts, and which of them are contained.
    parts: Parts,
}

impl Strikes {
    /// Creates an empty set of strikes.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            by_fingerprint: BTreeMap::new(),
            crashes: BTreeMap::new(),
            common_cause_crashes: BTreeSet::new(),
            parts: Parts::default(),
        }
    }

    /// Records a strike seen here or received from another entry; returns whether it is
    /// new.
    pub fn record(&mut self, now: Time, strike: Strike) -> bool {
        self.record_all(now, [strike])
    }

    /// Records strikes seen here or received from another entry; returns whether one is new.
    pub fn record_all(&mut self, now: Time, strikes: impl IntoIterator<Item = Strike>) -> bool {
        self.expire(now);
        let mut is_new = false;
        let mut has_parts = false;
        for strike in strikes {
            let strike_has_parts = !strike.parts.is_empty();
            match self.insert(now, strike) {
                Insertion::New => {
                    is_new = true;
                    has_parts |= strike_has_parts;
                }
                Insertion::Extended => has_parts = true,
                Insertion::Known => {}
            }
        }
        if has_parts {
            self.attribute(now);
        }
        is_new
    }

    fn insert(&mut self, now: Time, strike: Strike) -> Insertion {
        let Strike {
            fingerprint,
            crash,
            parts,
        } = strike;
        let records = self.by_fingerprint.entry(fingerprint).or_default();
        if let Some(record) = records.get_mut(&crash) {
            return record.extend(&parts);
        }
        let record = Record {
            recorded_at: now,
            parts,
            cleared: false,
        };
        records.insert(crash.clone(), record);
        self.crashes.entry(crash.clone()).or_insert(now);
        self.exclude_common_cause(now, &crash);
        Insertion::New
    }

    /// Records that requests with these parts in their prompts were answered, here or at another
    /// entry.
    pub fn record_answers(&mut self, now: Time, answers: impl IntoIterator<Item = Answer>) {
        if self.parts.record_answers(now, answers) {
            self.attribute(now);
        }
    }

    /// Releases parts whose strikes have expired.
    pub fn release_expired(&mut self, now: Time) {
        if self.parts.is_expired(now) {
            self.attribute(now);
        }
    }

    /// Returns the parts that are contained, alone or together.
    pub fn contained(&self) -> &BTreeSet<Combination> {
        &self.parts.attribution().contained
    }

    /// Returns which of these parts crashes do not tell apart from others.
    pub fn undecided(&self, parts: &[Part]) -> Vec<Part> {
        let combinations = || self.contained().iter().filter(|c| c.single().is_none());
        let is_undecided = |part: &&Part| combinations().any(|c| c.contains(part));
        parts.iter().filter(is_undecided).cloned().collect()
    }

    /// Returns whether a prompt with these parts has a contained part, or all of a combination.
    fn has_contained(&self, parts: &[Part]) -> bool {
        self.contained().iter().any(|c| c.is_in(parts))
    }

    /// Returns the changes of the contained parts since the last call.
    pub fn take_verdicts(&mut self) -> Vec<Verdict> {
        self.parts.take_verdicts()
    }

    /// Attributes the strikes that count to parts of prompts again.
    fn attribute(&mut self, now: Time) {
        let mut parts = std::mem::take(&mut self.parts);
        let strikes = self.unexpired(now).filter(|(_, _, r)| !r.cleared);
        let observations: Vec<_> = strikes
            .map(|(fingerprint, crash, record)| Observation {
                fingerprint,
                crash,
                recorded_at: record.recorded_at,
                parts: &record.parts,
            })
            .collect();
        let Options {
            part_strike_limit,
            strike_lifetime,
            ..
        } = self.options;
        parts.attribute(&observations, part_strike_limit, strike_lifetime);
        self.parts = parts;
    }

    /// Returns the strikes that have not expired.
    fn unexpired(&self, now: Time) -> impl Iterator<Item = (&Fingerprint, &Crash, &Record)> {
        let lifetime = self.options.strike_lifetime;
        let all = self
            .by_fingerprint
            .iter()
            .flat_map(|(fingerprint, records)| {
                let records = records.iter();
                records.map(move |(crash, record)| (fingerprint, crash, record))
            });
        all.filter(move |(_, _, record)| now.since(record.recorded_at) <= lifetime)
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

    /// Decides how a request with these parts in its prompt may run.
    pub fn decide(&self, now: Time, fingerprint: &Fingerprint, parts: &[Part]) -> Decision {
        if self.has_contained(parts) {
            return Decision::Refuse;
        }
        match self.active_times(now, fingerprint).count() {
            0 => Decision::Allow,
            n if n < self.options.strike_limit => Decision::Isolate,
            _ => Decision::Refuse,
        }
    }

    /// Returns the time until the oldest active strike against a request, or against a contained
    /// part of its prompt, expires, or zero if there is none.
    pub fn expires_in(&self, now: Time, fingerprint: &Fingerprint, parts: &[Part]) -> Duration {
        let contained: Vec<&Combination> = self
            .contained()
            .iter()
            .filter(|combination| combination.is_in(parts))
            .collect();
        let against_parts = self
            .unexpired(now)
            .filter(|(_, _, record)| contained.iter().any(|c| c.is_in(&record.parts)));
        let against_parts = against_parts.map(|(_, _, record)| record.recorded_at);
        let oldest = self
            .active_times(now, fingerprint)
            .chain(against_parts)
            .min();
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
        let has_other_cause = self.common_cause_crashes.contains(crash)
            || self.parts.attribution().explained.contains(crash);
        is_unexpired && !record.cleared && !has_other_cause
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
