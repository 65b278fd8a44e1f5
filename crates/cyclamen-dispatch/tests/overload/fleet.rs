//! A fleet of workers and entries without a network, with the forecast as its service model.

use std::collections::BTreeSet;
use std::time::Duration;

use cyclamen_directory::service::{Engine, Model};
use cyclamen_dispatch::{
    Caller, Criteria, Dispatch, Dispatcher, Forecast, Options, Outcome, Reason, Target, TeamWork,
    overload,
};
use cyclamen_types::{Time, domain, group, instance, model, pool, team, zone};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// How often entries report their loads to each other.
const GOSSIP_MS: u64 = 200;
/// The time that a caller gives; it returns once, after a third of what is left at most.
pub const DEADLINE: Duration = Duration::from_secs(6);
const OVERHEAD_MS: f64 = 130.0;

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn engine() -> Engine {
    Engine {
        slots: 26,
        step: Duration::from_micros(6_070),
        step_per_request: Duration::from_micros(241),
        read_per_second: 46_000.0,
        chunk: 2_048,
        stride: 5,
        loads_per_second: 4.0,
        concurrent_loads: None,
        models: vec![Model {
            name: "large".parse().unwrap(),
            size: 4,
            share: 1.0,
            pace: 0.7,
            load: Duration::from_secs(16),
            warm: ms(1_600),
        }],
    }
}

pub fn head(index: usize) -> Target {
    let engine = engine();
    Target {
        instance: format!("h{index}").parse().unwrap(),
        incarnation: instance::Incarnation(1),
        fence: group::Fence(7),
        service: "llm".parse().unwrap(),
        model: Some("large".parse().unwrap()),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "a".parse().unwrap(),
        domain: Some("d0".parse().unwrap()),
        slots: engine.slots,
        cold: None,
        limit: None,
        doubtful: false,
        forecast: Some(Forecast::of(&engine, &engine.models[0])),
    }
}

/// Requests of one kind.
#[derive(Debug, Clone)]
pub struct Kind {
    pub priority: u8,
    pub goal: Duration,
    /// The share of the room that it asks for, at a time.
    pub demand: fn(Time) -> f64,
    /// The prompt tokens of each tenth of the requests.
    pub tokens: [u64; 10],
    /// The events of a response.
    pub events: u32,
    /// The part of the requests that comes from the first of the teams; the others share the rest.
    pub first_team: f64,
    /// Whether they were sent so late that their goal has passed.
    pub late: bool,
}

impl Default for Kind {
    fn default() -> Self {
        Self {
            priority: 1,
            goal: ms(400),
            demand: |_| 0.9,
            tokens: [700; 10],
            events: 23,
            first_team: 1.0 / 24.0,
            late: false,
        }
    }
}

/// What became of a caller.
#[derive(Debug, Clone)]
pub struct Record {
    pub kind: usize,
    pub team: usize,
    pub tokens: u64,
    pub arrived: Time,
    /// When it was to return, each time that it was refused.
    pub refused: Vec<(Time, Duration, Reason)>,
    pub first_part: Option<Time>,
}

impl Record {
    pub fn is_served(&self) -> bool {
        self.first_part.is_some()
    }

    pub fn is_in_time(&self, kinds: &[Kind]) -> bool {
        let goal = kinds[self.kind].goal;
        self.first_part
            .is_some_and(|at| at.since(self.arrived) <= goal)
    }
}

#[derive(Debug)]
struct Job {
    caller: usize,
    entry: usize,
    urgency: u8,
    dispatch: Dispatch,
    first: Time,
    end: Time,
    started: bool,
}

#[derive(Debug, Default)]
struct Worker {
    queue: Vec<Job>,
    running: Vec<Job>,
    /// When the prompts that came before are read.
    read_until: Time,
}

/// Entries, workers and callers.
pub struct Fleet {
    kinds: Vec<Kind>,
    entries: Vec<Dispatcher>,
    workers: Vec<Worker>,
    records: Vec<Record>,
    /// Callers that return, at a time.
    returns: Vec<(Time, usize)>,
    /// Draws what callers do.
    callers: SmallRng,
    /// Draws what entries do.
    rng: SmallRng,
    forecast: Forecast,
    /// What an entry besides these reports of teams.
    pub reports: Vec<TeamWork>,
    /// The most requests that a worker had at a time.
    pub most_on_a_worker: usize,
}

impl Fleet {
    pub fn new(
        entries: usize,
        workers: usize,
        kinds: Vec<Kind>,
        options: Options,
        seed: u64,
    ) -> Self {
        let entry = || {
            let mut dispatcher = Dispatcher::new(options);
            dispatcher.refresh((0..workers).map(head));
            dispatcher
        };
        Self {
            kinds,
            entries: (0..entries).map(|_| entry()).collect(),
            workers: (0..workers).map(|_| Worker::default()).collect(),
            records: Vec::new(),
            returns: Vec::new(),
            callers: SmallRng::seed_from_u64(seed),
            rng: SmallRng::seed_from_u64(seed + 1),
            forecast: head(0).forecast.unwrap(),
            reports: Vec::new(),
            most_on_a_worker: 0,
        }
    }

    /// Tells the entries how many they are.
    pub fn set_entries(&mut self, count: usize) {
        for entry in &mut self.entries {
            entry.set_entries(count);
        }
    }

    /// Runs for some seconds and returns what became of all callers.
    pub fn run(&mut self, seconds: u64) -> Vec<Record> {
        for millis in 0..seconds * 1_000 {
            let now = Time::from_millis(millis);
            if millis % GOSSIP_MS == 0 {
                self.gossip(now);
            }
            self.arrive(now);
            self.return_callers(now);
            self.work(now);
        }
        self.records.clone()
    }

    /// Returns the requests a second that all workers can serve of a kind.
    fn room(&self, kind: &Kind) -> f64 {
        let slots = engine().slots;
        let round = self.forecast.round(slots).as_secs_f64();
        let occupied = OVERHEAD_MS / 1_000.0 + round * (0.5 + f64::from(kind.events));
        self.workers.len() as f64 * f64::from(slots) / occupied
    }

    fn gossip(&mut self, now: Time) {
        let told: Vec<_> = self
            .entries
            .iter()
            .map(|entry| (entry.loads(), entry.team_work(now)))
            .collect();
        for (i, entry) in self.entries.iter_mut().enumerate() {
            entry.record_team_work(now, "other", self.reports.clone());
            for (j, (loads, work)) in told.iter().enumerate().filter(|(j, _)| *j != i) {
                entry.record_peer_loads(now, &format!("e{j}"), loads.clone());
                entry.record_team_work(now, &format!("e{j}"), work.clone());
            }
        }
    }

    fn arrive(&mut self, now: Time) {
        for index in 0..self.kinds.len() {
            let kind = self.kinds[index].clone();
            let rate = self.room(&kind) * (kind.demand)(now) / 1_000.0;
            let mut left = rate;
            while self.callers.random::<f64>() < left {
                left -= 1.0;
                let is_first = self.callers.random::<f64>() < kind.first_team;
                let record = Record {
                    kind: index,
                    team: if is_first {
                        0
                    } else {
                        self.callers.random_range(1..24)
                    },
                    tokens: kind.tokens[self.callers.random_range(0..10)],
                    arrived: now,
                    refused: Vec::new(),
                    first_part: None,
                };
                self.records.push(record);
                self.ask(now, self.records.len() - 1);
            }
        }
    }

    fn return_callers(&mut self, now: Time) {
        let returns = std::mem::take(&mut self.returns);
        let (due, later) = returns.into_iter().partition(|(at, _)| *at <= now);
        self.returns = later;
        let due: Vec<(Time, usize)> = due;
        for (_, caller) in due {
            self.ask(now, caller);
        }
    }

    fn ask(&mut self, now: Time, caller: usize) {
        let record = &mut self.records[caller];
        let kind = &self.kinds[record.kind];
        let service: pool::Service = "llm".parse().unwrap();
        let model: model::Name = "large".parse().unwrap();
        let zone: zone::Name = "a".parse().unwrap();
        let domains: BTreeSet<domain::Name> = ["d0".parse().unwrap()].into();
        let team: team::Name = format!("team{}", record.team).parse().unwrap();
        let criteria = Criteria {
            service: &service,
            model: Some(&model),
            zone: &zone,
            domains: &domains,
            exclude: &[],
            goal: kind.goal,
            remaining: DEADLINE.saturating_sub(now.since(record.arrived)),
            late: kind.late,
            tokens: record.tokens,
            priority: kind.priority,
            caller: Caller {
                team: Some(&team),
                waited: Duration::ZERO,
                timeout: DEADLINE,
            },
        };
        let entry = self.callers.random_range(0..self.entries.len());
        match self.entries[entry].choose(now, &criteria, &mut self.rng) {
            Ok(dispatch) => {
                let name = dispatch.target.instance.to_string();
                let index: usize = name.trim_start_matches('h').parse().unwrap();
                let urgency = if kind.late { 9 } else { kind.priority };
                let worker = &mut self.workers[index];
                worker.queue.push(Job {
                    caller,
                    entry,
                    urgency,
                    dispatch,
                    first: now,
                    end: now,
                    started: false,
                });
                let jobs = worker.queue.len() + worker.running.len();
                self.most_on_a_worker = self.most_on_a_worker.max(jobs);
            }
            Err(refusal) => {
                let after = refusal.retry_after;
                record.refused.push((now, after, refusal.reason));
                if record.refused.len() == 1 {
                    let longest = criteria.remaining / 3;
                    self.returns.push((now + after.min(longest), caller));
                }
            }
        }
    }

    fn work(&mut self, now: Time) {
        let (slots, forecast) = (engine().slots as usize, self.forecast);
        for worker in &mut self.workers {
            let expired =
                |job: &Job, records: &[Record]| now.since(records[job.caller].arrived) >= DEADLINE;
            let mut ended = Vec::new();
            ended.extend(
                worker
                    .queue
                    .extract_if(.., |job| expired(job, &self.records)),
            );
            ended.extend(
                worker
                    .running
                    .extract_if(.., |job| job.end <= now || expired(job, &self.records)),
            );
            while worker.running.len() < slots
                && let Some(index) =
                    (0..worker.queue.len()).min_by_key(|i| worker.queue[*i].urgency)
            {
                let mut job = worker.queue.remove(index);
                let round = forecast
                    .round(worker.running.len() as u32 + 1)
                    .as_secs_f64();
                let chunks = job.dispatch.tokens as f64 / 2_048.0;
                worker.read_until =
                    worker.read_until.max(now) + Duration::from_secs_f64(chunks * round);
                let rest = Duration::from_secs_f64(OVERHEAD_MS / 1_000.0 + round * 0.5);
                job.first = worker.read_until + rest;
                let events = self.kinds[self.records[job.caller].kind].events;
                job.end = job.first + Duration::from_secs_f64(round * f64::from(events));
                worker.running.push(job);
            }
            for job in worker
                .running
                .iter_mut()
                .filter(|job| !job.started && job.first <= now)
            {
                job.started = true;
                self.records[job.caller].first_part = Some(now);
                self.entries[job.entry].record_started(&job.dispatch);
                self.entries[job.entry].record_first_part(now, &job.dispatch);
            }
            for job in ended {
                let outcome = if job.end <= now && job.started {
                    Outcome::Complete
                } else {
                    Outcome::Cancelled
                };
                let entry = &mut self.entries[job.entry];
                entry.record_outcome(now, &job.dispatch, outcome, job.started);
            }
        }
    }
}

/// Returns the options with admission under overload.
pub fn on() -> Options {
    Options {
        overload: Some(overload::Options::default()),
        ..Options::default()
    }
}
