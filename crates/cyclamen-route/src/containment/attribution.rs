//! Attribution of crashes to the parts of prompts that cause them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cyclamen_types::Time;

use crate::containment::{Crash, Fingerprint, Part};

/// The time by which crashes have to be apart to count as more than one against a part with which
/// requests were answered before. Many groups may crash at once for another cause.
const EPISODE_DURATION: Duration = Duration::from_secs(1);

/// A strike that may be due to one of the parts of its request's prompt.
#[derive(Debug, Clone, Copy)]
pub struct Observation<'a> {
    /// The request.
    pub fingerprint: &'a Fingerprint,
    /// The crash.
    pub crash: &'a Crash,
    /// When the strike was recorded.
    pub recorded_at: Time,
    /// The parts of the prompt that other requests may share, in order.
    pub parts: &'a [Part],
}

/// The parts that crash groups, and the crashes that they explain.
///
/// Each crash has many suspects: all parts of all requests that ran on the group. What crashes
/// groups is never answered, so a part is suspected only by the strikes since a request with it
/// was last answered. The part that explains most crashes, under different requests, is
/// contained first; the crashes that it explains no longer count against the others.
///
/// The result depends only on the strikes and answers, not on their order, so entries that know
/// the same agree.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Attribution {
    /// The parts that crash groups.
    pub contained: BTreeSet<Part>,
    /// The crashes of groups that ran a request with a contained part.
    pub explained: BTreeSet<Crash>,
}

impl Attribution {
    /// Attributes crashes to parts of prompts.
    ///
    /// `answered` tells when a request with each part was last answered. A part is contained if
    /// it explains `limit` crashes under as many requests.
    pub fn of(
        observations: &[Observation<'_>],
        answered: &BTreeMap<Part, Time>,
        limit: usize,
    ) -> Self {
        let mut suspects = suspects(observations, answered);
        let mut attribution = Self::default();
        loop {
            let worst = suspects
                .iter()
                .filter(|(_, suspect)| suspect.weight() >= limit)
                .max_by_key(|(part, suspect)| (suspect.rank(), Reverse(*part)));
            let Some(part) = worst.map(|(part, _)| *part) else {
                return attribution;
            };
            let crashes = suspects
                .remove(part)
                .map_or_else(BTreeMap::new, |s| s.crashes);
            for suspect in suspects.values_mut() {
                suspect.crashes.retain(|c, _| !crashes.contains_key(c));
            }
            attribution.contained.insert(part.clone());
            attribution.explained.extend(crashes.into_keys().cloned());
        }
    }
}

/// What counts against a part.
#[derive(Debug, Default)]
struct Suspect<'a> {
    /// When the strikes of each crash were first recorded, and the requests struck.
    crashes: BTreeMap<&'a Crash, (Time, BTreeSet<&'a Fingerprint>)>,
    /// Whether a request with the part was answered earlier.
    was_answered: bool,
    /// The highest position of the part in a prompt.
    position: usize,
}

impl Suspect<'_> {
    /// Returns the number of crashes that count, under different requests.
    fn weight(&self) -> usize {
        let requests: BTreeSet<_> = self.crashes.values().flat_map(|(_, r)| r).collect();
        let crashes = if self.was_answered {
            self.episodes()
        } else {
            self.crashes.len()
        };
        crashes.min(requests.len())
    }

    /// Returns the number of crashes that are apart from each other.
    fn episodes(&self) -> usize {
        let mut times: Vec<Time> = self.crashes.values().map(|(at, _)| *at).collect();
        times.sort_unstable();
        let mut count = 0;
        let mut last: Option<Time> = None;
        for at in times {
            if last.is_none_or(|last| at.since(last) >= EPISODE_DURATION) {
                count += 1;
                last = Some(at);
            }
        }
        count
    }

    /// Returns what makes a part more suspect than others: that it was never answered, the
    /// crashes it explains, and a later position, since fewer requests share later parts.
    fn rank(&self) -> (bool, usize, usize) {
        (!self.was_answered, self.weight(), self.position)
    }
}

fn suspects<'a>(
    observations: &[Observation<'a>],
    answered: &BTreeMap<Part, Time>,
) -> BTreeMap<&'a Part, Suspect<'a>> {
    let mut suspects: BTreeMap<&Part, Suspect<'_>> = BTreeMap::new();
    for observation in observations {
        for (position, part) in observation.parts.iter().enumerate() {
            let answered_at = answered.get(part);
            if answered_at.is_some_and(|at| *at >= observation.recorded_at) {
                continue;
            }
            let suspect = suspects.entry(part).or_default();
            suspect.was_answered = answered_at.is_some();
            suspect.position = suspect.position.max(position);
            let (first, requests) = suspect
                .crashes
                .entry(observation.crash)
                .or_insert_with(|| (observation.recorded_at, BTreeSet::new()));
            *first = observation.recorded_at.min(*first);
            requests.insert(observation.fingerprint);
        }
    }
    suspects
}
