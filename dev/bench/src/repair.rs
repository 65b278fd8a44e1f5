//! Simulation of policies for repairing replica groups, on the same losses in virtual time.
//!
//! The decisions are made by `cyclamen-domain`; the workers are a simple model:
//! a lost member returns unchanged after a pause, returns as a new incarnation,
//! or never returns.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Args;
use cyclamen_domain::listing::Status;
use cyclamen_domain::report::Assignment;
use cyclamen_domain::{
    Domain, Group, Health, Listing, Options as DomainOptions, Order, Owner, Policy, Report,
    Row as DomainRow, Step,
};
use cyclamen_tables::pools::{Fencing, Kind, Limits};
use cyclamen_tables::{Pool, Pools};
use cyclamen_types::{Time, domain, entry, instance};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use crate::report;

/// Size of the site and rate of losses.
#[derive(Debug, Args)]
pub(crate) struct Options {
    /// Number of fabric domains.
    #[arg(long, default_value_t = 3)]
    domains: usize,
    /// Workers per domain.
    #[arg(long, default_value_t = 17)]
    workers: usize,
    /// Workers per group.
    #[arg(long, default_value_t = 4)]
    group: u32,
    /// Length of a trace, in hours.
    #[arg(long, default_value_t = 24)]
    hours: u64,
    /// Losses per worker per day.
    #[arg(long, default_value_t = 1.5)]
    losses: f64,
    /// Time a worker takes to load its part of the model while no other worker loads, in seconds.
    #[arg(long, default_value_t = 60)]
    load: u64,
    /// Number of traces, each with its own seed.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
}

/// Virtual time per simulation step.
const TIME_STEP: Duration = Duration::from_millis(500);

#[derive(Debug, Serialize)]
struct Row {
    policy: String,
    group_downtime_s: f64,
    downtime_spread: f64,
    stranded_worker_s: f64,
    stranded_spread: f64,
    loads: f64,
}

/// Loss of a worker.
#[derive(Debug, Clone, Copy)]
enum Loss {
    /// Silent for this many seconds, then responsive again in the same state.
    Pause(u64),
    /// Down for this many seconds, then back as a new incarnation.
    Restart(u64),
    /// Removed from the instance list permanently; another instance replaces it after this many
    /// seconds.
    Removal(u64),
}

#[derive(Debug, Clone)]
struct Worker {
    id: instance::Id,
    incarnation: u64,
    silent_until: Time,
    listed_from: Time,
    assignment: Option<Assignment>,
    /// Rank in the group whose part of the model the worker has loaded.
    loaded_rank: Option<usize>,
    ready_at: Time,
}

struct Site {
    now: Time,
    domain: Domain,
    row: DomainRow,
    workers: Vec<Worker>,
    loads: u64,
    downtime_s: f64,
    stranded_worker_s: f64,
}

pub(crate) fn run(options: &Options) -> eyre::Result<()> {
    let policies = [
        (
            "wait as long as a load, then a spare or a donor",
            Some(Policy::Balanced),
        ),
        ("replace at once", Some(Policy::Immediate)),
        ("wait until it is off the list", Some(Policy::WhenUnlisted)),
        ("baseline: form every group of the domain anew", None),
    ];
    let rows: Vec<_> = policies
        .iter()
        .map(|(name, policy)| {
            let runs: Vec<_> = (0..options.seeds)
                .map(|seed| simulate(options, *policy, seed))
                .collect();
            let downtime: Vec<_> = runs.iter().map(|r| r.0).collect();
            let stranded: Vec<_> = runs.iter().map(|r| r.1).collect();
            let loads: Vec<_> = runs.iter().map(|r| r.2).collect();
            Row {
                policy: (*name).to_string(),
                group_downtime_s: report::mean(&downtime),
                downtime_spread: report::spread(&downtime),
                stranded_worker_s: report::mean(&stranded),
                stranded_spread: report::spread(&stranded),
                loads: report::mean(&loads),
            }
        })
        .collect();
    report::print(&rows)
}

/// Simulates all domains with one seed and returns the sums of the group downtime and of the
/// stranded worker time, both in seconds, and the number of loads.
fn simulate(options: &Options, policy: Option<Policy>, seed: u64) -> (f64, f64, f64) {
    let mut sum = (0.0, 0.0, 0.0);
    for index in 0..options.domains {
        let trace = trace(options, seed * 1_000 + index as u64);
        let mut site = Site::new(options, policy.unwrap_or_default());
        // Lets the groups form and load before the measurement starts.
        for _ in 0..400 {
            site.step(options, policy.is_none());
        }
        site.downtime_s = 0.0;
        site.stranded_worker_s = 0.0;
        site.loads = 0;
        let begin = site.now;
        let mut trace = trace.into_iter().peekable();
        while site.now.since(begin) < Duration::from_secs(options.hours * 3_600) {
            while let Some((at, worker, loss)) = trace.next_if(|(at, _, _)| begin + *at <= site.now)
            {
                let _ = at;
                site.apply_loss(worker, loss);
            }
            site.step(options, policy.is_none());
        }
        sum.0 += site.downtime_s;
        sum.1 += site.stranded_worker_s;
        sum.2 += site.loads as f64;
    }
    sum
}

/// Returns losses in order of time: half are pauses, a third are restarts, the rest are removals.
/// With a probability of 1 in 40, a loss coincides with a pause of all workers of the domain.
fn trace(options: &Options, seed: u64) -> Vec<(Duration, usize, Loss)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let losses_per_s = options.losses * options.workers as f64 / 86_400.0;
    let mut at_s = 0.0;
    let mut losses = Vec::new();
    while at_s < options.hours as f64 * 3_600.0 {
        at_s += -(1.0 - rng.random::<f64>()).ln() / losses_per_s;
        let worker = rng.random_range(0..options.workers);
        let loss = match rng.random_range(0..6) {
            0..3 => Loss::Pause(rng.random_range(3..40)),
            3..5 => Loss::Restart(rng.random_range(10..120)),
            _ => Loss::Removal(rng.random_range(300..1_800)),
        };
        losses.push((Duration::from_secs_f64(at_s), worker, loss));
        if rng.random_ratio(1, 40) {
            let outage_s = rng.random_range(30..300);
            let pauses = (0..options.workers)
                .map(|w| (Duration::from_secs_f64(at_s), w, Loss::Pause(outage_s)));
            losses.extend(pauses);
        }
    }
    losses
}

fn pools(options: &Options) -> Pools {
    let parse = |text: &str| text.parse();
    let (Ok(pool), Ok(service)) = (parse("llm"), "llm".parse()) else {
        return Pools::default();
    };
    Pools {
        pools: vec![Pool {
            name: pool,
            service,
            kind: Kind::Model,
            group_size: options.group,
            fencing: Fencing::Checked,
            limits: Limits::default(),
        }],
        ..Pools::default()
    }
}

fn worker_id(number: usize) -> Option<instance::Id> {
    format!("w{number}").parse().ok()
}

impl Site {
    fn new(options: &Options, repair: Policy) -> Self {
        let domain_options = DomainOptions {
            repair,
            load_time: Duration::from_secs(options.load),
            ..DomainOptions::default()
        };
        let name: Option<domain::Name> = "d".parse().ok();
        let workers = (0..options.workers).filter_map(|number| {
            Some(Worker {
                id: worker_id(number)?,
                incarnation: 1,
                silent_until: Time::default(),
                listed_from: Time::default(),
                assignment: None,
                loaded_rank: None,
                ready_at: Time::default(),
            })
        });
        let mut site = Self {
            now: Time::from_millis(10_000),
            domain: Domain::new(
                name.unwrap_or_else(|| unreachable!("the name is a valid constant")),
                domain_options,
            ),
            row: DomainRow::default(),
            workers: workers.collect(),
            loads: 0,
            downtime_s: 0.0,
            stranded_worker_s: 0.0,
        };
        let owner = "e".parse().ok().map(|entry| Owner {
            entry,
            incarnation: entry::Incarnation(1),
        });
        site.row = site.row.with_owner(owner);
        site.domain.set_row(site.now, site.row.clone(), true);
        site
    }

    fn apply_loss(&mut self, worker: usize, loss: Loss) {
        let now = self.now;
        let worker = &mut self.workers[worker];
        match loss {
            Loss::Pause(seconds) => worker.silent_until = now + Duration::from_secs(seconds),
            Loss::Restart(seconds) | Loss::Removal(seconds) => {
                let available_at = now + Duration::from_secs(seconds);
                worker.silent_until = available_at;
                worker.incarnation += 1;
                worker.assignment = None;
                worker.loaded_rank = None;
                if matches!(loss, Loss::Removal(_)) {
                    worker.listed_from = available_at;
                }
            }
        }
    }

    fn step(&mut self, options: &Options, reform_all: bool) {
        self.now = self.now + TIME_STEP;
        let now = self.now;
        let pools = pools(options);
        self.domain.set_listings(self.listings());
        for worker in self.workers.iter().filter(|w| now >= w.silent_until) {
            let report = Report {
                incarnation: instance::Incarnation(worker.incarnation),
                assignment: worker.assignment.clone(),
                ready: worker.assignment.is_some() && now >= worker.ready_at,
                cold: false,
                running: 0,
            };
            self.domain.record_report(now, &worker.id, report);
        }
        for step in self.domain.plan(now, &pools, true) {
            match step {
                Step::Write(row) => self.write_row(row, reform_all),
                Step::Order {
                    instance, order, ..
                } => self.apply_order(&instance, order, options),
            }
        }
        self.accumulate(&pools, options);
    }

    /// Stores the row. The baseline (`reform_all`) dissolves all groups of the domain when any of
    /// them changes.
    fn write_row(&mut self, row: DomainRow, reform_all: bool) {
        let is_kept = |old: &Group| row.groups.iter().any(|new| new == old);
        let changed = !self.row.groups.iter().all(is_kept);
        self.row = row;
        if reform_all && changed {
            self.row.groups.clear();
        }
        self.domain.set_row(self.now, self.row.clone(), true);
    }

    fn apply_order(&mut self, instance: &instance::Id, order: Order, options: &Options) {
        let now = self.now;
        let Some(worker) = self.workers.iter_mut().find(|w| w.id == *instance) else {
            return;
        };
        let Order::Join {
            assignment, rank, ..
        } = order
        else {
            worker.assignment = None;
            return;
        };
        worker.assignment = Some(assignment);
        if worker.loaded_rank != Some(rank) {
            worker.loaded_rank = Some(rank);
            worker.ready_at = now + Duration::from_secs(options.load);
            self.loads += 1;
        }
    }

    fn listings(&self) -> Vec<Listing> {
        let listed = self.workers.iter().filter(|w| self.now >= w.listed_from);
        let listings = listed.filter_map(|worker| {
            Some(Listing {
                instance: worker.id.clone(),
                service: "llm".parse().ok()?,
                zone: "a".parse().ok()?,
                domain: "d".parse().ok()?,
                address: SocketAddr::from(([127, 0, 0, 1], 1)),
                status: Status::Live,
            })
        });
        listings.collect()
    }

    /// Adds one step to the group downtime (groups that the domain's workers could form but that
    /// are not serving) and to the stranded time (responsive workers outside serving groups).
    fn accumulate(&mut self, pools: &Pools, options: &Options) {
        let serving = self
            .domain
            .row()
            .groups
            .iter()
            .filter(|group| self.domain.health(self.now, group, pools) == Health::Serving);
        let serving = serving.count();
        let size = options.group as usize;
        let possible = options.workers / size;
        let responsive = self
            .workers
            .iter()
            .filter(|w| self.now >= w.silent_until)
            .count();
        let seconds = TIME_STEP.as_secs_f64();
        self.downtime_s += possible.saturating_sub(serving) as f64 * seconds;
        self.stranded_worker_s += responsive.saturating_sub(serving * size) as f64 * seconds;
    }
}
