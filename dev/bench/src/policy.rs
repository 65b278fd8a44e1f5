//! Ways to choose an endpoint, on the same arrivals in virtual time.
//!
//! Requests arrive at entries at random; every endpoint serves a fixed number
//! of requests at a time, first come first served. A policy sees what an entry
//! would see: its own work exactly, and the work of others some time late.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use clap::Args;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use crate::report;

/// The size and the load of the experiment.
#[derive(Debug, Args)]
pub(crate) struct Options {
    /// Entries.
    #[arg(long, default_value_t = 6)]
    entries: usize,
    /// Endpoints.
    #[arg(long, default_value_t = 12)]
    endpoints: usize,
    /// Requests that an endpoint serves at a time.
    #[arg(long, default_value_t = 8)]
    slots: usize,
    /// The offered load as a part of the capacity.
    #[arg(long, default_value_t = 0.85)]
    load: f64,
    /// How late the work of others is known, in mean service times.
    #[arg(long, default_value_t = 0.2)]
    lag: f64,
    /// Requests of one run.
    #[arg(long, default_value_t = 60_000)]
    requests: usize,
    /// Runs, each with a seed of its own.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
}

/// How an entry chooses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
enum Policy {
    /// Any endpoint.
    Random,
    /// The endpoint with the least of this entry's own requests (#X of the paper).
    OwnWork,
    /// The endpoint where this entry's last request has the lowest position now (LXP).
    LastPosition,
    /// That position times the service time seen lately (ew-LXP).
    WeightedLastPosition,
    /// The better of two endpoints by the late report.
    TwoChoices,
    /// An owner knows its endpoints exactly; the better of two owners by late summaries.
    OwnerOfTwo,
    /// An own endpoint with a free place, else the better of two owners.
    OwnFirst,
    /// The shortest queue, known exactly.
    Full,
}

const POLICIES: [Policy; 8] = [
    Policy::Random,
    Policy::OwnWork,
    Policy::LastPosition,
    Policy::WeightedLastPosition,
    Policy::TwoChoices,
    Policy::OwnerOfTwo,
    Policy::OwnFirst,
    Policy::Full,
];

/// Service times that the weighted position averages over.
const WINDOW: usize = 16;

#[derive(Debug, Serialize)]
struct Row {
    policy: Policy,
    entries: usize,
    share: f64,
    lag: f64,
    mean_wait: f64,
    spread: f64,
    p95_wait: f64,
    p99_wait: f64,
    messages_per_request: f64,
}

#[derive(Debug, Clone, Default)]
struct Endpoint {
    /// Requests in service or waiting.
    jobs: usize,
    waiting: VecDeque<usize>,
    /// Jobs as of earlier moments, for late reports.
    past: VecDeque<(f64, usize)>,
}

#[derive(Debug, Clone)]
struct Request {
    entry: usize,
    arrived: f64,
    service: f64,
    endpoint: usize,
    begun: f64,
}

/// What one entry knows of one endpoint by its own requests.
#[derive(Debug, Clone, Default)]
struct Own {
    jobs: usize,
    /// The position of the last own request, counted down as it advances.
    last: usize,
    sojourns: VecDeque<f64>,
}

struct Site<'a> {
    options: &'a Options,
    policy: Policy,
    rng: SmallRng,
    endpoints: Vec<Endpoint>,
    own: Vec<Vec<Own>>,
    messages: u64,
}

impl Site<'_> {
    fn owner(&self, endpoint: usize) -> usize {
        endpoint % self.options.entries
    }

    fn late(&self, endpoint: usize, now: f64) -> usize {
        let past = &self.endpoints[endpoint].past;
        let known = past
            .iter()
            .rev()
            .find(|(at, _)| *at <= now - self.options.lag);
        known.map_or(0, |(_, jobs)| *jobs)
    }

    fn two(&mut self, count: usize) -> (usize, usize) {
        let one = self.rng.random_range(0..count);
        let other = self.rng.random_range(0..count);
        (one, other)
    }

    fn choose(&mut self, entry: usize, now: f64) -> usize {
        let count = self.endpoints.len();
        match self.policy {
            Policy::Random => self.rng.random_range(0..count),
            Policy::OwnWork => self.least(|site, e| site.own[entry][e].jobs as f64),
            Policy::LastPosition => self.least(|site, e| site.own[entry][e].last as f64),
            Policy::WeightedLastPosition => self.least(|site, e| {
                let own = &site.own[entry][e];
                let sum: f64 = own.sojourns.iter().sum();
                let mean = if own.sojourns.is_empty() {
                    1.0
                } else {
                    sum / own.sojourns.len() as f64
                };
                own.last as f64 * mean
            }),
            Policy::TwoChoices => {
                let (one, other) = self.two(count);
                if self.late(one, now) <= self.late(other, now) {
                    one
                } else {
                    other
                }
            }
            Policy::OwnerOfTwo => self.best_owner_of_two(now),
            Policy::OwnFirst => {
                let slots = self.options.slots;
                let own = (0..count).filter(|e| self.owner(*e) == entry);
                let open = own.filter(|e| self.endpoints[*e].jobs < slots);
                match open.min_by_key(|e| self.endpoints[*e].jobs) {
                    Some(endpoint) => endpoint,
                    None => self.best_owner_of_two(now),
                }
            }
            Policy::Full => self.least(|site, e| site.endpoints[e].jobs as f64),
        }
    }

    /// One of the endpoints with the lowest cost, at random among equals.
    fn least(&mut self, cost: impl Fn(&Self, usize) -> f64) -> usize {
        let begin = self.rng.random_range(0..self.endpoints.len());
        let count = self.endpoints.len();
        let order = (0..count).map(|i| (begin + i) % count);
        let best = order.min_by(|a, b| cost(self, *a).total_cmp(&cost(self, *b)));
        best.unwrap_or(begin)
    }

    /// Two owners by late summaries of all their endpoints; the better places it exactly.
    fn best_owner_of_two(&mut self, now: f64) -> usize {
        self.messages += 2;
        let owners = self.options.entries.min(self.endpoints.len());
        let (one, other) = self.two(owners);
        let summary = |owner: usize| -> f64 {
            let own = (0..self.endpoints.len()).filter(|e| self.owner(*e) == owner);
            let jobs: Vec<_> = own.map(|e| self.late(e, now)).collect();
            jobs.iter().sum::<usize>() as f64 / jobs.len().max(1) as f64
        };
        let owner = if summary(one) <= summary(other) {
            one
        } else {
            other
        };
        let own = (0..self.endpoints.len()).filter(|e| self.owner(*e) == owner);
        own.min_by_key(|e| self.endpoints[*e].jobs).unwrap_or(0)
    }

    fn note(&mut self, endpoint: usize, now: f64) {
        let lag = self.options.lag;
        let endpoint = &mut self.endpoints[endpoint];
        let jobs = endpoint.jobs;
        endpoint.past.push_back((now, jobs));
        while endpoint.past.len() > 1 && endpoint.past[1].0 <= now - lag {
            endpoint.past.pop_front();
        }
    }
}

/// Waiting times of one run, sorted, and messages a request.
fn simulate(options: &Options, policy: Policy, seed: u64) -> (Vec<f64>, f64) {
    let mut arrivals = SmallRng::seed_from_u64(seed);
    let rate = options.load * (options.endpoints * options.slots) as f64;
    let mut site = Site {
        options,
        policy,
        rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
        endpoints: vec![Endpoint::default(); options.endpoints],
        own: vec![vec![Own::default(); options.endpoints]; options.entries],
        messages: 0,
    };
    let exponential = |rng: &mut SmallRng| -(1.0 - rng.random::<f64>()).ln();
    let mut requests: Vec<Request> = Vec::with_capacity(options.requests);
    let mut ends = BinaryHeap::new();
    let mut waits = Vec::with_capacity(options.requests);
    let mut now = 0.0;
    for _ in 0..options.requests {
        now += exponential(&mut arrivals) / rate;
        while ends
            .peek()
            .is_some_and(|Reverse((at, _))| f64::from_bits(*at) <= now)
        {
            let Some(Reverse((at, id))) = ends.pop() else {
                break;
            };
            finish(
                &mut site,
                &mut requests,
                &mut ends,
                &mut waits,
                f64::from_bits(at),
                id,
            );
        }
        let entry = arrivals.random_range(0..options.entries);
        let service = exponential(&mut arrivals);
        let endpoint = site.choose(entry, now);
        let id = requests.len();
        requests.push(Request {
            entry,
            arrived: now,
            service,
            endpoint,
            begun: now,
        });
        let at = &mut site.endpoints[endpoint];
        at.jobs += 1;
        let position = at.jobs;
        if at.jobs <= options.slots {
            waits.push(0.0);
            ends.push(Reverse(((now + service).to_bits(), id)));
        } else {
            at.waiting.push_back(id);
        }
        let own = &mut site.own[entry][endpoint];
        own.jobs += 1;
        own.last = position;
        site.note(endpoint, now);
    }
    waits.sort_by(f64::total_cmp);
    (waits, site.messages as f64 / options.requests as f64)
}

fn finish(
    site: &mut Site<'_>,
    requests: &mut [Request],
    ends: &mut BinaryHeap<Reverse<(u64, usize)>>,
    waits: &mut Vec<f64>,
    now: f64,
    id: usize,
) {
    let done = requests[id].clone();
    let endpoint = &mut site.endpoints[done.endpoint];
    endpoint.jobs -= 1;
    if let Some(next) = endpoint.waiting.pop_front() {
        requests[next].begun = now;
        waits.push(now - requests[next].arrived);
        ends.push(Reverse(((now + requests[next].service).to_bits(), next)));
    }
    for own in &mut site.own {
        let own = &mut own[done.endpoint];
        own.last = own.last.saturating_sub(1);
    }
    let own = &mut site.own[done.entry][done.endpoint];
    own.jobs -= 1;
    own.sojourns.push_back(now - done.begun);
    if own.sojourns.len() > WINDOW {
        own.sojourns.pop_front();
    }
    site.note(done.endpoint, now);
}

pub(crate) fn run(options: &Options) -> eyre::Result<()> {
    let rows: Vec<_> = POLICIES
        .iter()
        .map(|policy| measure(options, *policy))
        .collect();
    report::print(&rows)
}

fn measure(options: &Options, policy: Policy) -> Row {
    let runs: Vec<_> = (0..options.seeds)
        .map(|seed| simulate(options, policy, seed))
        .collect();
    let means: Vec<_> = runs.iter().map(|(waits, _)| report::mean(waits)).collect();
    let quantile = |part: f64| {
        let of = |waits: &Vec<f64>| waits[((waits.len() - 1) as f64 * part) as usize];
        report::mean(&runs.iter().map(|(waits, _)| of(waits)).collect::<Vec<_>>())
    };
    Row {
        policy,
        entries: options.entries,
        share: 1.0 / options.entries as f64,
        lag: options.lag,
        mean_wait: report::mean(&means),
        spread: report::spread(&means),
        p95_wait: quantile(0.95),
        p99_wait: quantile(0.99),
        messages_per_request: report::mean(&runs.iter().map(|r| r.1).collect::<Vec<_>>()),
    }
}
