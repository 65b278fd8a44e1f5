//! Selection of the strikes that other entries are told, and of those kept as evidence.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::Arc;

use cyclamen_types::Time;

use super::Strikes;
use super::record::Record;
use crate::containment::{Answer, Combination, Crash, Fingerprint, Part, Strike};

impl Strikes {
    /// Returns the strikes to send to an entry, at most `limit`: those against contained parts
    /// first, then the newest. A new entry also gets those older than the gossip duration.
    pub fn to_gossip(&self, now: Time, to_new_entry: bool, limit: usize) -> Vec<Strike> {
        let gossip_duration = self.options.gossip_duration;
        let mut selected: Vec<(&Record, &Fingerprint, &Crash)> = Vec::new();
        for (fingerprint, records) in &self.by_fingerprint {
            let due = records.iter().filter(|(crash, record)| {
                let is_recent = now.since(record.recorded_at) <= gossip_duration;
                (is_recent || to_new_entry) && self.is_relevant(now, crash, record)
            });
            selected.extend(due.map(|(crash, record)| (record, fingerprint, crash)));
        }
        selected.sort_by_cached_key(|(record, _, _)| {
            Reverse((self.has_contained(&record.parts), record.recorded_at))
        });
        let to_strike = |(record, fingerprint, crash): (&Record, &Fingerprint, &Crash)| Strike {
            fingerprint: fingerprint.clone(),
            crash: crash.clone(),
            parts: record.parts.clone(),
        };
        selected.into_iter().take(limit).map(to_strike).collect()
    }

    /// Returns whether a strike is sent to other entries: it counts against its request or
    /// against a part of its prompt.
    fn is_relevant(&self, now: Time, crash: &Crash, record: &Record) -> bool {
        let is_unexpired = now.since(record.recorded_at) <= self.options.strike_lifetime;
        let is_unexplained = !self.parts.attribution().explained.contains(crash);
        let against_part =
            !record.parts.is_empty() && (is_unexplained || self.has_contained(&record.parts));
        let against_part = against_part && is_unexpired && !record.cleared;
        against_part || self.is_active(now, crash, record)
    }

    /// Returns how long ago requests with the parts of these strikes were last answered; parts with
    /// which none was answered are omitted.
    pub fn answers_to_gossip(&self, now: Time, strikes: &[Strike]) -> Vec<Answer> {
        let parts = strikes.iter().flat_map(|strike| strike.parts.iter());
        self.parts.answers(now, parts)
    }

    /// Returns strikes that suffice to contain a combination of parts, the newest first: of enough
    /// crashes and under enough requests. They carry only these parts.
    pub fn evidence(&self, now: Time, contained: &Combination) -> Vec<Strike> {
        let limit = self.options.part_strike_limit;
        let strikes = self.unexpired(now);
        let mut strikes: Vec<_> = strikes
            .filter(|(.., r)| contained.is_in(&r.parts))
            .collect();
        strikes.sort_by_key(|(.., record)| Reverse(record.recorded_at));
        let (mut crashes, mut requests) = (BTreeSet::new(), BTreeSet::new());
        strikes.retain(|(fingerprint, crash, _)| {
            let adds_crash = crashes.len() < limit && crashes.insert(*crash);
            let adds_request = requests.len() < limit && requests.insert(*fingerprint);
            adds_crash || adds_request
        });
        let parts: Arc<[Part]> = contained.parts().cloned().collect();
        let to_strike = |(fingerprint, crash, _): (&Fingerprint, &Crash, &Record)| Strike {
            fingerprint: fingerprint.clone(),
            crash: crash.clone(),
            parts: parts.clone(),
        };
        strikes.into_iter().map(to_strike).collect()
    }
}
