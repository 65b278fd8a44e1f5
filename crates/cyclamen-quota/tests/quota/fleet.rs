//! A model of a fleet without a network: entries that join, leave, restart and lose gossip ask for
//! permits while the ownership of the worker's scope moves by leases.

use std::time::Duration;

use cyclamen_quota::{Ask, Decision, Issuer, Limits, Naming, PERMIT_LIFETIME, Report};
use cyclamen_types::Time;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::{FIRST, at, rate, worker};

/// The time between two steps, in milliseconds.
const STEP_MS: u64 = 10;
/// The lifetime of the owner's lease, in milliseconds.
const LEASE_MS: u64 = 3_000;
/// How long after the expiry of a lease another entry takes over, in milliseconds.
const MARGIN_MS: u64 = 500;
/// How long a new owner issues nothing, in milliseconds.
const TAKEOVER_DELAY_MS: u64 = 1_500;
/// The longest time that gossip is under way, in milliseconds.
const MAX_DELAY_MS: u64 = 1_000;

/// One entry.
#[derive(Default)]
struct Entry {
    limits: Limits,
    issuer: Issuer,
    issues_from: u64,
    is_running: bool,
    /// Whether it reaches the store.
    is_connected: bool,
    hold_until: u64,
}

/// The fleet, the worker and the store.
struct Fleet {
    entries: Vec<Entry>,
    rng: SmallRng,
    now: u64,
    limit: f64,
    owner: Option<usize>,
    renewed_at: u64,
    gossip: Vec<(u64, usize, Report)>,
    /// When requests with a permit reached the worker.
    arrivals: Vec<u64>,
    /// The share of messages that are lost.
    loss: f64,
}

/// What happens to the fleet.
#[derive(Debug, Clone)]
enum Event {
    Start(usize),
    Stop(usize),
    Kill(usize),
    CutFromStore(usize),
    Reconnect(usize),
    Wait(u64),
}

impl Fleet {
    fn new(entries: usize, limit: f64, loss: f64, seed: u64) -> Self {
        let running = |_| Entry {
            is_running: true,
            is_connected: true,
            ..Entry::default()
        };
        Self {
            entries: (0..entries).map(running).collect(),
            rng: SmallRng::seed_from_u64(seed),
            now: 10_000,
            limit,
            owner: None,
            renewed_at: 0,
            gossip: Vec::new(),
            arrivals: Vec::new(),
            loss,
        }
    }

    fn time(&self) -> Time {
        at(self.now)
    }

    fn apply(&mut self, event: &Event, demand: &[f64]) {
        let count = self.entries.len();
        match *event {
            Event::Start(entry) => {
                let entry = &mut self.entries[entry % count];
                if !entry.is_running {
                    *entry = Entry {
                        is_running: true,
                        is_connected: true,
                        ..Entry::default()
                    };
                }
            }
            Event::Stop(entry) => {
                let entry = entry % count;
                self.entries[entry] = Entry::default();
                if self.owner == Some(entry) {
                    // A graceful stop deletes the row.
                    self.owner = None;
                }
            }
            Event::Kill(entry) => self.entries[entry % count] = Entry::default(),
            Event::CutFromStore(entry) => self.entries[entry % count].is_connected = false,
            Event::Reconnect(entry) => self.entries[entry % count].is_connected = true,
            Event::Wait(millis) => {
                for _ in 0..millis / STEP_MS {
                    self.step(demand);
                }
            }
        }
    }

    fn step(&mut self, demand: &[f64]) {
        self.now += STEP_MS;
        self.move_ownership();
        self.deliver_gossip();
        for entry in 0..self.entries.len() {
            let demand = demand[entry % demand.len()];
            let wanted = demand * STEP_MS as f64 / 1_000.0;
            let whole = wanted.floor() + f64::from(self.rng.random_bool(wanted.fract()));
            for _ in 0..whole as usize {
                self.send(entry);
            }
        }
    }

    /// Renews the owner's lease, or lets another entry take over once it has expired.
    fn move_ownership(&mut self) {
        let is_live = |e: &Entry| e.is_running && e.is_connected;
        if let Some(owner) = self.owner
            && is_live(&self.entries[owner])
            && self.now - self.renewed_at < LEASE_MS
        {
            if self.now.is_multiple_of(1_000) {
                self.renewed_at = self.now;
            }
            return;
        }
        let is_expired = self.now - self.renewed_at >= LEASE_MS + MARGIN_MS;
        if self.owner.is_some() && !is_expired {
            return;
        }
        let candidates = self.entries.iter().enumerate().filter(|(_, e)| is_live(e));
        let candidates: Vec<usize> = candidates.map(|(index, _)| index).collect();
        if candidates.is_empty() {
            return;
        }
        let chosen = candidates[self.rng.random_range(0..candidates.len())];
        let delay = if self.owner.is_some() {
            TAKEOVER_DELAY_MS
        } else {
            0
        };
        self.entries[chosen].issuer = Issuer::default();
        self.entries[chosen].issues_from = self.now + delay;
        self.owner = Some(chosen);
        self.renewed_at = self.now;
    }

    fn issues(&self, entry: usize) -> bool {
        let is_held = self.now - self.renewed_at < LEASE_MS;
        self.owner == Some(entry) && is_held && self.now >= self.entries[entry].issues_from
    }

    /// Sends a request through an entry, if it gets a permit.
    fn send(&mut self, entry: usize) {
        let is_limited = self.entries[entry].limits.get(&worker(), FIRST).is_some();
        if !self.entries[entry].is_running || self.now < self.entries[entry].hold_until {
            return;
        }
        if is_limited && !self.ask(entry) {
            return;
        }
        let travels = if is_limited {
            let lifetime = PERMIT_LIFETIME.as_millis() as u64;
            self.rng.random_range(0..lifetime)
        } else {
            0
        };
        let arrives_at = self.now + travels;
        if is_limited {
            self.arrivals.push(arrives_at);
        }
        let now = self.time();
        let naming = Naming::Limit(rate(self.limit));
        let limits = &mut self.entries[entry].limits;
        limits.record_response(now, now, (&worker(), FIRST), naming);
        self.tell(entry);
    }

    /// Asks the owner for a permit.
    fn ask(&mut self, entry: usize) -> bool {
        let owner = (0..self.entries.len()).find(|owner| self.issues(*owner));
        let is_lost = entry != owner.unwrap_or(entry) && self.rng.random_bool(self.loss);
        let Some(owner) = owner.filter(|_| !is_lost) else {
            self.entries[entry].hold_until = self.now + 200;
            return false;
        };
        let ask = Ask {
            instance: worker(),
            incarnation: FIRST,
            rate: rate(self.limit),
            priority: 1,
        };
        let now = self.time();
        match self.entries[owner].issuer.issue(now, &ask) {
            // The answer may be lost as well.
            Decision::Issued => owner == entry || !self.rng.random_bool(self.loss),
            Decision::Denied(wait) => {
                let wait = wait.max(Duration::from_millis(5)).as_millis() as u64;
                self.entries[entry].hold_until = self.now + wait;
                false
            }
        }
    }

    /// Tells another entry what this one knows, after a while or never.
    fn tell(&mut self, entry: usize) {
        let to = self.rng.random_range(0..self.entries.len());
        if self.rng.random_bool(self.loss) {
            return;
        }
        let arrives_at = self.now + self.rng.random_range(0..MAX_DELAY_MS);
        let now = self.time();
        let reports = self.entries[entry].limits.to_gossip(now, 1, &mut self.rng);
        for report in reports {
            self.gossip.push((arrives_at, to, report));
        }
    }

    fn deliver_gossip(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.gossip)
            .into_iter()
            .partition(|(arrives_at, ..)| *arrives_at <= now);
        self.gossip = later;
        let due: Vec<(u64, usize, Report)> = due;
        for (_, to, report) in due {
            let time = self.time();
            self.entries[to].limits.record_report(time, &report);
        }
    }

    fn most_in_window(&mut self) -> usize {
        self.arrivals.sort_unstable();
        let times = &self.arrivals;
        let ends = times
            .iter()
            .map(|first| times.partition_point(|t| *t < first + 4_000));
        let counts = ends.enumerate().map(|(index, end)| end - index);
        counts.max().unwrap_or(0)
    }
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..8_usize).prop_map(Event::Start),
        (0..8_usize).prop_map(Event::Stop),
        (0..8_usize).prop_map(Event::Kill),
        (0..8_usize).prop_map(Event::CutFromStore),
        (0..8_usize).prop_map(Event::Reconnect),
        (0..6_000_u64).prop_map(Event::Wait),
        (0..3_000_u64).prop_map(Event::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Guards against entries whose requests, each within what it thinks is its part, add up to more
    /// than the limit (LIMIT).
    #[test]
    fn what_all_entries_send_stays_within_the_limit(
        events in prop::collection::vec(event(), 1..24),
        limit in prop_oneof![Just(0.4), Just(2.0), Just(7.4), Just(36.0)],
        demand in prop::collection::vec(0.0..60.0_f64, 1..8),
        loss in 0.0..0.6_f64,
        seed in any::<u64>(),
    ) {
        let mut fleet = Fleet::new(8, limit, loss, seed);
        for event in &events {
            fleet.apply(event, &demand);
        }
        let most = fleet.most_in_window();
        prop_assert!(most as f64 <= 6.0 * limit + 5.0, "{most} for {limit}");
    }
}

macro_rules! progress {
    ($($name:ident: $entries:literal, $limit:literal, $demand:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut fleet = Fleet::new($entries, $limit, 0.0, 7);
            let demand: Vec<f64> = $demand;
            fleet.apply(&Event::Wait(2_000), &demand);
            fleet.arrivals.clear();
            fleet.apply(&Event::Wait(60_000), &demand);
            let used = fleet.arrivals.len() as f64 / (60.0 * $limit);
            assert!(used >= 0.9, "{used} of the limit is used");
        }
    )*};
}

progress! {
    one_entry_with_all_the_demand_uses_the_limit: 6, 2.0, vec![40.0, 0.0, 0.0, 0.0, 0.0, 0.0];
    one_entry_of_hundreds_uses_a_fraction: 300, 0.4, [vec![20.0], vec![0.0; 299]].concat();
    equal_demand_uses_the_limit: 6, 7.4, vec![10.0];
    hundreds_with_little_demand_use_the_limit: 300, 5.0, vec![0.2];
    uneven_demand_uses_the_limit: 12, 20.0, vec![40.0, 1.0, 0.0];
}
