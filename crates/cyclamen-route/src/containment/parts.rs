//! The parts of prompts, and which of them are contained.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use cyclamen_types::Time;

use crate::containment::answers::Answers;
use crate::containment::{Answer, Attribution, Combination, Observation, Part};

/// A change of the parts that are contained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Requests with this part, or all of these, are refused from now on.
    Contained(Combination),
    /// Requests with this part, or all of these, are no longer refused.
    Released(Combination),
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Contained(parts) => write!(f, "event=part_contained part={parts}"),
            Self::Released(parts) => write!(f, "event=part_released part={parts}"),
        }
    }
}

/// The parts of prompts, and which of them are contained.
#[derive(Debug, Default)]
pub(super) struct Parts {
    /// When requests with each part were last answered.
    answers: Answers,
    /// The parts of the prompts of all requests with strikes, and when the last strike of each
    /// was recorded.
    suspects: BTreeMap<Part, Time>,
    attribution: Attribution,
    /// When the next strike expires.
    next_expiry: Option<Time>,
    /// Changes of the contained parts that were not taken yet.
    verdicts: Vec<Verdict>,
}

impl Parts {
    /// Records answers; returns whether crashes have to be attributed again.
    pub(super) fn record_answers(
        &mut self,
        now: Time,
        answers: impl IntoIterator<Item = Answer>,
    ) -> bool {
        let mut clears = false;
        for Answer { part, age } in answers {
            let struck_at = self.suspects.get(&part).copied();
            let answered_at = self.answers.last(&part);
            clears |= struck_at.is_some_and(|at| answered_at.is_none_or(|last| last < at));
            self.answers.record(now - age, &part);
        }
        clears
    }

    /// Returns the last answers to requests with these parts.
    pub(super) fn answers<'a>(
        &self,
        now: Time,
        parts: impl Iterator<Item = &'a Part>,
    ) -> Vec<Answer> {
        let parts: BTreeSet<&Part> = parts.collect();
        let answers = parts.into_iter().filter_map(|part| {
            Some(Answer {
                part: part.clone(),
                age: now.since(self.answers.last(part)?),
            })
        });
        answers.collect()
    }

    /// Attributes crashes to parts again, from all strikes that count.
    pub(super) fn attribute(
        &mut self,
        strikes: &[Observation<'_>],
        limit: usize,
        lifetime: Duration,
    ) {
        self.suspects = struck_parts(strikes);
        let oldest = strikes.iter().map(|strike| strike.recorded_at).min();
        self.next_expiry = oldest.map(|at| at + lifetime);
        let attribution = Attribution::of(strikes, self.answers.by_part(), limit);
        let former = std::mem::replace(&mut self.attribution, attribution).contained;
        let contained = &self.attribution.contained;
        let added = contained.difference(&former).cloned();
        self.verdicts.extend(added.map(Verdict::Contained));
        let removed = former.difference(contained).cloned();
        self.verdicts.extend(removed.map(Verdict::Released));
    }

    /// Returns whether a strike has expired since crashes were last attributed.
    pub(super) fn is_expired(&self, now: Time) -> bool {
        self.next_expiry.is_some_and(|at| now > at)
    }

    pub(super) fn attribution(&self) -> &Attribution {
        &self.attribution
    }

    pub(super) fn take_verdicts(&mut self) -> Vec<Verdict> {
        std::mem::take(&mut self.verdicts)
    }
}

/// Returns the parts of all strikes, and when the last strike of each was recorded.
fn struck_parts(strikes: &[Observation<'_>]) -> BTreeMap<Part, Time> {
    let mut parts: BTreeMap<Part, Time> = BTreeMap::new();
    for strike in strikes {
        for part in strike.parts {
            let last = parts.entry(part.clone()).or_insert(strike.recorded_at);
            *last = strike.recorded_at.max(*last);
        }
    }
    parts
}
