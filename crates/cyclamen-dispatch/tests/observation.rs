//! Selection by observed loads and speeds. Each test names the load pattern that it answers.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cyclamen_directory::service::{Engine, Model};
use cyclamen_dispatch::{
    Criteria, Dispatch, Dispatcher, Forecast, Load, Observation, Options, Outcome, Target,
};
use cyclamen_types::{Time, domain, group, instance, model, pool, zone};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const GOAL: Duration = Duration::from_millis(500);
const SLOTS: u32 = 20;
const FENCE: group::Fence = group::Fence(7);

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn engine() -> Engine {
    Engine {
        slots: SLOTS,
        step: Duration::from_micros(7_800),
        step_per_request: Duration::from_micros(95),
        read_per_second: 45_900.0,
        chunk: 2_048,
        stride: 6,
        loads_per_second: 4.0,
        concurrent_loads: None,
        models: vec![Model {
            name: "large".parse().unwrap(),
            size: 8,
            share: 1.0,
            pace: 1.0,
            load: Duration::from_secs(16),
            warm: Duration::from_millis(1_600),
        }],
    }
}

/// Returns the head of a group in a fabric domain; `d0` is the one of this entry's cell.
fn head(name: &str, zone: &str, domain: &str) -> Target {
    let engine = engine();
    Target {
        instance: name.parse().unwrap(),
        incarnation: instance::Incarnation(1),
        fence: FENCE,
        service: "llm".parse().unwrap(),
        model: Some("large".parse().unwrap()),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: zone.parse().unwrap(),
        domain: Some(domain.parse().unwrap()),
        slots: engine.slots,
        cold: None,
        limit: None,
        doubtful: false,
        forecast: Some(Forecast::of(&engine, &engine.models[0])),
    }
}

/// An entry in zone `a`, whose cell has the domain `d0`.
struct Entry {
    dispatcher: Dispatcher,
    rng: SmallRng,
    service: pool::Service,
    model: model::Name,
    zone: zone::Name,
    domains: BTreeSet<domain::Name>,
}

impl Entry {
    fn new(targets: impl IntoIterator<Item = Target>) -> Self {
        Self::with(targets, true, 1)
    }

    fn with(targets: impl IntoIterator<Item = Target>, observed_loads: bool, seed: u64) -> Self {
        let mut dispatcher = Dispatcher::new(Options {
            observed_loads,
            ..Options::default()
        });
        dispatcher.refresh(targets);
        Self {
            dispatcher,
            rng: SmallRng::seed_from_u64(seed),
            service: "llm".parse().unwrap(),
            model: "large".parse().unwrap(),
            zone: "a".parse().unwrap(),
            domains: ["d0".parse().unwrap()].into(),
        }
    }

    fn send(&mut self, now: Time, tokens: u64) -> Option<Dispatch> {
        let criteria = Criteria {
            service: &self.service,
            model: Some(&self.model),
            zone: &self.zone,
            domains: &self.domains,
            exclude: &[],
            goal: GOAL,
            remaining: Duration::from_secs(8),
            late: false,
            tokens,
            priority: 1,
            caller: cyclamen_dispatch::Caller::default(),
        };
        self.dispatcher.choose(now, &criteria, &mut self.rng).ok()
    }

    /// Sends a request that ends at once; returns its worker.
    fn try_one(&mut self, now: Time) -> String {
        let sent = self.send(now, 1_400).unwrap();
        self.end(now, &sent);
        sent.target.instance.to_string()
    }

    /// Sends requests that end at once; returns the number on each worker.
    fn try_many(&mut self, now: Time, count: usize) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for _ in 0..count {
            *counts.entry(self.try_one(now)).or_insert(0) += 1;
        }
        counts
    }

    fn end(&mut self, now: Time, sent: &Dispatch) {
        self.dispatcher
            .record_outcome(now, sent, Outcome::Complete, false);
    }

    /// Sends a request whose response begins after `factor` times the rounds of a sound worker.
    fn answered(&mut self, now: Time, factor: f64) -> Dispatch {
        let sent = self.send(now, 1_400).unwrap();
        let overhead = Options::default().overhead;
        let rounds = (sent.forecast - overhead).div_f64(sent.pace);
        let wait = overhead + rounds.mul_f64(factor);
        self.dispatcher.record_first_event(now, &sent, wait);
        self.end(now, &sent);
        sent
    }

    fn observe(&mut self, now: Time, observation: Observation) {
        self.dispatcher.record_observations(now, [observation]);
    }

    fn pace_of(&mut self, now: Time) -> f64 {
        let sent = self.send(now, 1_400).unwrap();
        self.end(now, &sent);
        sent.pace
    }
}

fn observed(name: &str, running: u32, queued: u32) -> Observation {
    Observation {
        instance: name.parse().unwrap(),
        fence: FENCE,
        running,
        queued,
        pace: 1.0,
        age: Duration::from_millis(200),
    }
}

fn load(name: &str, running: u32, backlog: u64) -> Load {
    Load {
        instance: name.parse().unwrap(),
        fence: FENCE,
        running,
        backlog,
    }
}

fn two_heads() -> [Target; 2] {
    [head("h1", "a", "d0"), head("h2", "a", "d0")]
}

#[test]
fn a_group_that_other_cells_fill_gets_less() {
    let mut entry = Entry::new(two_heads());
    entry.observe(at(1_000), observed("h1", 16, 4));
    entry.observe(at(1_000), observed("h2", 3, 0));
    let counts = entry.try_many(at(1_050), 20);
    assert_eq!(counts.get("h1"), None, "{counts:?}");
}

#[test]
fn a_group_that_other_cells_overfill_gets_nothing() {
    let mut entry = Entry::new([head("h1", "a", "d0")]);
    entry.observe(at(1_000), observed("h1", SLOTS, SLOTS));
    assert_eq!(entry.send(at(1_050), 1_400), None);
}

/// Names the counts of the load on a worker after an observation of another age.
macro_rules! counted {
    ($($name:ident: $running:expr, $queued:expr, $told:expr, $own:expr, $now:expr => $count:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut entry = Entry::new([head("h1", "a", "d0")]);
                entry.observe(at(1_000), observed("h1", $running, $queued));
                entry.dispatcher.record_peer_loads(at($now), "e2", [load("h1", $told, 0)]);
                for _ in std::iter::repeat_n((), $own) {
                    entry.send(at($now), 10).unwrap();
                }
                assert_eq!(entry.send(at($now), 10).unwrap().running, $count);
            }
        )*
    };
}

counted! {
    an_observation_counts_what_no_entry_told: 6, 2, 0, 0, 1_050 => 8;
    own_requests_since_then_are_added: 6, 2, 0, 3, 1_050 => 11;
    what_entries_told_is_not_counted_twice: 6, 2, 5, 0, 1_050 => 8;
    more_requests_than_observed_are_believed: 6, 2, 12, 0, 1_050 => 12;
    own_requests_are_never_forgotten: 0, 0, 0, 3, 1_050 => 3;
    an_old_observation_fades: 10, 0, 0, 0, 2_048 => 5;
    an_expired_observation_counts_nothing: 10, 6, 0, 2, 2_900 => 2;
}

#[test]
fn one_slow_member_costs_its_group_work() {
    let mut entry = Entry::new(two_heads());
    for i in 0..40 {
        let now = at(1_000 + i * 50);
        let sent = entry.answered(now, 1.0);
        if sent.target.instance.as_str() == "h1" {
            // The member makes each of its rounds last four times as long.
            let overhead = Options::default().overhead;
            let rounds = (sent.forecast - overhead).div_f64(sent.pace);
            let wait = overhead + rounds * 4;
            entry.dispatcher.record_first_event(now, &sent, wait);
            entry.dispatcher.record_first_event(now, &sent, wait);
        }
    }
    let counts = entry.try_many(at(3_000), 40);
    assert!(counts["h2"] > 30, "{counts:?}");
}

#[test]
fn a_slow_group_serves_when_the_others_are_full() {
    let mut entry = Entry::new(two_heads());
    let mut slow = observed("h1", 0, 0);
    slow.pace = 2.0;
    entry.observe(at(1_000), slow);
    let mut counts = BTreeMap::new();
    for _ in 0..20 {
        if let Some(sent) = entry.send(at(1_050), 1_400) {
            *counts.entry(sent.target.instance.to_string()).or_insert(0) += 1;
        }
    }
    assert!(
        counts["h1"] >= 3 && counts["h2"] > counts["h1"],
        "{counts:?}"
    );
}

#[test]
fn a_few_long_prompts_do_not_make_a_group_slow() {
    let mut entry = Entry::new([head("h1", "a", "d0")]);
    for i in 0..20 {
        // Every fifth is behind a prompt that nobody counted.
        let factor = if i % 5 == 4 { 8.0 } else { 1.0 };
        entry.answered(at(1_000 + i * 100), factor);
    }
    let pace = entry.pace_of(at(3_000));
    assert!(pace < 1.5, "{pace}");
}

#[test]
fn prompts_of_several_chunks_are_compared_by_their_rounds() {
    let mut entry = Entry::new([head("h1", "a", "d0")]);
    for i in 0..10 {
        let now = at(1_000 + i * 100);
        let sent = entry.send(now, 6_000).unwrap();
        entry
            .dispatcher
            .record_first_event(now, &sent, sent.forecast);
        entry.end(now, &sent);
    }
    let pace = entry.pace_of(at(2_000));
    assert!((0.95..1.05).contains(&pace), "{pace}");
}

#[test]
fn a_group_that_was_slow_is_tried_again() {
    let mut entry = Entry::new([head("h1", "a", "d0")]);
    for i in 0..10 {
        entry.answered(at(1_000 + i * 100), 5.0);
    }
    let slow = entry.pace_of(at(2_000));
    assert!(slow > 2.5, "{slow}");
    let after = entry.pace_of(at(17_000));
    assert!(after < 1.5, "{after}");
}

/// Names what a worker of an observation and the learnt pace must be to count.
macro_rules! forgotten {
    ($($name:ident: $change:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut entry = Entry::new([head("h1", "a", "d0")]);
                for i in 0..10 {
                    entry.answered(at(i * 100), 5.0);
                }
                entry.observe(at(1_000), observed("h1", 12, 3));
                let mut target = head("h1", "a", "d0");
                let change: fn(&mut Target) = $change;
                change(&mut target);
                entry.dispatcher.refresh([target]);
                // The report of the worker as it was comes late.
                let sent = entry.send(at(1_050), 1_400).unwrap();
                assert_eq!((sent.running, sent.pace), (0, 1.0));
            }
        )*
    };
}

forgotten! {
    a_restart_forgets: |target| target.incarnation = instance::Incarnation(2);
    a_new_group_forgets: |target| target.fence = group::Fence(8);
}

#[test]
fn a_report_of_a_former_group_does_not_count() {
    let mut target = head("h1", "a", "d0");
    target.fence = group::Fence(8);
    let mut entry = Entry::new([target]);
    entry.observe(at(1_000), observed("h1", 12, 3));
    assert_eq!(entry.send(at(1_050), 1_400).unwrap().running, 0);
}

#[test]
fn zone_peak_moves_work_before_the_own_zone_is_late() {
    let mut entry = Entry::new([head("h1", "a", "d0"), head("h2", "b", "d1")]);
    entry.observe(at(1_000), observed("h1", 0, 0));
    entry.observe(at(1_000), observed("h2", 0, 0));
    let idle = entry.send(at(1_050), 1_400).unwrap();
    assert_eq!(idle.target.instance.as_str(), "h1");
    let slack = GOAL - idle.forecast;
    let mut at_home = 0;
    while let Some(sent) = entry.send(at(1_050), 1_400) {
        if sent.target.instance.as_str() == "h2" {
            break;
        }
        at_home += 1;
        assert!(
            sent.forecast <= idle.forecast + slack / 2,
            "{at_home}: {sent:?}"
        );
    }
}

#[test]
fn a_zone_whose_peak_is_over_keeps_its_work() {
    let mut entry = Entry::new([head("h1", "a", "d0"), head("h2", "b", "d1")]);
    entry.observe(at(1_000), observed("h1", 18, 4));
    assert_eq!(entry.try_one(at(1_050)), "h2");
    entry.observe(at(1_400), observed("h1", 2, 0));
    assert_eq!(entry.try_one(at(1_450)), "h1");
}

#[test]
fn calm_keeps_work_in_its_cell() {
    let heads = [
        head("h1", "a", "d0"),
        head("h2", "a", "d1"),
        head("h3", "b", "d2"),
    ];
    let mut entry = Entry::new(heads);
    for (name, running) in [("h1", 3), ("h2", 0), ("h3", 0)] {
        entry.observe(at(1_000), observed(name, running, 0));
        entry
            .dispatcher
            .record_peer_loads(at(1_000), "e2", [load("h1", 3, 0)]);
    }
    let counts = entry.try_many(at(1_050), 50);
    assert_eq!(counts["h1"], 50, "{counts:?}");
}

#[test]
fn a_zone_without_workers_sends_to_another() {
    let mut entry = Entry::new([head("h3", "b", "d2")]);
    assert_eq!(entry.try_one(at(0)), "h3");
}

/// Lets many entries with the same stale view and generators of their own send some requests each;
/// returns the load of each worker, with what it had before.
fn herd(entries: u64, each: usize, before: &[u32], seeds: &mut SmallRng) -> Vec<u32> {
    let name = |i: usize| format!("h{i}");
    let mut loads = before.to_vec();
    for _ in 0..entries {
        let heads = (0..before.len()).map(|i| head(&name(i), "a", "d1"));
        let mut entry = Entry::new(heads);
        entry.rng = SmallRng::from_rng(seeds);
        for (i, running) in before.iter().enumerate() {
            let mut observation = observed(&name(i), *running, 0);
            observation.age = Duration::from_millis(900);
            entry.observe(at(1_000), observation);
        }
        for _ in 0..each {
            let sent = entry.send(at(1_000), 1_400).unwrap();
            let index = (0..before.len()).find(|i| name(*i) == sent.target.instance.as_str());
            loads[index.unwrap()] += 1;
        }
    }
    loads
}

/// How often the entries choose anew, for the mean of the busiest and the least busy worker.
const ROUNDS: u32 = 20;

/// Names the loads before; in the mean no worker may be over its slots while another is under half of
/// them.
macro_rules! spread {
    ($($name:ident: $entries:expr, $each:expr, $before:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut seeds = SmallRng::seed_from_u64(1);
                let (mut least, mut most) = (0, 0);
                for _ in 0..ROUNDS {
                    let loads = herd($entries, $each, &$before, &mut seeds);
                    least += loads.iter().min().unwrap();
                    most += loads.iter().max().unwrap();
                }
                let is_fair = most <= SLOTS * ROUNDS || least >= SLOTS * ROUNDS / 2;
                assert!(is_fair, "{least} to {most} in {ROUNDS} rounds");
            }
        )*
    };
}

spread! {
    entries_with_one_view_do_not_herd_on_the_idle_worker:
        91, 1, [8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 0, 8, 8, 8, 8, 8, 8, 8, 8, 8];
    entries_with_one_view_spread_over_idle_workers: 91, 2, [0; 20];
    entries_with_one_view_spread_over_uneven_workers:
        91, 1, [10, 2, 10, 2, 10, 2, 10, 2, 10, 2, 10, 2, 10, 2, 10, 2, 10, 2, 10, 2];
}

#[test]
fn an_entry_with_peers_that_tell_no_observations_counts_their_loads() {
    let mut entry = Entry::new(two_heads());
    let loads = [load("h1", 12, 9_000)];
    entry.dispatcher.record_peer_loads(at(1_000), "old", loads);
    let counts = entry.try_many(at(1_010), 20);
    assert_eq!(counts.get("h1"), None, "{counts:?}");
}

#[test]
fn an_entry_without_the_feature_neither_uses_nor_tells_observations() {
    let mut entry = Entry::with([head("h1", "a", "d0")], false, 1);
    entry.observe(at(1_000), observed("h1", 12, 3));
    for i in 0..5 {
        entry.answered(at(1_000 + i), 5.0);
    }
    let sent = entry.send(at(1_050), 1_400).unwrap();
    assert_eq!((sent.running, sent.pace), (0, 1.0));
    assert!(entry.dispatcher.observations(at(1_050), None, 9).is_empty());
    assert!(entry.dispatcher.reports_due(at(1_050), |_| true).is_empty());
}

#[test]
fn observations_are_passed_on_once_and_newest_first() {
    let mut entry = Entry::new(two_heads());
    entry.observe(at(1_000), observed("h1", 1, 0));
    let mut older = observed("h2", 2, 0);
    older.age = Duration::from_millis(300);
    entry.observe(at(1_000), older);
    let told = entry.dispatcher.observations(at(1_010), None, 9);
    let names: Vec<_> = told.iter().map(|o| o.instance.as_str()).collect();
    assert_eq!(names, ["h1", "h2"]);
    assert_eq!(entry.dispatcher.observations(at(1_010), None, 1).len(), 1);
    let since = Some(at(1_000));
    assert!(
        entry
            .dispatcher
            .observations(at(1_010), since, 9)
            .is_empty()
    );
}

#[test]
fn passing_on_makes_no_observation_fresher() {
    let mut observation = observed("h1", 9, 0);
    for hop in 0..20 {
        let mut entry = Entry::new([head("h1", "a", "d0")]);
        let now = at(5_000 + hop * 1_000);
        entry.observe(now, observation.clone());
        let told = entry
            .dispatcher
            .observations(now + Duration::from_millis(50), None, 9);
        let told = told.into_iter().next().unwrap();
        assert!(told.age >= observation.age + Duration::from_millis(50));
        observation = told;
    }
}

#[test]
fn a_learnt_pace_goes_along_with_the_observation() {
    let mut entry = Entry::new([head("h1", "a", "d0")]);
    for i in 0..10 {
        entry.answered(at(1_000 + i * 10), 4.0);
    }
    entry.observe(at(1_100), observed("h1", 1, 0));
    let told = entry.dispatcher.observations(at(1_100), None, 9);
    let mut other = Entry::new([head("h1", "a", "d0")]);
    other.dispatcher.record_observations(at(9_000), told);
    assert!(other.pace_of(at(9_000)) > 2.0);
}

#[test]
fn heads_are_asked_more_often_while_busy() {
    let mut entry = Entry::new([head("h1", "a", "d0")]);
    let mut asked = |now: u64, running: u32| {
        let loads = [load("h1", running, 0)];
        entry.dispatcher.record_peer_loads(at(now), "e2", loads);
        entry.dispatcher.reports_due(at(now), |_| true).len()
    };
    let counts = [
        asked(0, 0),
        asked(399, 9),
        asked(400, 9),
        asked(800, 0),
        asked(2_399, 0),
        asked(2_400, 0),
    ];
    assert_eq!(counts, [1, 0, 1, 0, 0, 1]);
}

#[test]
fn a_head_of_which_a_fresh_observation_is_known_is_not_asked() {
    let mut entry = Entry::new(two_heads());
    entry.observe(at(1_000), observed("h1", 9, 0));
    let due = entry.dispatcher.reports_due(at(1_100), |_| true);
    let names: Vec<_> = due.iter().map(|t| t.instance.as_str()).collect();
    assert_eq!(names, ["h2"]);
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(1),
        ..Config::default()
    })]

    #[test]
    fn absurd_observations_neither_fail_nor_hold_for_long(
        running in prop_oneof![Just(u32::MAX), 0..40_u32],
        queued in prop_oneof![Just(u32::MAX), 0..40_u32],
        pace in prop_oneof![Just(f64::NAN), Just(f64::INFINITY), Just(-1.0), Just(0.0), 0.0..20.0],
        age in prop_oneof![Just(Duration::MAX), Just(Duration::ZERO), (0..3_000_u64).prop_map(Duration::from_millis)],
        told in prop_oneof![Just(u64::MAX), 0..9_000_u64],
    ) {
        let mut entry = Entry::new(two_heads());
        let observation = Observation { running, queued, pace, age, ..observed("h1", 0, 0) };
        entry.observe(at(1_000), observation);
        entry.dispatcher.record_peer_loads(at(1_000), "e2", [load("h1", 3, told), load("h1", 3, told)]);
        entry.dispatcher.record_peer_loads(at(1_000), "e3", [load("h1", u32::MAX, told)]);
        let sent = entry.send(at(1_010), 1_400).unwrap();
        prop_assert!((0.5..=8.0).contains(&sent.pace));
        prop_assert!(entry.dispatcher.observations(at(1_010), None, 9).iter().all(|o| o.pace <= 8.0));
        entry.end(at(1_010), &sent);
        // Observations and loads of others end.
        for name in ["h1", "h2"] {
            let mut later = Entry::new([head(name, "a", "d0")]);
            std::mem::swap(&mut later.dispatcher, &mut entry.dispatcher);
            let sent = later.send(at(4_000), 1_400).unwrap();
            prop_assert_eq!((sent.running, sent.pace), (0, 1.0));
            later.end(at(4_000), &sent);
            std::mem::swap(&mut later.dispatcher, &mut entry.dispatcher);
        }
    }

    /// The running sums are those of all valid loads, in whatever order they come and end.
    #[test]
    fn sums_are_those_of_the_valid_loads(
        reports in prop::collection::vec((0..4_usize, 0..3_u32, 0..100_u64, 0..700_u64), 1..40),
    ) {
        let mut entry = Entry::with([head("h1", "a", "d0")], false, 1);
        let mut valid: BTreeMap<usize, (u64, u32, u64)> = BTreeMap::new();
        let mut now = 0;
        for (peer, running, backlog, pause) in reports {
            now += pause;
            let loads = (running > 0).then(|| load("h1", running, backlog));
            entry.dispatcher.record_peer_loads(at(now), &format!("e{peer}"), loads);
            valid.insert(peer, (now, running, if running > 0 { backlog } else { 0 }));
            valid.retain(|_, (since, ..)| now - *since < 1_000);
            let sent = entry.send(at(now), 1).unwrap();
            entry.end(at(now), &sent);
            let running: u32 = valid.values().map(|(_, running, _)| running).sum();
            let backlog: u64 = valid.values().map(|(.., backlog)| backlog).sum();
            prop_assert_eq!((sent.running, sent.backlog), (running, backlog));
        }
    }
}
