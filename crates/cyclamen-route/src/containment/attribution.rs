//! Attribution of crashes to the parts of prompts that cause them.

mod evidence;

use std::collections::{BTreeMap, BTreeSet};

use cyclamen_types::Time;

use crate::containment::attribution::evidence::Evidence;
use crate::containment::{Combination, Crash, Fingerprint, Part};

/// A strike that may be due to one of the parts of its request's prompt.
#[derive(Debug, Clone, Copy)]
pub struct Observation<'a> {
    /// The request.
    pub fingerprint: &'a Fingerprint,
    /// The crash.
    pub crash: &'a Crash,
    /// When the strike was recorded.
    pub recorded_at: Time,
    /// The parts of the prompt that other requests may share.
    pub parts: &'a [Part],
}

/// The parts that crash groups, and the crashes that they explain.
///
/// Each crash has many suspects: all parts of all requests that ran on the group. What crashes
/// groups is never answered, so a part is suspected only by the strikes since a request with it
/// was last answered. The part that explains most crashes, under different requests, is
/// contained first; the crashes that it explains no longer count against the others.
///
/// A part is contained only if no other suspect explains its crashes as well. Parts that the
/// crashes do not tell apart are contained as a [`Combination`]: requests with all of them are
/// refused, and the others show which of the parts it is, by an answer or by another crash.
///
/// The result depends only on the strikes and answers, not on their order, so entries that know
/// the same agree.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Attribution {
    /// The parts that crash groups.
    pub contained: BTreeSet<Combination>,
    /// The crashes of groups that ran a request with contained parts.
    pub explained: BTreeSet<Crash>,
}

impl Attribution {
    /// Attributes crashes to parts of prompts.
    ///
    /// `answered` tells when a request with each part was last answered. Parts are contained if
    /// they explain `limit` crashes under as many requests.
    pub fn of(
        observations: &[Observation<'_>],
        answered: &BTreeMap<Part, Time>,
        limit: usize,
    ) -> Self {
        let mut evidence = Evidence::new(observations, answered, limit);
        let mut attribution = Self::default();
        while let Some(cause) = evidence.greatest_cause() {
            evidence.remove(&cause.crashes);
            let parts = cause.parts.into_iter();
            attribution.contained.insert(Combination::of(parts));
            let crashes = cause.crashes.into_iter().cloned();
            attribution.explained.extend(crashes);
        }
        attribution
    }
}
