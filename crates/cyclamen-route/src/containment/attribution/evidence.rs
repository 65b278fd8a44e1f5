//! The strikes that count, and what may have caused their crashes.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cyclamen_types::Time;

use crate::containment::attribution::Observation;
use crate::containment::{Crash, Part};

/// The time by which crashes have to be apart to count as more than one against a part with which
/// requests were answered before. Many groups may crash at once for another cause.
const EPISODE_DURATION: Duration = Duration::from_secs(1);

/// The crashes that a part has to explain beyond another one with which it stood in one prompt.
/// Until then requests with both are refused, and a single group may crash for another cause.
const CRASHES_BEYOND_COMPANION: usize = 2;

/// The crashes that a part has to explain beyond another one with which it never stood in one
/// prompt.
const CRASHES_BEYOND_OTHER: usize = 1;

/// Parts that explain crashes better than any other suspect.
#[derive(Debug)]
pub(super) struct Cause<'a> {
    pub(super) parts: BTreeSet<&'a Part>,
    pub(super) crashes: BTreeSet<&'a Crash>,
}

/// A strike, and the parts that are suspected by it. All are numbered, so that comparing them is
/// cheap when many groups crash.
#[derive(Debug)]
struct Strike {
    request: usize,
    crash: usize,
    recorded_at: Time,
    /// The numbers of the parts, in ascending order.
    parts: Vec<usize>,
}

/// What counts against a part, or against parts of one prompt.
#[derive(Debug)]
struct Suspect {
    /// The crashes in ascending order, and when the first strike of each was recorded.
    crashes: Vec<(usize, Time)>,
    /// The number of requests struck.
    requests: usize,
    /// Whether a request with each of the parts was answered earlier.
    was_answered: bool,
}

/// The strikes that count.
#[derive(Debug)]
pub(super) struct Evidence<'a> {
    parts: Vec<&'a Part>,
    crashes: Vec<&'a Crash>,
    /// Whether a request with each part was answered at some time.
    answered: Vec<bool>,
    strikes: Vec<Strike>,
    /// The strikes by which each part is suspected.
    strikes_by_part: Vec<Vec<usize>>,
    /// What counts against each part that may be a cause; none against the others.
    suspects: Vec<Option<Suspect>>,
    /// The number of crashes, under as many requests, of a cause.
    limit: usize,
}

impl<'a> Evidence<'a> {
    pub(super) fn new(
        observations: &[Observation<'a>],
        answered: &BTreeMap<Part, Time>,
        limit: usize,
    ) -> Self {
        let parts = sorted(observations.iter().flat_map(|o| o.parts));
        let crashes = sorted(observations.iter().map(|o| o.crash));
        let requests = sorted(observations.iter().map(|o| o.fingerprint));
        let answered_at: Vec<Option<Time>> = parts
            .iter()
            .map(|part| answered.get(*part).copied())
            .collect();
        let strikes = observations.iter().map(|observation| {
            let numbers = observation.parts.iter().map(|part| number(&parts, &part));
            let is_suspected =
                |part: &usize| answered_at[*part].is_none_or(|at| at < observation.recorded_at);
            let suspected: BTreeSet<usize> = numbers.filter(is_suspected).collect();
            Strike {
                request: number(&requests, &observation.fingerprint),
                crash: number(&crashes, &observation.crash),
                recorded_at: observation.recorded_at,
                parts: suspected.into_iter().collect(),
            }
        });
        let mut evidence = Self {
            strikes: strikes.collect(),
            answered: answered_at.iter().map(Option::is_some).collect(),
            strikes_by_part: Vec::new(),
            suspects: Vec::new(),
            parts,
            crashes,
            limit,
        };
        evidence.find_suspects();
        evidence
    }

    /// Removes the strikes of crashes that are explained.
    pub(super) fn remove(&mut self, explained: &BTreeSet<&Crash>) {
        let crashes = &self.crashes;
        self.strikes
            .retain(|strike| !explained.contains(crashes[strike.crash]));
        self.find_suspects();
    }

    /// Returns the parts that explain most crashes and are told apart from all others, if any.
    pub(super) fn greatest_cause(&self) -> Option<Cause<'a>> {
        let suspects = self.suspects();
        let mut suspects: Vec<_> = suspects
            .filter(|(_, suspect)| suspect.weight() >= self.limit)
            .collect();
        suspects.sort_by_key(|(part, suspect)| (Reverse(suspect.rank()), *part));
        suspects
            .into_iter()
            .find_map(|(part, suspect)| self.cause_with(part, suspect))
    }

    /// Returns the cause to which a part belongs: the part alone if no other one explains its
    /// crashes, or else what it has in common with those in one prompt.
    fn cause_with(&self, part: usize, suspect: &Suspect) -> Option<Cause<'a>> {
        let mut undecided: Vec<usize> = self.alternatives(&[part], suspect).collect();
        if undecided.is_empty() {
            return Some(self.cause(&[part], suspect));
        }
        undecided.push(part);
        let prompts = self.strikes_by_part[part].iter();
        let combinations: BTreeSet<Vec<usize>> = prompts
            .map(|strike| {
                let parts = self.strikes[*strike].parts.iter().copied();
                parts.filter(|part| undecided.contains(part)).collect()
            })
            .collect();
        let several = combinations.into_iter().filter(|parts| parts.len() > 1);
        let causes = several.filter_map(|parts| {
            let suspect = self.suspect(&parts);
            let is_cause = suspect.weight() >= self.limit
                && self.alternatives(&parts, &suspect).next().is_none();
            is_cause.then_some((suspect, parts))
        });
        let greatest = causes.max_by_key(|(suspect, parts)| (suspect.rank(), Reverse(parts.len())));
        greatest.map(|(suspect, parts)| self.cause(&parts, &suspect))
    }

    /// Returns the other parts that may have caused the crashes of these parts.
    fn alternatives(&self, parts: &[usize], suspect: &Suspect) -> impl Iterator<Item = usize> {
        let others = self.suspects().filter(move |(other, alternative)| {
            !parts.contains(other)
                && alternative.was_answered <= suspect.was_answered
                && alternative.crash_count() >= self.limit
                && self.may_replace(*other, alternative, parts, suspect)
        });
        others.map(|(other, _)| other)
    }

    /// Returns whether another part explains the crashes of these parts nearly as well.
    fn may_replace(
        &self,
        other: usize,
        alternative: &Suspect,
        parts: &[usize],
        suspect: &Suspect,
    ) -> bool {
        let beyond = suspect.count_beyond(alternative);
        beyond < CRASHES_BEYOND_OTHER
            || (beyond < CRASHES_BEYOND_COMPANION && self.stood_with(other, parts))
    }

    /// Returns whether a prompt had a part and all of these.
    fn stood_with(&self, other: usize, parts: &[usize]) -> bool {
        let mut strikes = self.strikes_by_part[other].iter();
        strikes.any(|strike| self.strikes[*strike].has_all(parts))
    }

    /// Returns what counts against these parts together, of which there is one at least.
    fn suspect(&self, parts: &[usize]) -> Suspect {
        let strikes = parts.first().map(|part| &self.strikes_by_part[*part]);
        let strikes = strikes.into_iter().flatten().map(|s| &self.strikes[*s]);
        let together = strikes.filter(|strike| strike.has_all(parts));
        Suspect::of(together, parts.iter().all(|part| self.answered[*part]))
    }

    fn suspects(&self) -> impl Iterator<Item = (usize, &Suspect)> {
        let suspects = self.suspects.iter().enumerate();
        suspects.filter_map(|(part, suspect)| Some((part, suspect.as_ref()?)))
    }

    fn cause(&self, parts: &[usize], suspect: &Suspect) -> Cause<'a> {
        let crashes = suspect.crashes.iter();
        Cause {
            parts: parts.iter().map(|part| self.parts[*part]).collect(),
            crashes: crashes.map(|(crash, _)| self.crashes[*crash]).collect(),
        }
    }

    fn find_suspects(&mut self) {
        let mut by_part = vec![Vec::new(); self.parts.len()];
        for (index, strike) in self.strikes.iter().enumerate() {
            for part in &strike.parts {
                by_part[*part].push(index);
            }
        }
        self.strikes_by_part = by_part;
        let parts = 0..self.parts.len();
        let suspects = parts.map(|part| {
            let may_be_cause = self.strikes_by_part[part].len() >= self.limit;
            may_be_cause.then(|| self.suspect(&[part]))
        });
        self.suspects = suspects.collect();
    }
}

impl Strike {
    fn has_all(&self, parts: &[usize]) -> bool {
        let has = |part: &usize| self.parts.binary_search(part).is_ok();
        parts.iter().all(has)
    }
}

impl Suspect {
    fn of<'s>(strikes: impl Iterator<Item = &'s Strike>, was_answered: bool) -> Self {
        let mut crashes = Vec::new();
        let mut requests = Vec::new();
        for strike in strikes {
            crashes.push((strike.crash, strike.recorded_at));
            requests.push(strike.request);
        }
        crashes.sort_unstable();
        crashes.dedup_by_key(|(crash, _)| *crash);
        requests.sort_unstable();
        requests.dedup();
        Self {
            crashes,
            requests: requests.len(),
            was_answered,
        }
    }

    /// Returns what makes a part more suspect than others: that it was never answered, and the
    /// crashes it explains.
    fn rank(&self) -> (bool, usize) {
        (!self.was_answered, self.weight())
    }

    /// Returns the number of crashes that count, under different requests.
    fn weight(&self) -> usize {
        self.crash_count().min(self.requests)
    }

    /// Returns the number of crashes that count.
    fn crash_count(&self) -> usize {
        self.count(self.crashes.iter())
    }

    /// Returns the number of crashes that count and that another one does not explain.
    fn count_beyond(&self, other: &Self) -> usize {
        let explains = |crash: &usize| {
            let found = other.crashes.binary_search_by_key(crash, |(c, _)| *c);
            found.is_ok()
        };
        self.count(self.crashes.iter().filter(|(crash, _)| !explains(crash)))
    }

    fn count<'s>(&self, crashes: impl Iterator<Item = &'s (usize, Time)>) -> usize {
        if self.was_answered {
            episodes(crashes.map(|(_, at)| *at))
        } else {
            crashes.count()
        }
    }
}

/// Returns the different values in ascending order.
fn sorted<'v, T: Ord>(values: impl Iterator<Item = &'v T>) -> Vec<&'v T> {
    let mut values: Vec<&T> = values.collect();
    values.sort_unstable();
    values.dedup();
    values
}

/// Returns the number of one of the values.
fn number<T: Ord>(values: &[&T], value: &&T) -> usize {
    values.partition_point(|other| other < value)
}

/// Returns the number of crashes that are apart from each other.
fn episodes(times: impl Iterator<Item = Time>) -> usize {
    let mut times: Vec<Time> = times.collect();
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
