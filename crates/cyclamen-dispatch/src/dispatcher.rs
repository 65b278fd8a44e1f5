//! The choice among the workers that take requests.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_types::{Time, group, instance};
use rand::Rng;

use crate::limiter::{Allowance, Share};
use crate::options::Options;
use crate::request::{End, Load, Reason, Refusal, Sent, Target, Want};

/// The cost of a worker that has just failed a request, in goals.
const FAULT_COST: f64 = 2.0;
/// The weight of chance between workers that cost the same, in goals.
const TIE_BREAK: f64 = 0.02;
/// A worker may queue one part in this many of what it runs at once.
const QUEUE_PART: u32 = 4;
/// When to come back to cold workers.
const COLD_WAIT: Duration = Duration::from_millis(500);

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
            let theirs = peers.get(place).copied();
            let work = theirs.map_or(slot.work, |theirs| slot.work.plus(theirs));
            let wait = slot.wait(work, want.tokens, &self.options);
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
        let forecast = slot.wait(work, want.tokens, &self.options);
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
    fn wait(&self, work: Work, tokens: u64, options: &Options) -> Duration {
        match &self.target.forecast {
            Some(forecast) => {
                let running = work.running.min(self.target.slots);
                options.overhead + forecast.wait(work.backlog, tokens, running)
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
