//! Which of the workers that may get a request is chosen, if loads and speeds are observed.

use std::time::Duration;

use cyclamen_types::Time;
use rand::Rng;

use crate::dispatcher::TIE_BREAK_COST;
use crate::dispatcher::worker::{InProgress, Worker};
use crate::options::Options;
use crate::request::{Criteria, Target};

/// The number of workers outside the cell that are compared of each place: entries with the same old
/// view must not all send to the worker that looks best.
const DRAWN: usize = 3;
/// The smallest slack of a request, as a fraction of its latency goal.
const MIN_SLACK: f64 = 0.1;
/// The part of the slack that a queue may use before nothing is kept near.
const MAX_USED: f64 = 0.5;
/// The preference for this entry's cell over the rest of its zone, as a fraction of the slack.
const CELL_PREFERENCE: f64 = 0.5;
/// The largest random cost of a worker of which nothing was observed, as a fraction of the slack.
const MAX_NOISE: f64 = 0.25;
/// What orders workers of the same penalty at random; less than any penalty.
const ORDER_NOISE: f64 = 0.1;

/// A worker that may get the request.
#[derive(Debug)]
pub(super) struct Candidate<'a> {
    pub(super) worker: &'a Worker,
    pub(super) in_progress: InProgress,
    pub(super) wait: Duration,
    pub(super) pace: f64,
    /// The part of its load that is not known: between 0 and 1.
    pub(super) staleness: f64,
    /// An additional cost, as a multiple of the latency goal.
    pub(super) extra: f64,
}

/// Where a worker is, seen from this entry; the nearest place first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Place {
    Cell,
    Zone,
    OtherZone,
}

impl Place {
    pub(super) fn of(target: &Target, criteria: &Criteria<'_>) -> Self {
        let domain = target.domain.as_ref();
        if target.zone != *criteria.zone {
            Self::OtherZone
        } else if domain.is_none_or(|domain| criteria.domains.contains(domain)) {
            Self::Cell
        } else {
            Self::Zone
        }
    }
}

/// The times from which the preference for near workers is derived, in seconds.
struct Slack {
    /// The wait on an idle worker.
    idle: f64,
    /// What the goal leaves of the time, after the wait on an idle worker.
    slack: f64,
}

impl Slack {
    fn of(criteria: &Criteria<'_>, options: &Options, candidates: &[Candidate<'_>]) -> Self {
        let idle = candidates.iter().map(|c| {
            let wait = c
                .worker
                .forecast_wait(InProgress::default(), criteria.tokens, 1.0, options);
            wait.as_secs_f64()
        });
        let idle = idle.fold(f64::INFINITY, f64::min);
        let goal = criteria.goal.as_secs_f64();
        let slack = (goal - idle).max(goal * MIN_SLACK);
        Self { idle, slack }
    }

    /// Returns how far the nearer workers are preferred: 1 if the best of them has no queue, 0 if
    /// its queue uses more of the slack than it may, or there is none.
    fn preference<'a, 'b: 'a>(&self, nearer: impl Iterator<Item = &'a Candidate<'b>>) -> f64 {
        let least = nearer
            .map(|candidate| candidate.wait.as_secs_f64())
            .fold(f64::INFINITY, f64::min);
        let used = (least - self.idle) / (self.slack * MAX_USED);
        (1.0 - used).clamp(0.0, 1.0)
    }
}

/// Returns the candidate with the lowest cost of all, without regard to what was observed.
pub(super) fn least_cost<'a>(
    now: Time,
    criteria: &Criteria<'_>,
    options: &Options,
    candidates: Vec<Candidate<'a>>,
    rng: &mut impl Rng,
) -> Option<Candidate<'a>> {
    let mut best: Option<(f64, Candidate<'a>)> = None;
    for candidate in candidates {
        let cost = options.cost(now, criteria, candidate.worker, candidate.wait);
        let cost = cost + candidate.extra + random(rng) * TIE_BREAK_COST;
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, candidate));
        }
    }
    best.map(|(_, candidate)| candidate)
}

/// Returns the candidate with the lowest cost, of all in the cell and of some others.
pub(super) fn choose<'a>(
    now: Time,
    criteria: &Criteria<'_>,
    options: &Options,
    candidates: Vec<Candidate<'a>>,
    rng: &mut impl Rng,
) -> Option<Candidate<'a>> {
    let slack = Slack::of(criteria, options, &candidates);
    let penalty = |c: &Candidate<'_>| options.penalty(now, c.worker);
    let place = |c: &Candidate<'_>| Place::of(&c.worker.target, criteria);
    let nearer = |than: Place| {
        let near = candidates.iter().filter(move |c| place(c) < than);
        // One that may have failed is no reason to stay.
        slack.preference(near.filter(|c| penalty(c) == 0.0))
    };
    let zone = nearer(Place::Zone) * slack.slack * CELL_PREFERENCE;
    let other_zone = nearer(Place::OtherZone) * slack.slack + options.zone_crossing.as_secs_f64();
    let goal = criteria.goal.as_secs_f64().max(0.001);
    let drawn = draw(candidates, place, penalty, rng);
    let cost = |candidate: &Candidate<'_>, rng: &mut _| {
        let (distance, noise) = match place(candidate) {
            Place::Cell => (0.0, 0.0),
            Place::Zone => (zone, candidate.staleness),
            Place::OtherZone => (other_zone, candidate.staleness),
        };
        let noise = TIE_BREAK_COST + noise * slack.slack * MAX_NOISE / goal;
        let seconds = candidate.wait.as_secs_f64() + distance;
        seconds / goal + candidate.extra + penalty(candidate) + noise * random(rng)
    };
    let costs = drawn.into_iter().map(|c| (cost(&c, rng), c));
    let best = costs.min_by(|(a, _), (b, _)| a.total_cmp(b));
    best.map(|(_, candidate)| candidate)
}

fn random(rng: &mut impl Rng) -> f64 {
    rng.random()
}

/// Returns all workers of the cell, and some of each other place at random; those without a
/// penalty first.
fn draw<'a>(
    candidates: Vec<Candidate<'a>>,
    place: impl Fn(&Candidate<'_>) -> Place,
    penalty: impl Fn(&Candidate<'_>) -> f64,
    rng: &mut impl Rng,
) -> Vec<Candidate<'a>> {
    let mut drawn = Vec::new();
    let mut others: [Vec<(f64, Candidate<'a>)>; 2] = Default::default();
    for candidate in candidates {
        let order = penalty(&candidate) + random(rng) * ORDER_NOISE;
        match place(&candidate) {
            Place::Cell => drawn.push(candidate),
            Place::Zone => others[0].push((order, candidate)),
            Place::OtherZone => others[1].push((order, candidate)),
        }
    }
    for mut of_place in others {
        of_place.sort_unstable_by(|(a, _), (b, _)| a.total_cmp(b));
        drawn.extend(of_place.into_iter().take(DRAWN).map(|(_, c)| c));
    }
    drawn
}
