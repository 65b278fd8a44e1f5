//! When an entry asks the store about a table that other entries follow too.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::Duration;

use cyclamen_gateway::platform::poll::Options;
use cyclamen_gateway::platform::share::{Schedule, Situation, Step};
use cyclamen_types::Time;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The time that a response takes.
const RESPONSE: Duration = Duration::from_millis(10);
/// The interval between calls of an entry to others outside its cell, as in the default settings.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);
/// The number of others that an entry calls each time.
const PARTNERS: usize = 2;
/// The interval between calls of an entry within its cell, as in the default settings.
const CELL_INTERVAL: Duration = Duration::from_millis(60);
/// The number of entries of a cell; of two of them, the earlier one calls.
const CELL_ENTRIES: usize = 7;

fn options(freshness: u64) -> Options {
    Options {
        freshness: Duration::from_millis(freshness),
        max_hold: Duration::from_millis(4_000),
        timeout: Duration::from_millis(700),
    }
}

fn situation(age: u64, zone_entries: usize) -> Situation {
    Situation {
        age: Duration::from_millis(age),
        zone_entries,
        is_urgent: false,
        is_reachable: true,
    }
}

/// An entry that asks the store, and receives proofs of others, at random.
struct Follower {
    schedule: Schedule,
    options: Options,
    known_at: Time,
    is_reachable: bool,
    rng: SmallRng,
}

impl Follower {
    fn new(options: Options, seed: u64) -> Self {
        Self {
            schedule: Schedule::new(options),
            options,
            known_at: Time::default(),
            is_reachable: true,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Plays one step; returns the time after it and the greatest age until then.
    ///
    /// No two calls in a row are lost, and others prove an age of up to the freshness, or nothing.
    fn play(&mut self, now: Time, lost: f64, told: f64) -> (Time, Duration) {
        let situation = Situation {
            age: now.since(self.known_at),
            zone_entries: self.rng.random_range(1..40),
            is_urgent: self.rng.random_bool(0.1),
            is_reachable: self.is_reachable,
        };
        match self.schedule.step(now, situation, &mut self.rng) {
            Step::Wait(wait) | Step::AskOthers(wait) => {
                let end = now + wait;
                let oldest = end.since(self.known_at);
                if self.rng.random_bool(told) {
                    let age = self
                        .rng
                        .random_range(Duration::ZERO..self.options.freshness);
                    self.known_at = self.known_at.max(end - age);
                }
                (end, oldest)
            }
            Step::Ask(poll) => {
                let is_lost = self.is_reachable && self.rng.random_bool(lost);
                self.is_reachable = !is_lost;
                let end = now
                    + if is_lost {
                        poll.timeout
                    } else {
                        poll.hold + RESPONSE
                    };
                let oldest = end.since(self.known_at);
                if !is_lost {
                    self.known_at = poll.complete_at(now, end, false);
                }
                (end, oldest)
            }
        }
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against relying on others: whatever they tell, and if a call of this entry is lost,
    /// what it knows is never older than a change may remain unknown.
    #[test]
    fn knowledge_is_never_older_than_the_bound(
        freshness in 1_200_u64..8_000,
        lost in 0.0..1.0_f64,
        told in 0.0..1.0_f64,
        seed in any::<u64>(),
    ) {
        let options = options(freshness);
        let mut follower = Follower::new(options, seed);
        let mut now = Time::default();
        for _ in 0..500 {
            let (end, oldest) = follower.play(now, lost, told);
            prop_assert!(oldest < options.freshness, "{oldest:?} at {end}");
            now = end;
        }
    }
}

/// Entries in three zones that follow a table without changes; returns the calls to the store in
/// each second.
fn calls_per_second(entries: usize, seed: u64) -> f64 {
    const ZONES: usize = 3;
    const WARM_UP: u64 = 10_000;
    const DURATION: u64 = 40_000;
    const TICK: u64 = 10;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut schedules = vec![Schedule::new(options(2_000)); entries];
    let mut known_at = vec![Time::default(); entries];
    let mut busy_until = vec![Time::default(); entries];
    let mut ends: Vec<Option<Time>> = vec![None; entries];
    let ticks = |interval: Duration| u64::try_from(interval.as_millis()).unwrap() / TICK;
    let (gossip, cell) = (ticks(GOSSIP_INTERVAL), ticks(CELL_INTERVAL));
    let offsets: Vec<u64> = (0..entries).map(|_| rng.random_range(0..gossip)).collect();
    let mut calls = 0;
    for tick in 0..DURATION / TICK {
        let now = Time::from_millis(tick * TICK);
        for entry in 0..entries {
            if now >= busy_until[entry] {
                if let Some(complete_at) = ends[entry].take() {
                    known_at[entry] = known_at[entry].max(complete_at);
                }
                let situation = Situation {
                    age: now.since(known_at[entry]),
                    ..situation(0, entries / ZONES)
                };
                match schedules[entry].step(now, situation, &mut rng) {
                    Step::Wait(wait) => busy_until[entry] = now + wait,
                    Step::AskOthers(wait) => {
                        busy_until[entry] = now + wait;
                        for _ in 0..PARTNERS {
                            let partner = rng.random_range(0..entries / ZONES) * ZONES;
                            let partner = partner + entry % ZONES;
                            known_at[entry] = known_at[entry].max(known_at[partner]);
                        }
                    }
                    Step::Ask(poll) => {
                        calls += u64::from(now >= Time::from_millis(WARM_UP));
                        busy_until[entry] = now + poll.hold + RESPONSE;
                        ends[entry] = Some(now + poll.hold);
                    }
                }
            }
            let mut partners = Vec::new();
            if (tick + offsets[entry]).is_multiple_of(gossip) {
                partners.extend((0..PARTNERS).map(|_| rng.random_range(0..entries)));
            }
            let cell_end = (entry / CELL_ENTRIES + 1) * CELL_ENTRIES;
            let later = entry + 1..cell_end.min(entries);
            if (tick + offsets[entry]).is_multiple_of(cell) && !later.is_empty() {
                partners.extend((0..PARTNERS).map(|_| rng.random_range(later.clone())));
            }
            for partner in partners {
                known_at[entry] = known_at[entry].max(known_at[partner]);
            }
        }
    }
    calls as f64 * 1_000.0 / (DURATION - WARM_UP) as f64
}

/// Guards against polls by all when nothing changes: seven times the entries make less than four
/// times the calls, and each fewer than one that follows alone.
#[test]
fn calls_without_changes_grow_slower_than_the_entries() {
    let (few, many) = (calls_per_second(12, 1), calls_per_second(84, 1));
    assert!(many < 4.0 * few, "{few} and {many} calls a second");
    let alone = 1.0 / 1.3;
    assert!(many < 84.0 * alone / 2.0, "{many} calls a second");
}

macro_rules! decisions {
    ($($name:ident: $situation:expr => $step:pat,)*) => {
        $(
            #[test]
            fn $name() {
                let mut rng = SmallRng::seed_from_u64(1);
                let mut schedule = Schedule::new(options(2_000));
                // The first term in which the entry holds no polls.
                let mut now = Time::default();
                while schedule.holds() {
                    now = now + Duration::from_secs(10);
                    schedule.step(now, situation(0, 100), &mut rng);
                }
                let step = schedule.step(now, $situation, &mut rng);
                assert!(matches!(step, $step), "{step:?}");
            }
        )*
    };
}

decisions! {
    waits_while_others_prove_what_it_knows: situation(300, 100) => Step::Wait(_),
    asks_others_first: situation(600, 100) => Step::AskOthers(_),
    asks_when_knowledge_becomes_old: situation(1_000, 100) => Step::Ask(_),
    asks_at_once_when_changes_are_urgent:
        Situation { is_urgent: true, ..situation(0, 100) } => Step::Ask(_),
    does_not_repeat_a_lost_call_while_others_prove:
        Situation { is_reachable: false, ..situation(300, 100) } => Step::Wait(_),
    repeats_a_lost_call_when_knowledge_becomes_old:
        Situation { is_reachable: false, ..situation(1_000, 100) } => Step::Ask(_),
}

#[test]
fn the_only_entries_of_a_zone_hold_polls() {
    let mut rng = SmallRng::seed_from_u64(1);
    for zone_entries in 0..=1 {
        let mut schedule = Schedule::new(options(2_000));
        let step = schedule.step(Time::default(), situation(0, zone_entries), &mut rng);
        assert!(
            matches!(step, Step::Ask(poll) if !poll.hold.is_zero()),
            "{step:?}"
        );
    }
}
