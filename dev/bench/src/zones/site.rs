//! Zones of engines in virtual time, and the requests on their way to them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_domain::listing::Status;
use cyclamen_domain::report::Assignment;
use cyclamen_domain::{
    Decision, Domain, Ending, Group, Listing, Member, Options as Rules, Owner, Report, Request,
    Row as Record,
};
use cyclamen_tables::pools::{Fencing, Kind, Limits};
use cyclamen_tables::routes::Priority;
use cyclamen_tables::{Pool, Pools};
use cyclamen_types::{Time, entry, group, instance, pool, zone};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::zones::{Count, END, IN_AT, OUT_AT, Options, Way, slot};

const ZONES: usize = 3;
const SERVICE: f64 = 4.0;
const DEADLINE: Duration = Duration::from_secs(10);
/// How long an engine is cold after its zone returned or it has loaded.
const COLD: f64 = 20.0;
const LOAD: f64 = 60.0;
const TICK: f64 = 0.25;

#[derive(Debug, Clone)]
struct Engine {
    running: u32,
    cold_until: f64,
    down_until: f64,
    incarnation: u64,
}

#[derive(Debug, Clone, Copy)]
struct Job {
    zone: usize,
    group: usize,
    incarnation: u64,
    ticket: u64,
    arrived: f64,
}

/// Zones of engines, and the requests on their way to them.
pub(super) struct Site<'a> {
    options: &'a Options,
    way: Way,
    now: f64,
    rng: SmallRng,
    domains: Vec<Domain>,
    engines: Vec<Vec<Engine>>,
    pools: Pools,
    ends: BinaryHeap<Reverse<(u64, u64)>>,
    jobs: BTreeMap<u64, Job>,
    waiting: BTreeMap<(usize, cyclamen_domain::QueueId), (u64, f64)>,
    next: u64,
    count: Count,
}

fn time(seconds: f64) -> Time {
    Time::from_elapsed(Duration::from_secs_f64(seconds))
}

/// Names of the experiment, which are all valid.
fn name<T: std::str::FromStr>(text: String) -> T {
    text.parse()
        .unwrap_or_else(|_| unreachable!("a valid name"))
}

impl Site<'_> {
    pub(super) fn new(options: &Options, way: Way, seed: u64) -> Site<'_> {
        let limits = Limits {
            warm: options.warm,
            cold: if way == Way::Owners {
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
            way,
            now: 10.0,
            rng: SmallRng::seed_from_u64(seed),
            domains: Vec::new(),
            engines: vec![vec![engine; options.groups]; ZONES],
            pools: Pools {
                pools: vec![Pool {
                    name: name("llm".into()),
                    service: name("llm".into()),
                    kind: Kind::Model,
                    group_size: 1,
                    fencing: Fencing::Checked,
                    limits,
                }],
                ..Pools::default()
            },
            ends: BinaryHeap::new(),
            jobs: BTreeMap::new(),
            waiting: BTreeMap::new(),
            next: 0,
            count: Count::default(),
        };
        for zone in 0..ZONES {
            site.add_domain(zone);
        }
        site
    }

    fn add_domain(&mut self, zone: usize) {
        let mut domain = Domain::new(name(format!("d{zone}")), Rules::default());
        let listings = (0..self.options.groups).map(|g| Listing {
            instance: name(format!("w{zone}-{g}")),
            service: name("llm".into()),
            zone: name(format!("z{zone}")),
            domain: name(format!("d{zone}")),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            status: Status::Live,
        });
        domain.set_listings(listings);
        domain.set_row(time(self.now), self.row(zone), true);
        self.domains.push(domain);
    }

    fn owner(&self) -> Owner {
        Owner {
            entry: name("e".into()),
            incarnation: entry::Incarnation(1),
        }
    }

    fn row(&self, zone: usize) -> Record {
        let groups = self.engines[zone]
            .iter()
            .enumerate()
            .map(|(g, engine)| Group {
                id: name(format!("g{zone}-{g}")),
                pool: name("llm".into()),
                fence: group::Fence(engine.incarnation),
                members: vec![Member {
                    instance: name(format!("w{zone}-{g}")),
                    incarnation: instance::Incarnation(engine.incarnation),
                }],
            });
        Record {
            fence: group::Fence(1_000),
            owner: Some(self.owner()),
            taken: group::Fence(1),
            groups: groups.collect(),
        }
    }

    fn zone_out(&self) -> bool {
        (OUT_AT..IN_AT).contains(&self.now)
    }

    fn tick(&mut self) {
        let out: zone::Name = name("z0".into());
        if self.zone_out() {
            self.pools.zones_out.insert(out);
        } else if self.pools.zones_out.remove(&out) {
            for engine in &mut self.engines[0] {
                engine.cold_until = self.now + COLD;
            }
        }
        for zone in 0..ZONES {
            for g in 0..self.options.groups {
                self.report(zone, g);
            }
            self.wake(zone);
        }
    }

    fn report(&mut self, zone: usize, g: usize) {
        let engine = &self.engines[zone][g];
        let up = self.now >= engine.down_until;
        let report = Report {
            incarnation: instance::Incarnation(engine.incarnation),
            assignment: Some(Assignment {
                group: name(format!("g{zone}-{g}")),
                fence: group::Fence(engine.incarnation),
            }),
            ready: up,
            cold: self.now < engine.cold_until,
            running: engine.running,
        };
        let id = name(format!("w{zone}-{g}"));
        self.domains[zone].record_report(time(self.now), &id, report);
    }

    fn wake(&mut self, zone: usize) {
        let answers = self.domains[zone].poll_queue(time(self.now), &self.pools, true);
        for (waiting, answer) in answers {
            let Some((ticket, arrived)) = self.waiting.remove(&(zone, waiting)) else {
                continue;
            };
            match answer {
                Decision::Granted(grant) => self.begin(zone, &grant.group, ticket, arrived),
                Decision::Refused(cyclamen_domain::Refusal::NotServing) => self.arrive(arrived),
                _ => self.count.refused += 1,
            }
        }
    }

    fn arrive(&mut self, arrived: f64) {
        match self.way {
            Way::Random => self.arrive_at_random(arrived),
            Way::Owners | Way::Rush => self.arrive_at_owner(arrived),
        }
    }

    fn arrive_at_random(&mut self, arrived: f64) {
        let first = usize::from(self.zone_out());
        let zone = self.rng.random_range(first..ZONES);
        let g = self.rng.random_range(0..self.options.groups);
        let engine = &self.engines[zone][g];
        if self.now < engine.down_until || engine.running >= self.options.warm {
            self.count.refused += 1;
            return;
        }
        self.next += 1;
        let ticket = self.next;
        self.begin(zone, &name(format!("g{zone}-{g}")), ticket, arrived);
    }

    fn arrive_at_owner(&mut self, arrived: f64) {
        let pool: pool::Name = name("llm".into());
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
            self.count.refused += 1;
            return;
        };
        self.next += 1;
        let ask = Request {
            ticket: group::Ticket(self.next),
            pool,
            team: name("team".into()),
            share: 1,
            priority: Priority::Interactive,
            deadline: time(arrived) + DEADLINE,
            suspect: false,
            may_queue: true,
            holder: self.owner(),
        };
        let (zone, ticket) = (*zone, self.next);
        match self.domains[zone].admit(now, ask, &self.pools, true) {
            Decision::Granted(grant) => self.begin(zone, &grant.group, ticket, arrived),
            Decision::Queued(waiting) => {
                self.waiting.insert((zone, waiting), (ticket, arrived));
            }
            Decision::Refused(_) => self.count.refused += 1,
        }
    }

    /// A request reaches its engine; one that is cold may fall over.
    fn begin(&mut self, zone: usize, group: &group::Id, ticket: u64, arrived: f64) {
        let g: usize = name(
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
            engine.down_until = now + LOAD;
            engine.cold_until = now + LOAD + COLD;
            self.count.fallen += 1;
            self.count.lost += 1;
            let row = self.row(zone);
            self.domains[zone].set_row(time(now), row, true);
            return;
        }
        let incarnation = engine.incarnation;
        let service = -(1.0 - self.rng.random::<f64>()).ln() * SERVICE;
        self.ends.push(Reverse(((now + service).to_bits(), ticket)));
        let job = Job {
            zone,
            group: g,
            incarnation,
            ticket,
            arrived,
        };
        self.jobs.insert(ticket, job);
    }

    fn end(&mut self, ticket: u64) {
        let Some(job) = self.jobs.remove(&ticket) else {
            return;
        };
        let engine = &mut self.engines[job.zone][job.group];
        let whole = engine.incarnation == job.incarnation;
        if whole {
            engine.running = engine.running.saturating_sub(1);
            self.count.whole[slot(job.arrived)] += 1;
        } else {
            self.count.lost += 1;
        }
        let ending = if whole {
            Ending::Complete(Duration::ZERO)
        } else {
            Ending::Unused
        };
        let ticket = group::Ticket(job.ticket);
        self.domains[job.zone].release(time(self.now), ticket, ending, &self.pools);
        self.wake(job.zone);
    }

    pub(super) fn run(mut self) -> Count {
        let capacity = (ZONES * self.options.groups) as f64 * f64::from(self.options.warm);
        let rate = self.options.load * capacity / SERVICE;
        self.count.offered = vec![0; slot(END) + 1];
        self.count.whole = vec![0; slot(END) + 1];
        let (mut arrival, mut tick): (f64, f64) = (40.0, self.now);
        while self.now < END {
            let end = self
                .ends
                .peek()
                .map_or(f64::INFINITY, |Reverse((at, _))| f64::from_bits(*at));
            self.now = arrival.min(tick).min(end);
            if self.now == end {
                if let Some(Reverse((_, ticket))) = self.ends.pop() {
                    self.end(ticket);
                }
            } else if self.now == tick {
                self.tick();
                tick += TICK;
            } else {
                self.count.offered[slot(arrival)] += 1;
                self.arrive(arrival);
                arrival += -(1.0 - self.rng.random::<f64>()).ln() / rate;
            }
        }
        self.count
    }
}
