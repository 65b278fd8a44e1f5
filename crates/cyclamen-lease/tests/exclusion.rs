//! Two starts of entries never both hold what they want, whatever their clocks.
//!
//! Each entry has a clock of its own rate; calls to the table service are late
//! on the way there and on the way back; entries freeze between looking at
//! their lease and acting on it.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::Duration;

use cyclamen_lease::{Holder, Observer, Options, Renewal};
use cyclamen_types::Time;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const ENTRIES: usize = 3;
/// Clocks differ by up to this many percent in rate.
const DRIFT_PERCENT: u64 = 5;

#[derive(Debug, Clone)]
enum Event {
    Pass(u64),
    Renew(usize),
    Arrive(usize),
    Answer(usize),
    Lose(usize),
    Watch(usize, usize),
    SeeLate(usize),
    Remove(usize, usize),
}

#[derive(Debug, Clone)]
struct Rates(Vec<u64>);

impl ReferenceStateMachine for Rates {
    type State = Self;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<Self> {
        let rate = 100 - DRIFT_PERCENT..=100 + DRIFT_PERCENT;
        prop::collection::vec(rate, ENTRIES).prop_map(Self).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Event> {
        let entry = 0..ENTRIES;
        let pick = 0..32_usize;
        prop_oneof![
            6 => (100..3_000_u64).prop_map(Event::Pass),
            5 => entry.clone().prop_map(Event::Renew),
            6 => pick.clone().prop_map(Event::Arrive),
            6 => pick.clone().prop_map(Event::Answer),
            1 => pick.clone().prop_map(Event::Lose),
            4 => (entry.clone(), entry.clone()).prop_map(|(a, b)| Event::Watch(a, b)),
            4 => pick.prop_map(Event::SeeLate),
            4 => (entry.clone(), entry).prop_map(|(a, b)| Event::Remove(a, b)),
        ]
        .boxed()
    }

    fn apply(state: Self, _: &Event) -> Self {
        state
    }
}

/// A renewal on its way to the table service, or its answer on the way back.
#[derive(Debug, Clone)]
struct Call {
    entry: usize,
    renewal: Renewal,
    expected: u64,
    written: Option<u64>,
}

#[derive(Debug)]
struct World {
    millis: u64,
    rates: Vec<u64>,
    holders: Vec<Holder>,
    known: Vec<u64>,
    observers: Vec<Observer<usize>>,
    /// The revision of each lease row; zero once it is removed.
    rows: Vec<u64>,
    removed: Vec<bool>,
    revision: u64,
    going: Vec<Call>,
    coming: Vec<Call>,
    sights: Vec<(usize, usize, u64)>,
}

impl World {
    fn clock(&self, entry: usize) -> Time {
        Time::from_millis(self.millis * self.rates[entry] / 100)
    }
}

struct Exclusion;

impl StateMachineTest for Exclusion {
    type SystemUnderTest = World;
    type Reference = Rates;

    fn init_test(rates: &Rates) -> World {
        let options = Options::default();
        World {
            millis: 10_000,
            rates: rates.0.clone(),
            holders: (0..ENTRIES).map(|_| Holder::new(options)).collect(),
            known: vec![1; ENTRIES],
            observers: (0..ENTRIES).map(|_| Observer::new(options)).collect(),
            rows: vec![1; ENTRIES],
            removed: vec![false; ENTRIES],
            revision: 1,
            going: Vec::new(),
            coming: Vec::new(),
            sights: Vec::new(),
        }
    }

    fn apply(mut world: World, _: &Rates, event: Event) -> World {
        match event {
            Event::Pass(millis) => world.millis += millis,
            Event::Renew(entry) => {
                let now = world.clock(entry);
                if let Some(renewal) = world.holders[entry].renew(now) {
                    world.going.push(Call {
                        entry,
                        renewal,
                        expected: world.known[entry],
                        written: None,
                    });
                }
            }
            Event::Arrive(pick) if !world.going.is_empty() => {
                let at = pick % world.going.len();
                let mut call = world.going.remove(at);
                let row = world.rows[call.entry];
                if row == call.expected && !world.removed[call.entry] {
                    world.revision += 1;
                    world.rows[call.entry] = world.revision;
                    call.written = Some(world.revision);
                }
                world.coming.push(call);
            }
            Event::Answer(pick) if !world.coming.is_empty() => {
                let at = pick % world.coming.len();
                let call = world.coming.remove(at);
                match call.written {
                    Some(revision) => {
                        world.known[call.entry] = world.known[call.entry].max(revision);
                        world.holders[call.entry].renewed(call.renewal);
                    }
                    None if world.removed[call.entry] => world.holders[call.entry].lost(),
                    None => world.known[call.entry] = world.rows[call.entry],
                }
            }
            Event::Lose(pick) if !world.coming.is_empty() => {
                let at = pick % world.coming.len();
                world.coming.remove(at);
            }
            Event::Watch(observer, entry) => {
                world.sights.push((observer, entry, world.rows[entry]));
            }
            Event::SeeLate(pick) if !world.sights.is_empty() => {
                let at = pick % world.sights.len();
                let (observer, entry, revision) = world.sights.remove(at);
                let read = world.clock(observer);
                world.observers[observer].observe(read, &entry, revision);
            }
            Event::Remove(observer, entry) if observer != entry => {
                let now = world.clock(observer);
                let expired = world.observers[observer].expired(now, &entry);
                if expired == Some(world.rows[entry]) {
                    world.removed[entry] = true;
                }
            }
            _ => {}
        }
        world
    }

    /// An entry whose row was removed, so that another may take its domains, holds no lease.
    fn check_invariants(world: &World, _: &Rates) {
        for entry in 0..ENTRIES {
            let holds = world.holders[entry].holds(world.clock(entry));
            assert!(
                !(holds && world.removed[entry]),
                "entry {entry} holds a removed lease"
            );
        }
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 3_000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn a_removed_lease_is_not_held(sequential 1..150 => Exclusion);
}

#[test]
fn a_lease_lasts_from_before_its_renewal_was_sent() {
    let options = Options::default();
    let mut holder = Holder::new(options);
    let sent = Time::from_millis(1_000);
    let renewal = holder.renew(sent).unwrap();
    holder.renewed(renewal);
    assert!(holder.holds(sent + options.lifetime - Duration::from_millis(1)));
    assert!(!holder.holds(sent + options.lifetime));
}
