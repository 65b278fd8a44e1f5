//! No entry still holds its lease after another entry has removed the lease row.
//!
//! The clock of each entry runs at a different rate, requests to the table service
//! and its responses are delayed or lost, and entries pause between checking
//! their lease and acting on it.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::Duration;

use cyclamen_lease::{Holder, Observer, Options, Renewal};
use cyclamen_types::Time;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const ENTRIES: usize = 3;
/// Maximum deviation of a clock's rate, in percent.
const DRIFT_PERCENT: u64 = 5;

#[derive(Debug, Clone)]
enum Event {
    Advance(u64),
    Renew(usize),
    DeliverRequest(usize),
    DeliverResponse(usize),
    DropResponse(usize),
    Read(usize, usize),
    DeliverRead(usize),
    Remove(usize, usize),
}

#[derive(Debug, Clone)]
struct ClockRates(Vec<u64>);

impl ReferenceStateMachine for ClockRates {
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
            6 => (100..3_000_u64).prop_map(Event::Advance),
            5 => entry.clone().prop_map(Event::Renew),
            6 => pick.clone().prop_map(Event::DeliverRequest),
            6 => pick.clone().prop_map(Event::DeliverResponse),
            1 => pick.clone().prop_map(Event::DropResponse),
            4 => (entry.clone(), entry.clone()).prop_map(|(a, b)| Event::Read(a, b)),
            4 => pick.prop_map(Event::DeliverRead),
            4 => (entry.clone(), entry).prop_map(|(a, b)| Event::Remove(a, b)),
        ]
        .boxed()
    }

    fn apply(state: Self, _: &Event) -> Self {
        state
    }
}

/// A renewal in flight to the table service, or its response in flight to the entry.
#[derive(Debug, Clone)]
struct Call {
    entry: usize,
    renewal: Renewal,
    expected: u64,
    written: Option<u64>,
}

#[derive(Debug)]
struct Simulation {
    millis: u64,
    rates: Vec<u64>,
    holders: Vec<Holder>,
    known_revisions: Vec<u64>,
    observers: Vec<Observer<usize, u64>>,
    /// The revision of each lease row, kept when the row is removed.
    rows: Vec<u64>,
    removed: Vec<bool>,
    revision: u64,
    requests: Vec<Call>,
    responses: Vec<Call>,
    /// Reads in flight: the observer, the entry whose lease was read, and its revision.
    reads: Vec<(usize, usize, u64)>,
}

impl Simulation {
    fn clock(&self, entry: usize) -> Time {
        Time::from_millis(self.millis * self.rates[entry] / 100)
    }
}

struct Exclusion;

impl StateMachineTest for Exclusion {
    type SystemUnderTest = Simulation;
    type Reference = ClockRates;

    fn init_test(rates: &ClockRates) -> Simulation {
        let options = Options::default();
        Simulation {
            millis: 10_000,
            rates: rates.0.clone(),
            holders: (0..ENTRIES).map(|_| Holder::new(options)).collect(),
            known_revisions: vec![1; ENTRIES],
            observers: (0..ENTRIES).map(|_| Observer::new(options)).collect(),
            rows: vec![1; ENTRIES],
            removed: vec![false; ENTRIES],
            revision: 1,
            requests: Vec::new(),
            responses: Vec::new(),
            reads: Vec::new(),
        }
    }

    fn apply(mut sim: Simulation, _: &ClockRates, event: Event) -> Simulation {
        match event {
            Event::Advance(millis) => sim.millis += millis,
            Event::Renew(entry) => {
                let now = sim.clock(entry);
                if let Some(renewal) = sim.holders[entry].start_renewal(now) {
                    sim.requests.push(Call {
                        entry,
                        renewal,
                        expected: sim.known_revisions[entry],
                        written: None,
                    });
                }
            }
            Event::DeliverRequest(pick) if !sim.requests.is_empty() => {
                let at = pick % sim.requests.len();
                let mut call = sim.requests.remove(at);
                let row = sim.rows[call.entry];
                if row == call.expected && !sim.removed[call.entry] {
                    sim.revision += 1;
                    sim.rows[call.entry] = sim.revision;
                    call.written = Some(sim.revision);
                }
                sim.responses.push(call);
            }
            Event::DeliverResponse(pick) if !sim.responses.is_empty() => {
                let at = pick % sim.responses.len();
                let call = sim.responses.remove(at);
                match call.written {
                    Some(revision) => {
                        sim.known_revisions[call.entry] =
                            sim.known_revisions[call.entry].max(revision);
                        sim.holders[call.entry].record_renewal(call.renewal);
                    }
                    None if sim.removed[call.entry] => sim.holders[call.entry].record_loss(),
                    None => sim.known_revisions[call.entry] = sim.rows[call.entry],
                }
            }
            Event::DropResponse(pick) if !sim.responses.is_empty() => {
                let at = pick % sim.responses.len();
                sim.responses.remove(at);
            }
            Event::Read(observer, entry) => {
                sim.reads.push((observer, entry, sim.rows[entry]));
            }
            Event::DeliverRead(pick) if !sim.reads.is_empty() => {
                let at = pick % sim.reads.len();
                let (observer, entry, revision) = sim.reads.remove(at);
                let read_at = sim.clock(observer);
                sim.observers[observer].observe(read_at, &entry, revision);
            }
            Event::Remove(observer, entry) if observer != entry => {
                let now = sim.clock(observer);
                let expired = sim.observers[observer].expired(now, &entry);
                if expired == Some(sim.rows[entry]) {
                    sim.removed[entry] = true;
                }
            }
            _ => {}
        }
        sim
    }

    /// An entry holds no lease once its row is removed, since another entry may then take
    /// over its domains.
    fn check_invariants(sim: &Simulation, _: &ClockRates) {
        for entry in 0..ENTRIES {
            let is_held = sim.holders[entry].is_held(sim.clock(entry));
            assert!(
                !(is_held && sim.removed[entry]),
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
fn a_lease_is_measured_from_before_its_renewal_was_sent() {
    let options = Options::default();
    let mut holder = Holder::new(options);
    let sent = Time::from_millis(1_000);
    let renewal = holder.start_renewal(sent).unwrap();
    holder.record_renewal(renewal);
    assert!(holder.is_held(sent + options.lifetime - Duration::from_millis(1)));
    assert!(!holder.is_held(sent + options.lifetime));
}
