//! Simulation of policies for choosing an endpoint, on the same arrivals in virtual time.
//!
//! Requests arrive at random entries; every endpoint serves a fixed number of
//! requests at a time, in order of arrival. Except for `Full`, a policy sees what
//! an entry would see: the entry's own requests and the endpoints that it owns
//! exactly, and the load of other endpoints with a delay.
//!
//! All times are multiples of the mean service time.
//!
//! The names #X, LXP and ew-LXP are those of W. Ellens, P. Kovacs, R. Nunez-Queija
//! and H. van den Berg, "Routing policies for a partially observable two-server
//! queueing system". Their method uses the queue position of a router's own last job.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use clap::Args;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use crate::report;

/// Size and load of the simulated site.
#[derive(Debug, Args)]
pub(crate) struct Options {
    /// Number of entries.
    #[arg(long, default_value_t = 6)]
    entries: usize,
    /// Number of endpoints.
    #[arg(long, default_value_t = 12)]
    endpoints: usize,
    /// Requests that an endpoint serves concurrently.
    #[arg(long, default_value_t = 8)]
    slots: usize,
    /// Offered load as a fraction of the total capacity.
    #[arg(long, default_value_t = 0.85)]
    load: f64,
    /// Delay of load reports about other entries' requests, in mean service times.
    #[arg(long, default_value_t = 0.2)]
    lag: f64,
    /// Requests per run.
    #[arg(long, default_value_t = 60_000)]
    requests: usize,
    /// Number of runs, each with its own seed.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
}

/// Policy by which an entry chooses an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
enum Policy {
    /// A random endpoint.
    Random,
    /// The endpoint with the fewest requests of this entry (#X of Ellens et al.).
    OwnWork,
    /// The endpoint where this entry's last request now has the lowest queue position (LXP of
    /// Ellens et al.).
    LastPosition,
    /// Like `LastPosition`, with the position multiplied by the recent mean service time (ew-LXP
    /// of Ellens et al.).
    WeightedLastPosition,
    /// The less loaded of two random endpoints, by delayed reports.
    TwoChoices,
    /// The less loaded of two random owners, by delayed summaries; the owner then chooses among its
    /// endpoints by exact counts.
    OwnerOfTwo,
    /// The least loaded endpoint owned by this entry if it has a free slot, otherwise as
    /// `OwnerOfTwo`.
    OwnFirst,
    /// The endpoint with the fewest requests, by exact counts.
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

/// Number of recent service times averaged by `WeightedLastPosition`.
const SERVICE_TIME_WINDOW: usize = 16;

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
    /// Requests in service or queued.
    requests: usize,
    queued: VecDeque<usize>,
    /// Past values of `requests` with their times, for delayed reports.
    history: VecDeque<(f64, usize)>,
}

#[derive(Debug, Clone)]
struct Request {
    entry: usize,
    arrived: f64,
    service: f64,
    endpoint: usize,
    started: f64,
}

/// One entry's view of one endpoint, derived from the entry's own requests.
#[derive(Debug, Clone, Default)]
struct View {
    requests: usize,
    /// Queue position of the entry's last request, decremented as requests at the endpoint finish.
    last_position: usize,
    service_times: VecDeque<f64>,
}

struct Site<'a> {
    options: &'a Options,
    policy: Policy,
    rng: SmallRng,
    endpoints: Vec<Endpoint>,
    views: Vec<Vec<View>>,
    messages: u64,
}

impl Site<'_> {
    fn owner(&self, endpoint: usize) -> usize {
        endpoint % self.options.entries
    }

    fn delayed_requests(&self, endpoint: usize, now: f64) -> usize {
        let history = &self.endpoints[endpoint].history;
        let reported = history
            .iter()
            .rev()
            .find(|(at, _)| *at <= now - self.options.lag);
        reported.map_or(0, |(_, requests)| *requests)
    }

    fn random_pair(&mut self, count: usize) -> (usize, usize) {
        let first = self.rng.random_range(0..count);
        let second = self.rng.random_range(0..count);
        (first, second)
    }

    fn choose(&mut self, entry: usize, now: f64) -> usize {
        let count = self.endpoints.len();
        match self.policy {
            Policy::Random => self.rng.random_range(0..count),
            Policy::OwnWork => self.least_cost(|site, e| site.views[entry][e].requests as f64),
            Policy::LastPosition => {
                self.least_cost(|site, e| site.views[entry][e].last_position as f64)
            }
            Policy::WeightedLastPosition => self.least_cost(|site, e| {
                let view = &site.views[entry][e];
                let sum: f64 = view.service_times.iter().sum();
                let mean = if view.service_times.is_empty() {
                    1.0
                } else {
                    sum / view.service_times.len() as f64
                };
                view.last_position as f64 * mean
            }),
            Policy::TwoChoices => {
                let (first, second) = self.random_pair(count);
                if self.delayed_requests(first, now) <= self.delayed_requests(second, now) {
                    first
                } else {
                    second
                }
            }
            Policy::OwnerOfTwo => self.choose_by_owner_of_two(now),
            Policy::OwnFirst => {
                let slots = self.options.slots;
                let own = (0..count).filter(|e| self.owner(*e) == entry);
                let available = own.filter(|e| self.endpoints[*e].requests < slots);
                match available.min_by_key(|e| self.endpoints[*e].requests) {
                    Some(endpoint) => endpoint,
                    None => self.choose_by_owner_of_two(now),
                }
            }
            Policy::Full => self.least_cost(|site, e| site.endpoints[e].requests as f64),
        }
    }

    /// Returns the endpoint with the lowest cost; ties are broken from a random starting index.
    fn least_cost(&mut self, cost: impl Fn(&Self, usize) -> f64) -> usize {
        let begin = self.rng.random_range(0..self.endpoints.len());
        let count = self.endpoints.len();
        let order = (0..count).map(|i| (begin + i) % count);
        let best = order.min_by(|a, b| cost(self, *a).total_cmp(&cost(self, *b)));
        best.unwrap_or(begin)
    }

    /// Picks the less loaded of two random owners by delayed summaries of all their endpoints, and
    /// returns that owner's least loaded endpoint by exact counts.
    fn choose_by_owner_of_two(&mut self, now: f64) -> usize {
        self.messages += 2;
        let owners = self.options.entries.min(self.endpoints.len());
        let (first, second) = self.random_pair(owners);
        let summary = |owner: usize| -> f64 {
            let own = (0..self.endpoints.len()).filter(|e| self.owner(*e) == owner);
            let requests: Vec<_> = own.map(|e| self.delayed_requests(e, now)).collect();
            requests.iter().sum::<usize>() as f64 / requests.len().max(1) as f64
        };
        let owner = if summary(first) <= summary(second) {
            first
        } else {
            second
        };
        let own = (0..self.endpoints.len()).filter(|e| self.owner(*e) == owner);
        own.min_by_key(|e| self.endpoints[*e].requests).unwrap_or(0)
    }

    fn record_requests(&mut self, endpoint: usize, now: f64) {
        let lag = self.options.lag;
        let endpoint = &mut self.endpoints[endpoint];
        let requests = endpoint.requests;
        endpoint.history.push_back((now, requests));
        while endpoint.history.len() > 1 && endpoint.history[1].0 <= now - lag {
            endpoint.history.pop_front();
        }
    }
}

/// Returns the sorted waiting times of one run and the mean number of messages per request.
fn simulate(options: &Options, policy: Policy, seed: u64) -> (Vec<f64>, f64) {
    let mut arrivals = SmallRng::seed_from_u64(seed);
    let rate = options.load * (options.endpoints * options.slots) as f64;
    let mut site = Site {
        options,
        policy,
        rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
        endpoints: vec![Endpoint::default(); options.endpoints],
        views: vec![vec![View::default(); options.endpoints]; options.entries],
        messages: 0,
    };
    let exponential = |rng: &mut SmallRng| -(1.0 - rng.random::<f64>()).ln();
    let mut requests: Vec<Request> = Vec::with_capacity(options.requests);
    // Completion times, as bits of `f64` (which sort like the non-negative numbers), with the
    // indices of the requests.
    let mut completions = BinaryHeap::new();
    let mut waits = Vec::with_capacity(options.requests);
    let mut now = 0.0;
    for _ in 0..options.requests {
        now += exponential(&mut arrivals) / rate;
        while completions
            .peek()
            .is_some_and(|Reverse((at, _))| f64::from_bits(*at) <= now)
        {
            let Some(Reverse((at, id))) = completions.pop() else {
                break;
            };
            finish(
                &mut site,
                &mut requests,
                &mut completions,
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
            started: now,
        });
        let target = &mut site.endpoints[endpoint];
        target.requests += 1;
        let position = target.requests;
        if target.requests <= options.slots {
            waits.push(0.0);
            completions.push(Reverse(((now + service).to_bits(), id)));
        } else {
            target.queued.push_back(id);
        }
        let view = &mut site.views[entry][endpoint];
        view.requests += 1;
        view.last_position = position;
        site.record_requests(endpoint, now);
    }
    waits.sort_by(f64::total_cmp);
    (waits, site.messages as f64 / options.requests as f64)
}

fn finish(
    site: &mut Site<'_>,
    requests: &mut [Request],
    completions: &mut BinaryHeap<Reverse<(u64, usize)>>,
    waits: &mut Vec<f64>,
    now: f64,
    id: usize,
) {
    let done = requests[id].clone();
    let endpoint = &mut site.endpoints[done.endpoint];
    endpoint.requests -= 1;
    if let Some(next) = endpoint.queued.pop_front() {
        requests[next].started = now;
        waits.push(now - requests[next].arrived);
        completions.push(Reverse(((now + requests[next].service).to_bits(), next)));
    }
    for views in &mut site.views {
        let view = &mut views[done.endpoint];
        view.last_position = view.last_position.saturating_sub(1);
    }
    let view = &mut site.views[done.entry][done.endpoint];
    view.requests -= 1;
    view.service_times.push_back(now - done.started);
    if view.service_times.len() > SERVICE_TIME_WINDOW {
        view.service_times.pop_front();
    }
    site.record_requests(done.endpoint, now);
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
    let mean_quantile = |quantile: f64| {
        let of_run = |waits: &Vec<f64>| waits[((waits.len() - 1) as f64 * quantile) as usize];
        report::mean(
            &runs
                .iter()
                .map(|(waits, _)| of_run(waits))
                .collect::<Vec<_>>(),
        )
    };
    Row {
        policy,
        entries: options.entries,
        share: 1.0 / options.entries as f64,
        lag: options.lag,
        mean_wait: report::mean(&means),
        spread: report::spread(&means),
        p95_wait: mean_quantile(0.95),
        p99_wait: mean_quantile(0.99),
        messages_per_request: report::mean(&runs.iter().map(|r| r.1).collect::<Vec<_>>()),
    }
}
