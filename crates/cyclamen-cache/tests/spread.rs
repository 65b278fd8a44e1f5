//! Accepted rows reach every entry, and no row reverts to an older revision.
//!
//! The table service is unavailable or returns stale data, deltas between entries
//! are delayed, reordered and duplicated, and entries restart.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::collections::BTreeMap;

use cyclamen_cache::{Cache, Delta, Key, Outcome, Revision, Row};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const ENTRIES: usize = 4;
const KEYS: usize = 3;

#[derive(Debug, Clone)]
enum Event {
    Commit(usize, bool),
    Read(usize),
    ReadStale(usize, usize),
    Send(usize, usize),
    Deliver(usize, bool),
    Restart(usize),
    Write(usize, usize),
}

#[derive(Debug, Clone)]
struct NoState;

impl ReferenceStateMachine for NoState {
    type State = Self;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Event> {
        let entry = 0..ENTRIES;
        prop_oneof![
            3 => (0..KEYS, any::<bool>()).prop_map(|(k, d)| Event::Commit(k, d)),
            2 => entry.clone().prop_map(Event::Read),
            2 => (entry.clone(), 0..64_usize).prop_map(|(e, n)| Event::ReadStale(e, n)),
            4 => (entry.clone(), entry.clone()).prop_map(|(a, b)| Event::Send(a, b)),
            4 => (0..64_usize, any::<bool>()).prop_map(|(n, k)| Event::Deliver(n, k)),
            1 => entry.clone().prop_map(Event::Restart),
            1 => (entry, 0..KEYS).prop_map(|(e, k)| Event::Write(e, k)),
        ]
        .boxed()
    }

    fn apply(state: Self, _: &Event) -> Self {
        state
    }
}

/// The table service with its full history.
#[derive(Debug, Default)]
struct Store {
    writes: Vec<Row>,
}

impl Store {
    fn commit(&mut self, key: usize, delete: bool) -> Row {
        let revision = self.writes.len() as u64 + 1;
        let row = Row {
            key: key_of(key),
            revision: Revision::from(revision),
            value: (!delete).then(|| revision.to_string().into()),
        };
        self.writes.push(row.clone());
        row
    }

    /// Returns the changes after `since`, as the service had them at `as_of`.
    fn changes(&self, since: Revision, as_of: Revision) -> Delta {
        let known = self.writes.iter().take(as_of.version as usize);
        let latest: BTreeMap<_, _> = known.map(|row| (row.key.clone(), row.clone())).collect();
        Delta {
            since,
            as_of,
            rows: latest
                .into_values()
                .filter(|row| row.revision > since)
                .collect(),
        }
    }

    fn newest(&self) -> Revision {
        Revision::from(self.writes.len() as u64)
    }
}

#[derive(Debug, Default)]
struct Simulation {
    store: Store,
    caches: Vec<Cache>,
    /// The last revision of each key in each cache.
    seen: Vec<BTreeMap<Key, Revision>>,
    /// Deltas in flight, each with the entry that it is sent to.
    in_flight: Vec<(usize, Delta)>,
}

struct Spread;

impl Simulation {
    fn merge(&mut self, entry: usize, delta: Delta) {
        let since = delta.since;
        let before = self.caches[entry].as_of();
        let outcome = self.caches[entry].merge(delta);
        if outcome == Outcome::Gap {
            assert!(
                since > before,
                "gap reported for a delta that starts within the cache"
            );
        }
    }
}

impl StateMachineTest for Spread {
    type SystemUnderTest = Simulation;
    type Reference = NoState;

    fn init_test(_: &NoState) -> Simulation {
        Simulation {
            caches: vec![Cache::default(); ENTRIES],
            seen: vec![BTreeMap::new(); ENTRIES],
            ..Simulation::default()
        }
    }

    fn apply(mut sim: Simulation, _: &NoState, event: Event) -> Simulation {
        match event {
            Event::Commit(key, delete) => {
                sim.store.commit(key, delete);
            }
            Event::Read(entry) => {
                let newest = sim.store.newest();
                let delta = sim.store.changes(sim.caches[entry].as_of(), newest);
                sim.merge(entry, delta);
            }
            Event::ReadStale(entry, lag) => {
                let newest = sim.store.newest().version;
                let as_of = Revision::from(newest.saturating_sub(lag as u64));
                let delta = sim.store.changes(sim.caches[entry].as_of(), as_of);
                sim.merge(entry, delta);
            }
            Event::Send(from, to) => {
                let since = sim.caches[to].as_of();
                sim.in_flight
                    .push((to, sim.caches[from].changes_since(since)));
            }
            Event::Deliver(pick, duplicate) => {
                if !sim.in_flight.is_empty() {
                    let at = pick % sim.in_flight.len();
                    let (to, delta) = sim.in_flight[at].clone();
                    if !duplicate {
                        sim.in_flight.remove(at);
                    }
                    sim.merge(to, delta);
                }
            }
            Event::Restart(entry) => {
                sim.caches[entry] = Cache::default();
                sim.seen[entry] = BTreeMap::new();
            }
            Event::Write(entry, key) => {
                let row = sim.store.commit(key, false);
                sim.caches[entry].record_write(row);
            }
        }
        for (cache, seen) in sim.caches.iter().zip(&mut sim.seen) {
            check(cache, seen, &sim.store);
        }
        sim
    }

    /// Without the table service, deltas between entries alone bring every cache to the newest
    /// revision that any of them has.
    fn teardown(mut sim: Simulation, _: NoState) {
        let newest = sim.caches.iter().map(Cache::as_of).max().unwrap();
        for _ in 0..2 {
            for entry in 0..ENTRIES {
                let next = (entry + 1) % ENTRIES;
                let delta = sim.caches[entry].changes_since(sim.caches[next].as_of());
                sim.merge(next, delta);
            }
        }
        assert!(sim.caches.iter().all(|cache| cache.as_of() == newest));
    }
}

/// Checks that no row reverts and that the cache is complete up to its revision.
fn check(cache: &Cache, seen: &mut BTreeMap<Key, Revision>, store: &Store) {
    for key in (0..KEYS).map(key_of) {
        let revision = cache.row(&key).map(|row| row.revision).unwrap_or_default();
        let before = seen.insert(key.clone(), revision).unwrap_or_default();
        assert!(
            revision >= before,
            "{key} reverted from {before} to {revision}"
        );
        let expected = store.changes(Revision::from(0), cache.as_of());
        let expected = expected
            .rows
            .iter()
            .find(|row| row.key == key)
            .map(|row| row.revision);
        assert!(
            revision >= expected.unwrap_or_default(),
            "{key} is missing at {}",
            cache.as_of()
        );
    }
}

fn key_of(key: usize) -> Key {
    Key::new("shared/", key)
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn rows_spread_and_never_revert(sequential 1..120 => Spread);
}

/// Writes and deletes many rows that live only for a short time.
fn churn(cache: &mut Cache, first_revision: u64, rows: u64) {
    for n in 0..rows {
        let revision = first_revision + 2 * n;
        let row = |revision, value: Option<&str>| Row {
            key: Key::new("shared/", format!("short-lived-{n}")),
            revision: Revision::from(revision),
            value: value.map(Into::into),
        };
        cache.record_write(row(revision, Some("{}")));
        cache.record_write(row(revision + 1, None));
    }
}

#[test]
fn deleted_rows_are_forgotten() {
    let mut cache = Cache::default();
    churn(&mut cache, 1, 10_000);
    assert!(cache.row_count() <= 2_048, "{}", cache.row_count());
}

#[test]
fn an_entry_that_lacks_a_forgotten_deletion_reads_the_store() {
    let mut cache = Cache::default();
    churn(&mut cache, 1, 10_000);
    let empty = Delta {
        since: Revision::from(0),
        as_of: Revision::from(20_001),
        rows: Vec::new(),
    };
    assert_eq!(cache.merge(empty), Outcome::Merged(Vec::new()));
    let mut behind = Cache::default();
    assert_eq!(
        behind.merge(cache.changes_since(Revision::from(5))),
        Outcome::Gap
    );
}

#[test]
fn an_old_version_of_a_forgotten_row_is_recognised() {
    let mut cache = Cache::default();
    churn(&mut cache, 1, 10_000);
    let row = |n: u64, revision| Row {
        key: Key::new("shared/", format!("short-lived-{n}")),
        revision: Revision::from(revision),
        value: Some("{}".into()),
    };
    assert!(cache.may_be_forgotten(&row(0, 1)));
    assert!(!cache.may_be_forgotten(&row(9_999, 19_999)));
    assert!(!cache.may_be_forgotten(&row(20_000, 30_000)));
}
