//! The workers that take requests, and the choice among them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_types::{Time, domain, group, instance, model, pool, zone};
use rand::Rng;

use crate::allowance::{Allowance, Share};
use crate::forecast::Forecast;

/// The cost of a worker that has just failed a request, in goals.
const FAULT_COST: f64 = 2.0;
/// The weight of chance between workers that cost the same, in goals.
const TIE_BREAK: f64 = 0.02;
/// A worker may queue one part in this many of what it runs at once.
const QUEUE_PART: u32 = 4;
/// When to come back to cold workers.
const COLD_WAIT: Duration = Duration::from_millis(500);

/// Bounds of dispatching.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// How much longer the wait on a worker of this zone may be than on one of another, in
    /// parts of the request's goal.
    pub zone_bonus: f64,
    /// The same for a worker of this entry's cell, against others of the zone.
    pub cell_bonus: f64,
    /// How long the counts of another entry hold without news.
    pub peer_memory: Duration,
    /// The time that a worker of a plain service takes for as many requests as it has slots.
    pub plain_time: Duration,
    /// The longest forecast wait for the first part of an answer, in parts of the request's
    /// goal, before it is refused.
    pub wait_share: f64,
    /// The time that an answer takes beside the forecast rounds of its engine.
    pub overhead: Duration,
    /// The shortest time after which a refused caller is told to come back.
    pub least_wait: Duration,
    /// How long a worker that failed a request is chosen only if there is no other.
    pub penalty: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            zone_bonus: 0.6,
            cell_bonus: 0.3,
            peer_memory: Duration::from_secs(1),
            plain_time: Duration::from_millis(25),
            wait_share: 1.0,
            overhead: Duration::from_millis(130),
            least_wait: Duration::from_millis(200),
            penalty: Duration::from_millis(1_000),
        }
    }
}

/// A worker that takes requests: the head of a replica group, or one of a plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// The worker.
    pub instance: instance::Id,
    /// Its start.
    pub incarnation: instance::Incarnation,
    /// The fencing number of its membership; zero for a plain service.
    pub fence: group::Fence,
    /// Its service.
    pub service: pool::Service,
    /// The model that it serves, if any.
    pub model: Option<model::Name>,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: zone::Name,
    /// Its fabric domain, if it has one.
    pub domain: Option<domain::Name>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Until when it is cold, and what it bears in a second until then.
    pub cold: Option<(Time, f64)>,
    /// How fast it works, if it runs a model.
    pub forecast: Option<Forecast>,
}

/// A request that looks for a worker.
#[derive(Debug, Clone)]
pub struct Want<'a> {
    /// The service.
    pub service: &'a pool::Service,
    /// The model, if the service runs models.
    pub model: Option<&'a model::Name>,
    /// The zone of this entry.
    pub zone: &'a zone::Name,
    /// The fabric domains of this entry's cell.
    pub domains: &'a BTreeSet<domain::Name>,
    /// Workers that the request was sent to before.
    pub avoid: &'a [instance::Id],
    /// The time within which an answer should begin.
    pub goal: Duration,
    /// The time left until the deadline.
    pub left: Duration,
    /// Whether the goal cannot be met any more, so that the request gives way to others.
    pub late: bool,
    /// Tokens of its prompt.
    pub tokens: u64,
    /// This entry's place among those that share what is divided.
    pub share: Share,
}

/// A request on its way to a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Sent {
    /// The worker.
    pub target: Target,
    /// When it was chosen.
    pub at: Time,
    /// Requests on it beside this one, of all entries.
    pub running: u32,
    /// Prompt tokens ahead of this one, of all entries.
    pub backlog: u64,
    /// Tokens of its own prompt.
    pub tokens: u64,
    /// The forecast wait for the first part of its answer.
    pub forecast: Duration,
}

/// How a request on a worker ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Its answer was whole.
    Whole,
    /// The worker did not run it for now.
    Shed,
    /// The worker failed it.
    Failed,
    /// The caller or its deadline ended it.
    Cancelled,
}

/// Why no worker takes a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// When to come back.
    pub retry_after: Duration,
    /// Workers that serve this and were not tried yet.
    pub workers: usize,
    /// The least forecast wait among those that are overloaded.
    pub least_wait: Option<Duration>,
}

/// The reason of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// No worker serves this.
    NoWorker,
    /// Every worker has as much as it can do in time.
    Overloaded,
    /// Every worker is cold and has what it bears.
    Cold,
}

impl Reason {
    /// The reason's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoWorker => "no_worker",
            Self::Overloaded => "overloaded",
            Self::Cold => "cold",
        }
    }
}

/// Requests in progress on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Load {
    /// The worker.
    pub instance: instance::Id,
    /// The fencing number of its membership; zero for a plain service.
    pub fence: group::Fence,
    /// Requests in progress.
    pub running: u32,
    /// Prompt tokens of those that have not begun to answer.
    pub backlog: u64,
}

/// Requests in progress on a worker, and the prompts among them that wait.
#[derive(Debug, Clone, Copy, Default)]
struct Work {
    running: u32,
    backlog: u64,
}

impl Work {
    fn plus(self, other: Self) -> Self {
        Self {
            running: self.running + other.running,
            backlog: self.backlog + other.backlog,
        }
    }
}

/// What is known of one worker's load.
#[derive(Debug)]
struct Slot {
    target: Target,
    work: Work,
    allowance: Allowance,
    failed: Option<Time>,
}

type Place = (instance::Id, group::Fence);

/// The workers that take requests, and the choice among them.
#[derive(Debug)]
pub struct Dispatcher {
    options: Options,
    slots: BTreeMap<Place, Slot>,
    peers: BTreeMap<String, (Time, BTreeMap<Place, Work>)>,
}

impl Dispatcher {
    /// A dispatcher that knows no worker.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            slots: BTreeMap::new(),
            peers: BTreeMap::new(),
        }
    }

    /// Takes note of the workers that take requests at present.
    pub fn refresh(&mut self, targets: impl IntoIterator<Item = Target>) {
        let mut before = std::mem::take(&mut self.slots);
        for target in targets {
            let place = (target.instance.clone(), target.fence);
            let known = before.remove(&place);
            let same = known.filter(|s| s.target.incarnation == target.incarnation);
            let slot = match same {
                Some(slot) => Slot { target, ..slot },
                None => Slot {
                    target,
                    work: Work::default(),
                    allowance: Allowance::default(),
                    failed: None,
                },
            };
            self.slots.insert(place, slot);
        }
    }

    /// Chooses a worker and counts the request on it.
    pub fn choose(
        &mut self,
        now: Time,
        want: &Want<'_>,
        rng: &mut impl Rng,
    ) -> Result<Sent, Refusal> {
        let peers = self.peer_work(now);
        let mut refused = Refused::default();
        let mut best: Option<(f64, Place, Work)> = None;
        for (place, slot) in &mut self.slots {
            if !slot.fits(want) {
                continue;
            }
            refused.workers += 1;
            let work = slot
                .work
                .plus(peers.get(place).copied().unwrap_or_default());
            let wait = slot.wait(work, &self.options);
            if !self.options.accepts(want, &slot.target, work, wait) {
                refused.overloaded(wait);
                continue;
            }
            if !slot.spares(now, want.share) {
                refused.cold = true;
                continue;
            }
            let cost = self.options.cost(now, want, slot, wait) + rng.random::<f64>() * TIE_BREAK;
            if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                best = Some((cost, place.clone(), work));
            }
        }
        let chosen = best.and_then(|(_, place, work)| Some((self.slots.get_mut(&place)?, work)));
        let Some((slot, work)) = chosen else {
            return Err(refused.refusal(want, &self.options));
        };
        let forecast = slot.wait(work, &self.options);
        slot.work.running += 1;
        slot.work.backlog += want.tokens;
        slot.allowance.spend(now);
        Ok(Sent {
            target: slot.target.clone(),
            at: now,
            running: work.running,
            backlog: work.backlog,
            tokens: want.tokens,
            forecast,
        })
    }

    /// Takes note that a request begins to be answered.
    pub fn started(&mut self, sent: &Sent) {
        if let Some(slot) = self.slot_of(sent) {
            slot.work.backlog = slot.work.backlog.saturating_sub(sent.tokens);
        }
    }

    /// Takes note of how a request ended; `started` tells whether it was being answered.
    pub fn ended(&mut self, now: Time, sent: &Sent, end: End, started: bool) {
        if !started {
            self.started(sent);
        }
        if let Some(slot) = self.slot_of(sent) {
            slot.work.running = slot.work.running.saturating_sub(1);
            match end {
                End::Failed | End::Shed => slot.failed = Some(now),
                End::Whole => slot.failed = None,
                End::Cancelled => {}
            }
        }
    }

    /// The slot of a worker, if it is still the start and membership that was chosen.
    fn slot_of(&mut self, sent: &Sent) -> Option<&mut Slot> {
        let target = &sent.target;
        let place = (target.instance.clone(), target.fence);
        let slot = self.slots.get_mut(&place);
        slot.filter(|s| s.target.incarnation == target.incarnation)
    }

    /// Takes note of the requests that another entry has in progress.
    pub fn note_peer(&mut self, now: Time, peer: &str, loads: impl IntoIterator<Item = Load>) {
        let work = loads.into_iter().map(|load| {
            let Load {
                running, backlog, ..
            } = load;
            ((load.instance, load.fence), Work { running, backlog })
        });
        self.peers.insert(peer.to_string(), (now, work.collect()));
    }

    /// The requests of this entry in progress, for other entries.
    pub fn loads(&self) -> Vec<Load> {
        let busy = self.slots.iter().filter(|(_, s)| s.work.running > 0);
        busy.map(|((instance, fence), slot)| Load {
            instance: instance.clone(),
            fence: *fence,
            running: slot.work.running,
            backlog: slot.work.backlog,
        })
        .collect()
    }

    /// The workers that take requests at present.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.slots.values().map(|slot| &slot.target)
    }

    fn peer_work(&self, now: Time) -> BTreeMap<Place, Work> {
        let memory = self.options.peer_memory;
        let mut sums: BTreeMap<Place, Work> = BTreeMap::new();
        let fresh = self
            .peers
            .values()
            .filter(|(at, _)| now.since(*at) < memory);
        for (place, work) in fresh.flat_map(|(_, places)| places) {
            let sum = sums.entry(place.clone()).or_default();
            *sum = sum.plus(*work);
        }
        sums
    }
}

impl Slot {
    fn fits(&self, want: &Want<'_>) -> bool {
        let target = &self.target;
        let serves = target.service == *want.service && target.model.as_ref() == want.model;
        serves && !want.avoid.contains(&target.instance)
    }

    /// The forecast wait for the first part of an answer.
    fn wait(&self, work: Work, options: &Options) -> Duration {
        match &self.target.forecast {
            Some(forecast) => {
                let running = work.running.min(self.target.slots);
                options.overhead + forecast.wait(work.backlog, running)
            }
            None => {
                let slots = f64::from(self.target.slots.max(1));
                options.plain_time.mul_f64(f64::from(work.running) / slots)
            }
        }
    }

    /// Whether a cold worker bears one more request.
    fn spares(&mut self, now: Time, share: Share) -> bool {
        match self.target.cold {
            Some((until, per_second)) if now < until => {
                let part = share.part(per_second as usize, self.turn());
                self.allowance.allows(now, part)
            }
            _ => true,
        }
    }

    /// A number that differs from worker to worker and is the same on every entry.
    fn turn(&self) -> usize {
        let bytes = self.target.instance.as_str().bytes();
        bytes.map(usize::from).sum()
    }
}

impl Options {
    /// Whether a worker may get the request.
    ///
    /// The size of the request itself does not count, so that large ones are
    /// not refused more often than small ones.
    fn accepts(&self, want: &Want<'_>, target: &Target, work: Work, wait: Duration) -> bool {
        let full = work.running >= target.slots + target.slots / QUEUE_PART;
        let patience = if want.late {
            want.left / 2
        } else {
            want.goal.mul_f64(self.wait_share).min(want.left)
        };
        !full && wait <= patience
    }

    /// What it costs to have a worker run the request; the least is best.
    fn cost(&self, now: Time, want: &Want<'_>, slot: &Slot, wait: Duration) -> f64 {
        let goal = want.goal.as_secs_f64().max(0.001);
        let target = &slot.target;
        let in_cell = target
            .domain
            .as_ref()
            .is_none_or(|d| want.domains.contains(d));
        let away = if target.zone != *want.zone {
            self.zone_bonus
        } else if in_cell {
            0.0
        } else {
            self.cell_bonus
        };
        let failed = slot.failed.is_some_and(|at| now.since(at) < self.penalty);
        let fault = if failed { FAULT_COST } else { 0.0 };
        wait.as_secs_f64() / goal + away + fault
    }
}

/// Why workers were passed over.
#[derive(Debug, Default)]
struct Refused {
    workers: usize,
    least_wait: Option<Duration>,
    cold: bool,
}

impl Refused {
    fn overloaded(&mut self, wait: Duration) {
        self.least_wait = Some(self.least_wait.map_or(wait, |least| least.min(wait)));
    }

    /// The refusal, which tells to come back when the least loaded worker has caught up.
    fn refusal(self, want: &Want<'_>, options: &Options) -> Refusal {
        let (reason, wait) = match (self.least_wait, self.cold) {
            (Some(wait), _) => (Reason::Overloaded, wait.saturating_sub(want.goal / 2)),
            (None, true) => (Reason::Cold, COLD_WAIT),
            (None, false) => (Reason::NoWorker, options.least_wait * 2),
        };
        Refusal {
            reason,
            workers: self.workers,
            least_wait: self.least_wait,
            retry_after: wait.max(options.least_wait),
        }
    }
}
