//! Ways to repair replica groups, on the same losses in virtual time.
//!
//! The decisions are those of `cyclamen-domain`; the workers are a small model:
//! a lost member comes back after a pause, as another incarnation, or never.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Args;
use cyclamen_domain::listing::Status;
use cyclamen_domain::report::Assignment;
use cyclamen_domain::{
    Domain, Group, Health, Listing, Options as Rules, Order, Owner, Policy, Report, Row as Record,
    Step,
};
use cyclamen_tables::pools::{Fencing, Kind, Limits};
use cyclamen_tables::{Pool, Pools};
use cyclamen_types::{Time, domain, entry, instance};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use crate::report;

/// The size of the site and its losses.
#[derive(Debug, Args)]
pub(crate) struct Options {
    /// Fabric domains.
    #[arg(long, default_value_t = 3)]
    domains: usize,
    /// Workers in a domain.
    #[arg(long, default_value_t = 17)]
    workers: usize,
    /// Workers in a group.
    #[arg(long, default_value_t = 4)]
    group: u32,
    /// Hours of the trace.
    #[arg(long, default_value_t = 24)]
    hours: u64,
    /// Losses of a worker a day.
    #[arg(long, default_value_t = 1.5)]
    losses: f64,
    /// Seconds that a worker takes to load alone.
    #[arg(long, default_value_t = 60)]
    load: u64,
    /// Traces, each with a seed of its own.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
}

const STEP: Duration = Duration::from_millis(500);

#[derive(Debug, Serialize)]
struct Row {
    policy: String,
    group_downtime_s: f64,
    downtime_spread: f64,
    stranded_worker_s: f64,
    stranded_spread: f64,
    loads: f64,
}

/// What happens to a worker at one moment.
#[derive(Debug, Clone, Copy)]
enum Loss {
    /// Silent for this many seconds, and then as before.
    Pause(u64),
    /// Gone for this many seconds, and then another incarnation.
    Restart(u64),
    /// Off the list for good; another instance takes its place after this many seconds.
    Gone(u64),
}

#[derive(Debug, Clone)]
struct Worker {
    id: instance::Id,
    incarnation: u64,
    silent_until: Time,
    listed_from: Time,
    assignment: Option<Assignment>,
    /// The place in a group whose part of the model the worker holds.
    loaded: Option<usize>,
    ready_at: Time,
}

struct Site {
    now: Time,
    domain: Domain,
    row: Record,
    workers: Vec<Worker>,
    loads: u64,
    downtime: f64,
    stranded: f64,
}

pub(crate) fn run(options: &Options) -> eyre::Result<()> {
    let ways = [
        (
            "wait as long as a load, then a spare or a donor",
            Some(Policy::Balanced),
        ),
        ("replace at once", Some(Policy::Immediate)),
        ("wait until it is off the list", Some(Policy::WhenUnlisted)),
        ("baseline: form every group of the domain anew", None),
    ];
    let rows: Vec<_> = ways
        .iter()
        .map(|(name, policy)| {
            let runs: Vec<_> = (0..options.seeds)
                .map(|seed| simulate(options, *policy, seed))
                .collect();
            let down: Vec<_> = runs.iter().map(|r| r.0).collect();
            let stranded: Vec<_> = runs.iter().map(|r| r.1).collect();
            let loads: Vec<_> = runs.iter().map(|r| r.2).collect();
            Row {
                policy: (*name).to_string(),
                group_downtime_s: report::mean(&down),
                downtime_spread: report::spread(&down),
                stranded_worker_s: report::mean(&stranded),
                stranded_spread: report::spread(&stranded),
                loads: report::mean(&loads),
            }
        })
        .collect();
    report::print(&rows)
}

/// Group downtime, stranded worker seconds and loads of one trace.
fn simulate(options: &Options, policy: Option<Policy>, seed: u64) -> (f64, f64, f64) {
    let mut sum = (0.0, 0.0, 0.0);
    for index in 0..options.domains {
        let trace = trace(options, seed * 1_000 + index as u64);
        let mut site = Site::new(options, policy.unwrap_or_default());
        for _ in 0..400 {
            site.step(options, policy.is_none());
        }
        site.downtime = 0.0;
        site.stranded = 0.0;
        site.loads = 0;
        let begin = site.now;
        let mut trace = trace.into_iter().peekable();
        while site.now.since(begin) < Duration::from_secs(options.hours * 3_600) {
            while let Some((at, worker, loss)) = trace.next_if(|(at, _, _)| begin + *at <= site.now)
            {
                let _ = at;
                site.lose(worker, loss);
            }
            site.step(options, policy.is_none());
        }
        sum.0 += site.downtime;
        sum.1 += site.stranded;
        sum.2 += site.loads as f64;
    }
    sum
}

/// Losses in order of time: half are pauses, a third restarts, the rest never return.
fn trace(options: &Options, seed: u64) -> Vec<(Duration, usize, Loss)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let rate = options.losses * options.workers as f64 / 86_400.0;
    let mut at = 0.0;
    let mut losses = Vec::new();
    while at < options.hours as f64 * 3_600.0 {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        let worker = rng.random_range(0..options.workers);
        let loss = match rng.random_range(0..6) {
            0..3 => Loss::Pause(rng.random_range(3..40)),
            3..5 => Loss::Restart(rng.random_range(10..120)),
            _ => Loss::Gone(rng.random_range(300..1_800)),
        };
        losses.push((Duration::from_secs_f64(at), worker, loss));
        if rng.random_ratio(1, 40) {
            let dark = rng.random_range(30..300);
            let all =
                (0..options.workers).map(|w| (Duration::from_secs_f64(at), w, Loss::Pause(dark)));
            losses.extend(all);
        }
    }
    losses
}

fn pools(options: &Options) -> Pools {
    let name = |text: &str| text.parse();
    let (Ok(pool), Ok(service)) = (name("llm"), "llm".parse()) else {
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

fn worker_name(number: usize) -> Option<instance::Id> {
    format!("w{number}").parse().ok()
}

impl Site {
    fn new(options: &Options, repair: Policy) -> Self {
        let rules = Rules {
            repair,
            load_time: Duration::from_secs(options.load),
            ..Rules::default()
        };
        let name: Option<domain::Name> = "d".parse().ok();
        let workers = (0..options.workers).filter_map(|number| {
            Some(Worker {
                id: worker_name(number)?,
                incarnation: 1,
                silent_until: Time::default(),
                listed_from: Time::default(),
                assignment: None,
                loaded: None,
                ready_at: Time::default(),
            })
        });
        let mut site = Self {
            now: Time::from_millis(10_000),
            domain: Domain::new(name.unwrap_or_else(|| unreachable!("a valid name")), rules),
            row: Record::default(),
            workers: workers.collect(),
            loads: 0,
            downtime: 0.0,
            stranded: 0.0,
        };
        let owner = "e".parse().ok().map(|entry| Owner {
            entry,
            incarnation: entry::Incarnation(1),
        });
        site.row = site.row.with_owner(owner);
        site.domain.set_row(site.now, site.row.clone(), true);
        site
    }

    fn lose(&mut self, worker: usize, loss: Loss) {
        let now = self.now;
        let worker = &mut self.workers[worker];
        match loss {
            Loss::Pause(seconds) => worker.silent_until = now + Duration::from_secs(seconds),
            Loss::Restart(seconds) | Loss::Gone(seconds) => {
                let back = now + Duration::from_secs(seconds);
                worker.silent_until = back;
                worker.incarnation += 1;
                worker.assignment = None;
                worker.loaded = None;
                if matches!(loss, Loss::Gone(_)) {
                    worker.listed_from = back;
                }
            }
        }
    }

    fn step(&mut self, options: &Options, anew: bool) {
        self.now = self.now + STEP;
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
                Step::Write(row) => self.write(row, anew),
                Step::Order {
                    instance, order, ..
                } => self.follow(&instance, order, options),
            }
        }
        self.count(&pools, options);
    }

    /// The baseline drops every group whenever one of them changes.
    fn write(&mut self, row: Record, anew: bool) {
        let stands = |old: &Group| row.groups.iter().any(|new| new == old);
        let broken = !self.row.groups.iter().all(stands);
        self.row = row;
        if anew && broken {
            self.row.groups.clear();
        }
        self.domain.set_row(self.now, self.row.clone(), true);
    }

    fn follow(&mut self, instance: &instance::Id, order: Order, options: &Options) {
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
        if worker.loaded != Some(rank) {
            worker.loaded = Some(rank);
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

    /// Adds to the integrals: groups that could serve and do not, workers that idle.
    fn count(&mut self, pools: &Pools, options: &Options) {
        let serving = self
            .domain
            .row()
            .groups
            .iter()
            .filter(|group| self.domain.health(self.now, group, pools) == Health::Serving);
        let serving = serving.count();
        let size = options.group as usize;
        let possible = options.workers / size;
        let up = self
            .workers
            .iter()
            .filter(|w| self.now >= w.silent_until)
            .count();
        let seconds = STEP.as_secs_f64();
        self.downtime += possible.saturating_sub(serving) as f64 * seconds;
        self.stranded += up.saturating_sub(serving * size) as f64 * seconds;
    }
}
