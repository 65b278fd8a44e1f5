//! The limits that workers named.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_types::{Time, instance};
use rand::Rng;
use rand::seq::IteratorRandom;

use crate::rate::{Naming, Rate};

/// How much later than it was sent gossip may arrive. What another entry says counts as older by
/// this when it would lift or raise a limit.
const MAX_GOSSIP_DELAY: Duration = Duration::from_secs(1);
/// How long other entries are told that a worker names no limit any more.
const LIFT_GOSSIP_DURATION: Duration = Duration::from_secs(5);
/// The time since a worker last named its limit after which it is asked whether it still does.
const UNCONFIRMED_AFTER: Duration = Duration::from_secs(2);

/// What is known of the limit of one incarnation of a worker.
#[derive(Debug, Clone, Copy)]
struct Known {
    /// The limit; `None` if the worker names none any more.
    limit: Option<Rate>,
    /// When the worker last named the limit; or else when the request was sent whose response named
    /// none.
    at: Time,
}

/// What an entry tells others about the limit of a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The worker.
    pub instance: instance::Id,
    /// Its incarnation.
    pub incarnation: instance::Incarnation,
    /// The limit; `None` if the worker names none any more.
    pub limit: Option<Rate>,
    /// The time since it was named, or lifted.
    pub age: Duration,
}

/// How the limit of a worker has changed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// The worker names a limit, and named none before.
    Named(Rate),
    /// It names another limit.
    Changed {
        /// The former limit.
        from: Rate,
        /// The present limit.
        to: Rate,
    },
    /// It names no limit any more.
    Lifted(Rate),
}

/// The limits that workers named, by worker and incarnation.
///
/// A limit that becomes lower counts at once. One that is lifted or becomes higher counts only if the
/// worker said so in the response to a request that was sent after it had last named the former one.
#[derive(Debug, Default)]
pub struct Limits(BTreeMap<instance::Id, BTreeMap<instance::Incarnation, Known>>);

impl Limits {
    /// Returns the limit of a worker, if it names one.
    pub fn get(&self, id: &instance::Id, incarnation: instance::Incarnation) -> Option<Rate> {
        self.0.get(id)?.get(&incarnation)?.limit
    }

    /// Returns the number of workers that name a limit.
    pub fn count(&self) -> usize {
        self.iter()
            .filter(|(.., known)| known.limit.is_some())
            .count()
    }

    /// Records what the head of a response says, whatever its status, to a request that was sent at
    /// `sent_at`.
    pub fn record_response(
        &mut self,
        now: Time,
        sent_at: Time,
        worker: (&instance::Id, instance::Incarnation),
        naming: Naming,
    ) -> Option<Change> {
        match naming {
            Naming::Unclear => None,
            Naming::None => self.lift(worker, sent_at),
            Naming::Limit(rate) => self.set(worker, rate, now, sent_at),
        }
    }

    /// Records what another entry says.
    pub fn record_report(&mut self, now: Time, report: &Report) -> Option<Change> {
        let worker = (&report.instance, report.incarnation);
        let at = now - report.age;
        let earliest = at - MAX_GOSSIP_DELAY;
        match report.limit {
            None => self.lift(worker, earliest),
            Some(rate) => self.set(worker, rate, at, earliest),
        }
    }

    /// Sets a limit that was named at `at`, in response to a request sent at `sent_at`.
    fn set(
        &mut self,
        (id, incarnation): (&instance::Id, instance::Incarnation),
        rate: Rate,
        at: Time,
        sent_at: Time,
    ) -> Option<Change> {
        let incarnations = self.0.entry(id.clone()).or_default();
        let Some(known) = incarnations.get_mut(&incarnation) else {
            let limit = Some(rate);
            incarnations.insert(incarnation, Known { limit, at });
            return Some(Change::Named(rate));
        };
        match known.limit {
            None if at <= known.at => None,
            Some(former) if rate > former && sent_at <= known.at => None,
            former => {
                known.limit = Some(rate);
                known.at = known.at.max(at);
                match former {
                    None => Some(Change::Named(rate)),
                    Some(from) if from != rate => Some(Change::Changed { from, to: rate }),
                    Some(_) => None,
                }
            }
        }
    }

    /// Lifts a limit, if it was last named before `sent_at`.
    fn lift(
        &mut self,
        (id, incarnation): (&instance::Id, instance::Incarnation),
        sent_at: Time,
    ) -> Option<Change> {
        let known = self.0.get_mut(id)?.get_mut(&incarnation)?;
        let former = known.limit.filter(|_| sent_at > known.at)?;
        *known = Known {
            limit: None,
            at: sent_at,
        };
        Some(Change::Lifted(former))
    }

    /// Returns the workers that have not named their limit for a while, to be asked whether they
    /// still do.
    pub fn unconfirmed(
        &self,
        now: Time,
    ) -> impl Iterator<Item = (&instance::Id, instance::Incarnation)> {
        let unconfirmed = self.iter().filter(move |(.., known)| {
            known.limit.is_some() && now.since(known.at) >= UNCONFIRMED_AFTER
        });
        unconfirmed.map(|(id, incarnation, _)| (id, incarnation))
    }

    /// Returns what other entries are told: at most `limit` reports, chosen at random.
    pub fn to_gossip(&self, now: Time, limit: usize, rng: &mut impl Rng) -> Vec<Report> {
        let told = self.iter().filter(|(.., known)| {
            known.limit.is_some() || now.since(known.at) < LIFT_GOSSIP_DURATION
        });
        let reports = told.map(|(id, incarnation, known)| Report {
            instance: id.clone(),
            incarnation,
            limit: known.limit,
            age: now.since(known.at),
        });
        reports.choose_multiple(rng, limit)
    }

    /// Keeps the workers of which the predicate holds.
    pub fn retain(&mut self, keep: impl Fn(&instance::Id, instance::Incarnation) -> bool) {
        self.0.retain(|id, incarnations| {
            incarnations.retain(|incarnation, _| keep(id, *incarnation));
            !incarnations.is_empty()
        });
    }

    fn iter(&self) -> impl Iterator<Item = (&instance::Id, instance::Incarnation, &Known)> {
        self.0.iter().flat_map(|(id, incarnations)| {
            let incarnations = incarnations.iter();
            incarnations.map(move |(incarnation, known)| (id, *incarnation, known))
        })
    }
}
