//! The workers that take requests, and the choice among them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_types::{Time, group, instance, model, pool, zone};
use rand::Rng;

use crate::allowance::Allowance;
use crate::estimate::Estimate;

/// Bounds of dispatching.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// How much more loaded a worker of this zone may be than one of another, in parts of its slots.
    pub home_bonus: f64,
    /// How long the counts of another entry hold without news.
    pub peer_memory: Duration,
    /// The service time of a request before any has ended.
    pub first_time: Duration,
    /// The longest wait for a slot, in parts of the request's goal, before it is refused.
    pub wait_share: f64,
    /// The shortest time after which a refused caller is told to come back.
    pub least_wait: Duration,
    /// How long a worker that failed a request is chosen only if there is no other.
    pub penalty: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            home_bonus: 0.1,
            peer_memory: Duration::from_secs(1),
            first_time: Duration::from_millis(600),
            wait_share: 0.8,
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
    /// Requests that it runs at once.
    pub slots: u32,
    /// Until when it is cold, and what it bears in a second until then.
    pub cold: Option<(Time, f64)>,
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
    /// Workers that the request was sent to before.
    pub avoid: &'a [instance::Id],
    /// The time within which an answer should begin.
    pub goal: Duration,
    /// The time left until the deadline.
    pub left: Duration,
    /// The urgency, from 0 to 1; more urgent requests may wait longer for a slot.
    pub urgency: f64,
    /// The entries that share what is divided.
    pub entries: usize,
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
}

/// What is known of one worker's load.
#[derive(Debug)]
struct Slot {
    target: Target,
    running: u32,
    allowance: Allowance,
    failed: Option<Time>,
}

type Place = (instance::Id, group::Fence);

/// The workers that take requests, and the choice among them.
#[derive(Debug)]
pub struct Dispatcher {
    options: Options,
    slots: BTreeMap<Place, Slot>,
    peers: BTreeMap<String, (Time, BTreeMap<Place, u32>)>,
    times: BTreeMap<(pool::Service, Option<model::Name>), Estimate>,
}

impl Dispatcher {
    /// A dispatcher that knows no worker.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            slots: BTreeMap::new(),
            peers: BTreeMap::new(),
            times: BTreeMap::new(),
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
                    running: 0,
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
        let mut best: Option<(f64, Place)> = None;
        let mut refusal = Reason::NoWorker;
        let peers = self.peer_counts(now);
        let limit = self.limit(want);
        let penalty = self.options.penalty;
        for (place, slot) in &mut self.slots {
            let target = &slot.target;
            let fits = target.service == *want.service && target.model.as_ref() == want.model;
            if !fits || want.avoid.contains(&target.instance) {
                continue;
            }
            let running = slot.running + peers.get(place).copied().unwrap_or(0);
            let load = f64::from(running) / f64::from(target.slots.max(1));
            if load >= limit {
                refusal = Reason::Overloaded;
                continue;
            }
            if let Some((until, per_second)) = target.cold
                && now < until
                && !slot.allowance.allows(now, per_second, want.entries)
            {
                refusal = worse(refusal, Reason::Cold);
                continue;
            }
            let away = if target.zone == *want.zone {
                0.0
            } else {
                self.options.home_bonus
            };
            let failed = slot.failed.is_some_and(|at| now.since(at) < penalty);
            let fault = if failed { limit } else { 0.0 };
            let cost = load + away + fault + rng.random::<f64>() / f64::from(target.slots.max(1));
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, place.clone()));
            }
        }
        let Some((_, place)) = best else {
            return Err(self.refusal(want, refusal));
        };
        let running = peers.get(&place).copied().unwrap_or(0);
        match self.slots.get_mut(&place) {
            Some(slot) => {
                let running = running + slot.running;
                slot.running += 1;
                slot.allowance.spend(now);
                Ok(Sent {
                    target: slot.target.clone(),
                    at: now,
                    running,
                })
            }
            None => Err(self.refusal(want, refusal)),
        }
    }

    /// Takes note of how a request ended.
    pub fn ended(&mut self, now: Time, sent: &Sent, end: End) {
        let target = &sent.target;
        if end == End::Whole {
            let kind = (target.service.clone(), target.model.clone());
            let first = Estimate::starting_at(self.options.first_time);
            self.times
                .entry(kind)
                .or_insert(first)
                .add(now.since(sent.at));
        }
        let place = (target.instance.clone(), target.fence);
        let slot = self.slots.get_mut(&place);
        let same = slot.filter(|s| s.target.incarnation == target.incarnation);
        if let Some(slot) = same {
            slot.running = slot.running.saturating_sub(1);
            match end {
                End::Failed | End::Shed => slot.failed = Some(now),
                End::Whole => slot.failed = None,
                End::Cancelled => {}
            }
        }
    }

    /// Takes note of the requests that another entry has in progress.
    pub fn note_peer(&mut self, now: Time, peer: &str, loads: impl IntoIterator<Item = Load>) {
        let counts = loads
            .into_iter()
            .map(|l| ((l.instance, l.fence), l.running));
        self.peers.insert(peer.to_string(), (now, counts.collect()));
    }

    /// The requests of this entry in progress, for other entries.
    pub fn loads(&self) -> Vec<Load> {
        let busy = self.slots.iter().filter(|(_, slot)| slot.running > 0);
        busy.map(|((instance, fence), slot)| Load {
            instance: instance.clone(),
            fence: *fence,
            running: slot.running,
        })
        .collect()
    }

    /// The workers that take requests at present.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.slots.values().map(|slot| &slot.target)
    }

    /// The load up to which a worker gets more requests, in parts of its slots.
    ///
    /// Beyond its slots a worker queues; what it queues may take a part of the
    /// goal of the request, the more urgent the greater.
    fn limit(&self, want: &Want<'_>) -> f64 {
        let service_time = self.time(want).as_secs_f64().max(0.001);
        let patience = want.goal.min(want.left).as_secs_f64() * self.options.wait_share;
        1.0 + patience * (0.5 + 0.5 * want.urgency) / service_time
    }

    fn time(&self, want: &Want<'_>) -> Duration {
        let kind = (want.service.clone(), want.model.cloned());
        let known = self.times.get(&kind);
        known.map_or(self.options.first_time, Estimate::mean)
    }

    fn refusal(&self, want: &Want<'_>, reason: Reason) -> Refusal {
        let wait = match reason {
            Reason::NoWorker => self.options.least_wait * 2,
            Reason::Overloaded => self.time(want) / 2,
            Reason::Cold => Duration::from_millis(500),
        };
        Refusal {
            reason,
            retry_after: wait.max(self.options.least_wait),
        }
    }

    fn peer_counts(&self, now: Time) -> BTreeMap<Place, u32> {
        let memory = self.options.peer_memory;
        let mut sums = BTreeMap::new();
        let fresh = self
            .peers
            .values()
            .filter(|(at, _)| now.since(*at) < memory);
        for (place, running) in fresh.flat_map(|(_, counts)| counts) {
            *sums.entry(place.clone()).or_default() += running;
        }
        sums
    }
}

/// The refusal that says more.
fn worse(one: Reason, other: Reason) -> Reason {
    match (one, other) {
        (Reason::NoWorker, other) => other,
        (one, _) => one,
    }
}
