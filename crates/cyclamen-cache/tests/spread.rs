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
            revision: Revision(revision),
            value: (!delete).then(|| revision.to_string().into()),
        };
        self.writes.push(row.clone());
        row
    }

    /// Returns the changes after `since`, as the service had them at `as_of`.
    fn changes(&self, since: Revision, as_of: Revision) -> Delta {
        let known = self.writes.iter().take(as_of.0 as usize);
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
        Revision(self.writes.len() as u64)
    }
}

#[derive(Debug, Default)]
struct World {
    store: Store,
    caches: Vec<Cache>,
    held: Vec<BTreeMap<Key, Revision>>,
    in_flight: Vec<(usize, Delta)>,
}

struct Spread;

impl World {
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
    type SystemUnderTest = World;
    type Reference = NoState;

    fn init_test(_: &NoState) -> World {
        World {
            caches: vec![Cache::default(); ENTRIES],
            held: vec![BTreeMap::new(); ENTRIES],
            ..World::default()
        }
    }

    fn apply(mut world: World, _: &NoState, event: Event) -> World {
        match event {
            Event::Commit(key, delete) => {
                world.store.commit(key, delete);
            }
            Event::Read(entry) => {
                let newest = world.store.newest();
                let delta = world.store.changes(world.caches[entry].as_of(), newest);
                world.merge(entry, delta);
            }
            Event::ReadStale(entry, back) => {
                let newest = world.store.newest().0;
                let as_of = Revision(newest.saturating_sub(back as u64));
                let delta = world.store.changes(world.caches[entry].as_of(), as_of);
                world.merge(entry, delta);
            }
            Event::Send(from, to) => {
                let since = world.caches[to].as_of();
                world
                    .in_flight
                    .push((to, world.caches[from].changes_since(since)));
            }
            Event::Deliver(pick, duplicate) => {
                if !world.in_flight.is_empty() {
                    let at = pick % world.in_flight.len();
                    let (to, delta) = world.in_flight[at].clone();
                    if !duplicate {
                        world.in_flight.remove(at);
                    }
                    world.merge(to, delta);
                }
            }
            Event::Restart(entry) => {
                world.caches[entry] = Cache::default();
                world.held[entry] = BTreeMap::new();
            }
            Event::Write(entry, key) => {
                let row = world.store.commit(key, false);
                world.caches[entry].record_write(row);
            }
        }
        for (cache, held) in world.caches.iter().zip(&mut world.held) {
            check(cache, held, &world.store);
        }
        world
    }

    /// Without the table service, deltas between entries alone bring every cache to the newest
    /// revision that any of them has.
    fn teardown(mut world: World, _: NoState) {
        let newest = world.caches.iter().map(Cache::as_of).max().unwrap();
        for _ in 0..2 {
            for entry in 0..ENTRIES {
                let next = (entry + 1) % ENTRIES;
                let delta = world.caches[entry].changes_since(world.caches[next].as_of());
                world.merge(next, delta);
            }
        }
        assert!(world.caches.iter().all(|cache| cache.as_of() == newest));
    }
}

/// Checks that no row reverts and that the cache is complete up to its revision.
fn check(cache: &Cache, held: &mut BTreeMap<Key, Revision>, store: &Store) {
    for key in (0..KEYS).map(key_of) {
        let revision = cache.row(&key).map(|row| row.revision).unwrap_or_default();
        let before = held.insert(key.clone(), revision).unwrap_or_default();
        assert!(
            revision >= before,
            "{key} reverted from {before} to {revision}"
        );
        let expected = store.changes(Revision(0), cache.as_of());
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
    fn rows_spread_and_never_go_back(sequential 1..120 => Spread);
}
