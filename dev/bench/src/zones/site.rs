//! Simulated site: zones of engines and the requests to them, in virtual time.
//!
//! Times of type `f64` are in seconds.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_domain::listing::Status;
use cyclamen_domain::report::Assignment;
use cyclamen_domain::{
    Decision, Domain, Ending, Group, Listing, Member, Options as DomainOptions, Owner, Report,
    Request, Row as DomainRow,
};
use cyclamen_tables::pools::{Fencing, Kind, Limits};
use cyclamen_tables::routes::Priority;
use cyclamen_tables::{Pool, Pools};
use cyclamen_types::{Time, entry, group, instance, pool, zone};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::zones::{Admission, Counts, END_AT_S, Options, ZONE_IN_AT_S, ZONE_OUT_AT_S, window};

const ZONES: usize = 3;
/// Mean of the exponentially distributed service time.
const MEAN_SERVICE_S: f64 = 4.0;
const DEADLINE: Duration = Duration::from_secs(10);
/// Time an engine stays cold after its zone returns or after it has loaded.
const COLD_TIME_S: f64 = 20.0;
/// Time an engine takes to load after a crash.
const LOAD_TIME_S: f64 = 60.0;
const TICK_INTERVAL_S: f64 = 0.25;

#[derive(Debug, Clone)]
struct Engine {
    running: u32,
    cold_until: f64,
    down_until: f64,
    incarnation: u64,
}

/// A request that runs on an engine.
#[derive(Debug, Clone, Copy)]
struct Job {
    zone: usize,
    group: usize,
    incarnation: u64,
    ticket: u64,
    arrived: f64,
}

/// Simulated zones of engines and the requests to them.
pub(super) struct Site<'a> {
    options: &'a Options,
    admission: Admission,
    now: f64,
    rng: SmallRng,
    domains: Vec<Domain>,
    engines: Vec<Vec<Engine>>,
    pools: Pools,
    /// Completion times, as bits of `f64` (which sort like the non-negative numbers), with the
    /// tickets of the jobs.
    completions: BinaryHeap<Reverse<(u64, u64)>>,
    jobs: BTreeMap<u64, Job>,
    /// Tickets and arrival times of the queued requests, by zone and queue ID.
    queued: BTreeMap<(usize, cyclamen_domain::QueueId), (u64, f64)>,
    last_ticket: u64,
    counts: Counts,
}

fn time(seconds: f64) -> Time {
    Time::from_elapsed(Duration::from_secs_f64(seconds))
}

/// Parses a name of the simulation; all of them are valid.
fn parse<T: std::str::FromStr>(text: String) -> T {
    text.parse()
        .unwrap_or_else(|_| unreachable!("all names in the simulation are valid"))
}

impl Site<'_> {
    pub(super) fn new(options: &Options, admission: Admission, seed: u64) -> Site<'_> {
        let limits = Limits {
            warm: options.warm,
            cold: if admission == Admission::Owners {
                options.cold
            } else {
                options.warm
            },
            ramp_ms: 2_000,
            slow_start_ms: 60_000,
        };
        let engine = Engine {
            running: 0,
            cold_until: 0.0,
            down_until: 0.0,
            incarnation: 1,
        };
        let mut site = Site {
            options,
            admission,
            now: 10.0,
            rng: SmallRng::seed_from_u64(seed),
            domains: Vec::new(),
            engines: vec![vec![engine; options.groups]; ZONES],
            pools: Pools {
                pools: vec![Pool {
                    name: parse("llm".into()),
                    service: parse("llm".into()),
                    kind: Kind::Model,
                    group_size: 1,
                    fencing: Fencing::Checked,
                    limits,
                }],
                ..Pools::default()
            },
            completions: BinaryHeap::new(),
            jobs: BTreeMap::new(),
            queued: BTreeMap::new(),
            last_ticket: 0,
            counts: Counts::default(),
        };
        for zone in 0..ZONES {
            site.add_domain(zone);
        }
        site
    }

    fn add_domain(&mut self, zone: usize) {
        let mut domain = Domain::new(parse(format!("d{zone}")), DomainOptions::default());
        let listings = (0..self.options.groups).map(|g| Listing {
            instance: parse(format!("w{zone}-{g}")),
            service: parse("llm".into()),
            zone: parse(format!("z{zone}")),
            domain: parse(format!("d{zone}")),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            status: Status::Live,
        });
        domain.set_listings(listings);
        domain.set_row(time(self.now), self.row(zone), true);
        self.domains.push(domain);
    }

    fn owner(&self) -> Owner {
        Owner {
            entry: parse("e".into()),
            incarnation: entry::Incarnation(1),
        }
    }

    fn row(&self, zone: usize) -> DomainRow {
        let groups = self.engines[zone]
            .iter()
            .enumerate()
            .map(|(g, engine)| Group {
                id: parse(format!("g{zone}-{g}")),
                pool: parse("llm".into()),
                fence: group::Fence(engine.incarnation),
                members: vec![Member {
                    instance: parse(format!("w{zone}-{g}")),
                    incarnation: instance::Incarnation(engine.incarnation),
                }],
            });
        DomainRow {
            fence: group::Fence(1_000),
            owner: Some(self.owner()),
            taken: group::Fence(1),
            groups: groups.collect(),
        }
    }

    fn is_zone_out(&self) -> bool {
        (ZONE_OUT_AT_S..ZONE_IN_AT_S).contains(&self.now)
    }

    fn tick(&mut self) {
        let zone_name: zone::Name = parse("z0".into());
        if self.is_zone_out() {
            self.pools.zones_out.insert(zone_name);
        } else if self.pools.zones_out.remove(&zone_name) {
            for engine in &mut self.engines[0] {
                engine.cold_until = self.now + COLD_TIME_S;
            }
        }
        for zone in 0..ZONES {
            for g in 0..self.options.groups {
                self.record_report(zone, g);
            }
            self.poll_queue(zone);
        }
    }

    fn record_report(&mut self, zone: usize, g: usize) {
        let engine = &self.engines[zone][g];
        let up = self.now >= engine.down_until;
        let report = Report {
            incarnation: instance::Incarnation(engine.incarnation),
            assignment: Some(Assignment {
                group: parse(format!("g{zone}-{g}")),
                fence: group::Fence(engine.incarnation),
            }),
            ready: up,
            cold: self.now < engine.cold_until,
            running: engine.running,
        };
        let id = parse(format!("w{zone}-{g}"));
        self.domains[zone].record_report(time(self.now), &id, report);
    }

    fn poll_queue(&mut self, zone: usize) {
        let decisions = self.domains[zone].poll_queue(time(self.now), &self.pools, true);
        for (queue_id, decision) in decisions {
            let Some((ticket, arrived)) = self.queued.remove(&(zone, queue_id)) else {
                continue;
            };
            match decision {
                Decision::Granted(grant) => self.start(zone, &grant.group, ticket, arrived),
                Decision::Refused(cyclamen_domain::Refusal::NotServing) => self.admit(arrived),
                _ => self.counts.refused += 1,
            }
        }
    }

    fn admit(&mut self, arrived: f64) {
        match self.admission {
            Admission::Random => self.admit_at_random(arrived),
            Admission::Owners | Admission::OwnersUnramped => self.admit_by_owner(arrived),
        }
    }

    fn admit_at_random(&mut self, arrived: f64) {
        let first_zone = usize::from(self.is_zone_out());
        let zone = self.rng.random_range(first_zone..ZONES);
        let g = self.rng.random_range(0..self.options.groups);
        let engine = &self.engines[zone][g];
        if self.now < engine.down_until || engine.running >= self.options.warm {
            self.counts.refused += 1;
            return;
        }
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.start(zone, &parse(format!("g{zone}-{g}")), ticket, arrived);
    }

    fn admit_by_owner(&mut self, arrived: f64) {
        let pool: pool::Name = parse("llm".into());
        let now = time(self.now);
        let summaries: Vec<_> = (0..ZONES)
            .filter_map(|zone| {
                let summaries = self.domains[zone].summaries(now, &self.pools);
                let summary = summaries.into_iter().find(|s| s.pool == pool)?;
                Some((zone, summary))
            })
            .collect();
        let best = summaries
            .iter()
            .min_by_key(|(_, s)| (s.wait, Reverse(s.free)));
        let Some((zone, _)) = best else {
            self.counts.refused += 1;
            return;
        };
        self.last_ticket += 1;
        let request = Request {
            ticket: group::Ticket(self.last_ticket),
            pool,
            team: parse("team".into()),
            share: 1,
            priority: Priority::Interactive,
            deadline: time(arrived) + DEADLINE,
            suspect: false,
            may_queue: true,
            holder: self.owner(),
        };
        let (zone, ticket) = (*zone, self.last_ticket);
        match self.domains[zone].admit(now, request, &self.pools, true) {
            Decision::Granted(grant) => self.start(zone, &grant.group, ticket, arrived),
            Decision::Queued(queue_id) => {
                self.queued.insert((zone, queue_id), (ticket, arrived));
            }
            Decision::Refused(_) => self.counts.refused += 1,
        }
    }

    /// Starts a request on its engine, or crashes a cold engine that would exceed its cold limit.
    fn start(&mut self, zone: usize, group: &group::Id, ticket: u64, arrived: f64) {
        let g: usize = parse(
            group
                .as_str()
                .rsplit('-')
                .next()
                .unwrap_or_default()
                .to_string(),
        );
        let now = self.now;
        let engine = &mut self.engines[zone][g];
        engine.running += 1;
        if now < engine.cold_until && engine.running > self.options.cold {
            engine.running = 0;
            engine.incarnation += 1;
            engine.down_until = now + LOAD_TIME_S;
            engine.cold_until = now + LOAD_TIME_S + COLD_TIME_S;
            self.counts.crashed += 1;
            self.counts.lost += 1;
            let row = self.row(zone);
            self.domains[zone].set_row(time(now), row, true);
            return;
        }
        let incarnation = engine.incarnation;
        let service = -(1.0 - self.rng.random::<f64>()).ln() * MEAN_SERVICE_S;
        self.completions
            .push(Reverse(((now + service).to_bits(), ticket)));
        let job = Job {
            zone,
            group: g,
            incarnation,
            ticket,
            arrived,
        };
        self.jobs.insert(ticket, job);
    }

    fn complete(&mut self, ticket: u64) {
        let Some(job) = self.jobs.remove(&ticket) else {
            return;
        };
        let engine = &mut self.engines[job.zone][job.group];
        let complete = engine.incarnation == job.incarnation;
        if complete {
            engine.running = engine.running.saturating_sub(1);
            self.counts.complete[window(job.arrived)] += 1;
        } else {
            self.counts.lost += 1;
        }
        let ending = if complete {
            Ending::Complete(Duration::ZERO)
        } else {
            Ending::Unused
        };
        let ticket = group::Ticket(job.ticket);
        self.domains[job.zone].release(time(self.now), ticket, ending, &self.pools);
        self.poll_queue(job.zone);
    }

    pub(super) fn run(mut self) -> Counts {
        let capacity = (ZONES * self.options.groups) as f64 * f64::from(self.options.warm);
        let rate = self.options.load * capacity / MEAN_SERVICE_S;
        self.counts.offered = vec![0; window(END_AT_S) + 1];
        self.counts.complete = vec![0; window(END_AT_S) + 1];
        let (mut arrival, mut tick): (f64, f64) = (40.0, self.now);
        while self.now < END_AT_S {
            let next_completion = self
                .completions
                .peek()
                .map_or(f64::INFINITY, |Reverse((at, _))| f64::from_bits(*at));
            self.now = arrival.min(tick).min(next_completion);
            if self.now == next_completion {
                if let Some(Reverse((_, ticket))) = self.completions.pop() {
                    self.complete(ticket);
                }
            } else if self.now == tick {
                self.tick();
                tick += TICK_INTERVAL_S;
            } else {
                self.counts.offered[window(arrival)] += 1;
                self.admit(arrival);
                arrival += -(1.0 - self.rng.random::<f64>()).ln() / rate;
            }
        }
        self.counts
    }
}
