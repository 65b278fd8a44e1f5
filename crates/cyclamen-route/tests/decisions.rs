//! Decisions of the entry that received a request.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cyclamen_route::balancer::{Options as BalancerOptions, Summary};
use cyclamen_route::budget;
use cyclamen_route::containment::{self, Crash, Decision, Fingerprint, Strike};
use cyclamen_route::limit::{Position, Refusal};
use cyclamen_route::{Balancer, Limiter, Outages, RetryBudget, Strikes, rendezvous};
use cyclamen_tables::routes::Contract;
use cyclamen_types::{Time, group};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const CONVERGENCE_DELAY: Duration = Duration::from_secs(5);

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

fn config() -> Config {
    Config {
        cases: 500,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Entries join and leave; each observes a change at a different time.
#[derive(Debug, Clone)]
enum Event {
    Observe(usize),
    Join(usize),
    Leave(usize),
    Advance(u64),
    Request(usize),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..6_usize).prop_map(Event::Observe),
        1 => (0..6_usize).prop_map(Event::Join),
        1 => (0..6_usize).prop_map(Event::Leave),
        2 => (1..4_u64).prop_map(Event::Advance),
        12 => (0..6_usize).prop_map(Event::Request),
    ]
}

proptest! {
    #![proptest_config(config())]

    /// The limit holds over all entries if each observes a change within the convergence delay.
    #[test]
    fn concurrency_holds_over_all_entries(events in prop::collection::vec(event(), 1..200)) {
        let contract = Contract { rate: 10_000, concurrency: 7, share: 1 };
        let team = "vets".parse().unwrap();
        let mut limiters: Vec<_> = (0..6).map(|_| Limiter::new(CONVERGENCE_DELAY)).collect();
        let mut members = BTreeSet::from([0, 1, 2]);
        let mut in_progress = [0_u32; 6];
        let (mut now, mut unobserved) = (at(100), BTreeMap::<usize, Time>::new());
        let observe = |limiter: &mut Limiter, members: &BTreeSet<usize>, entry: usize, now: Time| {
            if let Some(rank) = members.iter().position(|m| *m == entry) {
                let entries = members.len() as u32;
                limiter.set_position(now, Position { rank: rank as u32, entries });
            }
        };
        for event in events {
            match event {
                Event::Observe(entry) => {
                    observe(&mut limiters[entry], &members, entry, now);
                    unobserved.remove(&entry);
                }
                Event::Join(entry) | Event::Leave(entry) if unobserved.is_empty() => {
                    let joins = matches!(event, Event::Join(_));
                    // An entry that leaves has no requests in progress; those of a failed entry end with it.
                    if joins { members.insert(entry); } else { members.remove(&entry); in_progress[entry] = 0; }
                    if !joins { limiters[entry] = Limiter::new(CONVERGENCE_DELAY); }
                    unobserved = members.iter().map(|m| (*m, now)).collect();
                }
                Event::Advance(seconds) => {
                    now = now + Duration::from_secs(seconds);
                    // Every entry observes a change within the convergence delay.
                    let late: Vec<_> = unobserved.iter()
                        .filter(|(_, since)| now.since(**since) >= CONVERGENCE_DELAY - Duration::from_secs(4))
                        .map(|(entry, _)| *entry).collect();
                    for entry in late {
                        observe(&mut limiters[entry], &members, entry, now - Duration::from_secs(seconds));
                        unobserved.remove(&entry);
                    }
                    for entry in members.iter().filter(|e| !unobserved.contains_key(*e)) {
                        observe(&mut limiters[*entry], &members, *entry, now);
                    }
                }
                Event::Request(entry) if members.contains(&entry) => {
                    if limiters[entry].start(now, &team, &contract).is_ok() {
                        in_progress[entry] += 1;
                        prop_assert!(in_progress.iter().sum::<u32>() <= contract.concurrency);
                    }
                    if in_progress[entry] > 1 {
                        limiters[entry].end(&team);
                        in_progress[entry] -= 1;
                    }
                }
                _ => {}
            }
        }
    }

    /// The quotas of all ranks add up to the limit.
    #[test]
    fn quotas_add_up(limit in 0..100_000_u32, entries in 1..400_u32) {
        let quotas = (0..entries).map(|rank| u64::from(Position { rank, entries }.quota(limit)));
        prop_assert_eq!(quotas.sum::<u64>(), u64::from(limit));
    }

    /// Every key is assigned, and no candidate has more than its capacity.
    #[test]
    fn assignment_is_balanced(keys in 0..60_usize, candidates in 1..12_usize) {
        let names = (0..keys).map(|k| format!("d{k}"));
        let owners = rendezvous::assign_balanced(names, (0..candidates).map(|c| format!("e{c}")));
        prop_assert_eq!(owners.len(), keys);
        let mut assigned = BTreeMap::<_, usize>::new();
        owners.values().for_each(|owner| *assigned.entry(owner).or_default() += 1);
        prop_assert!(assigned.values().all(|n| *n <= keys.div_ceil(candidates)));
    }
}

#[test]
fn rate_refusal_gives_the_retry_delay() {
    let mut limiter = Limiter::new(Duration::ZERO);
    limiter.set_position(
        at(1),
        Position {
            rank: 0,
            entries: 1,
        },
    );
    let contract = Contract {
        rate: 2,
        concurrency: 100,
        share: 1,
    };
    let team = "vets".parse().unwrap();
    assert_eq!(limiter.start(at(1), &team, &contract), Ok(()));
    assert_eq!(limiter.start(at(1), &team, &contract), Ok(()));
    let refused = limiter.start(at(1), &team, &contract);
    assert_eq!(refused, Err(Refusal::Rate(Duration::from_millis(500))));
    assert_eq!(limiter.start(at(2), &team, &contract), Ok(()));
}

#[test]
fn a_rate_above_a_thousand_per_second_is_granted_in_full() {
    const RATE: u32 = 5_000;
    let mut limiter = Limiter::new(Duration::ZERO);
    let position = Position {
        rank: 0,
        entries: 1,
    };
    limiter.set_position(at(1), position);
    let contract = Contract {
        rate: RATE,
        concurrency: 1,
        share: 1,
    };
    let team = "vets".parse().unwrap();
    for call in 0..4 * RATE {
        let now = at(1) + Duration::from_secs(1) / RATE * call;
        assert_eq!(limiter.start(now, &team, &contract), Ok(()), "call {call}");
        limiter.end(&team);
    }
}

fn strike(fingerprint: &Fingerprint, domain: &str, group: &str) -> Strike {
    Strike {
        fingerprint: fingerprint.clone(),
        crash: Crash {
            domain: domain.parse().unwrap(),
            group: group.parse().unwrap(),
            fence: group::Fence(1),
        },
        parts: [].into(),
    }
}

macro_rules! decisions {
    ($($name:ident: $strikes:expr => $decision:ident;)*) => {$(
        #[test]
        fn $name() {
            let mut strikes = Strikes::new(containment::Options::default());
            let request = Fingerprint::of("llm", br#"{"messages":[1]}"#);
            let crashes: &[(u64, &str, &str)] = &$strikes;
            for (second, domain, group) in crashes {
                strikes.record(at(*second), strike(&request, domain, group));
            }
            assert_eq!(strikes.decide(at(60), &request, &[]), Decision::$decision);
        }
    )*};
}

decisions! {
    a_request_without_strikes_is_allowed: [] => Allow;
    one_crash_isolates: [(1, "d1", "g1")] => Isolate;
    a_crash_received_twice_counts_once: [(1, "d1", "g1"), (2, "d1", "g1")] => Isolate;
    two_crashes_apart_refuse: [(1, "d1", "g1"), (20, "d1", "g2")] => Refuse;
    two_crashes_at_once_in_one_domain_have_a_common_cause:
        [(1, "d1", "g1"), (2, "d1", "g2")] => Allow;
    two_crashes_at_once_in_two_domains_refuse: [(1, "d1", "g1"), (2, "d2", "g2")] => Refuse;
}

#[test]
fn a_complete_response_clears_earlier_strikes() {
    let mut strikes = Strikes::new(containment::Options::default());
    let request = Fingerprint::of_parts([b"read".as_slice(), b"x"]);
    strikes.record(at(1), strike(&request, "d1", "g1"));
    strikes.record_completion(&request);
    assert_eq!(strikes.decide(at(2), &request, &[]), Decision::Allow);
    assert_eq!(strikes.to_gossip(at(2), true, 9), []);
    assert!(!strikes.record(at(3), strike(&request, "d1", "g1")));
    strikes.record(at(4), strike(&request, "d2", "g2"));
    assert_eq!(strikes.decide(at(5), &request, &[]), Decision::Isolate);
}

#[test]
fn gossip_does_not_extend_a_strike() {
    let options = containment::Options {
        strike_lifetime: Duration::from_secs(10),
        ..containment::Options::default()
    };
    let request = Fingerprint::of_parts([b"x".as_slice()]);
    let mut entries = [(); 2].map(|()| Strikes::new(options));
    entries[0].record(at(0), strike(&request, "d1", "g1"));
    for second in 4..60 {
        for (from, to) in [(0, 1), (1, 0)] {
            for received in entries[from].to_gossip(at(second), true, 9) {
                entries[to].record(at(second), received);
            }
        }
    }
    let decisions = entries.map(|e| e.decide(at(60), &request, &[]));
    assert_eq!(decisions, [Decision::Allow; 2]);
}

macro_rules! gossip {
    ($($name:ident: $second:expr, $to_new_entry:expr, $limit:expr => $groups:expr;)*) => {$(
        #[test]
        fn $name() {
            let options = containment::Options {
                gossip_duration: Duration::from_secs(5),
                ..containment::Options::default()
            };
            let mut strikes = Strikes::new(options);
            let request = Fingerprint::of_parts([b"x".as_slice()]);
            strikes.record(at(1), strike(&request, "d1", "g1"));
            strikes.record(at(8), strike(&request, "d2", "g2"));
            let sent = strikes.to_gossip(at($second), $to_new_entry, $limit);
            let groups: Vec<_> = sent.iter().map(|s| s.crash.group.as_str()).collect();
            let expected: &[&str] = &$groups;
            assert_eq!(groups, expected);
        }
    )*};
}

gossip! {
    recent_strikes_are_sent: 9, false, 9 => ["g2"];
    old_strikes_are_not_sent: 20, false, 9 => [];
    old_strikes_are_sent_to_a_new_entry: 20, true, 9 => ["g2", "g1"];
    the_newest_strikes_are_sent_first: 20, true, 1 => ["g2"];
}

#[test]
fn a_strike_expires_after_its_lifetime() {
    let mut strikes = Strikes::new(containment::Options::default());
    let request = Fingerprint::of_parts([b"x".as_slice()]);
    assert_eq!(strikes.expires_in(at(1), &request, &[]), Duration::ZERO);
    strikes.record(at(1), strike(&request, "d1", "g1"));
    assert_eq!(
        strikes.expires_in(at(601), &request, &[]),
        Duration::from_secs(3_000)
    );
}

#[test]
fn fingerprints_depend_on_the_boundaries_of_parts() {
    let one = Fingerprint::of_parts([b"ab".as_slice(), b"c"]);
    let other = Fingerprint::of_parts([b"a".as_slice(), b"bc"]);
    assert_ne!(one, other);
}

#[test]
fn fingerprints_depend_on_content_only() {
    let one = Fingerprint::of("llm", br#"{"messages":["x"],"model":"llm","user":"a"}"#);
    let again = Fingerprint::of("llm", br#"{ "model":"llm", "user":"b", "messages":["x"] }"#);
    let other = Fingerprint::of("llm", br#"{"messages":["y"],"model":"llm"}"#);
    assert_eq!(one, again);
    assert_ne!(one, other);
}

#[test]
fn retries_are_limited_to_a_fraction_of_first_attempts() {
    let options = budget::Options {
        percent: 20,
        reserve: 2,
    };
    let mut budget = RetryBudget::new(options);
    assert_eq!(
        (budget.try_spend(), budget.try_spend(), budget.try_spend()),
        (true, true, false)
    );
    (0..10).for_each(|_| budget.record_first_attempt());
    assert_eq!(
        (budget.try_spend(), budget.try_spend(), budget.try_spend()),
        (true, true, false)
    );
}

#[test]
fn an_own_domain_with_a_free_slot_is_preferred_and_sent_requests_count() {
    let mut balancer = Balancer::new(BalancerOptions::default());
    let pool = "llm".parse().unwrap();
    let summary = |free, wait_ms| Summary {
        serving: 1,
        free,
        wait_ms,
    };
    let (own, other) = ("own".parse().unwrap(), "other".parse().unwrap());
    balancer.record_summary(at(1), &own, &pool, summary(1, 500), true);
    balancer.record_summary(at(1), &other, &pool, summary(1, 900), false);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut choose = |balancer: &mut Balancer, tried: &[_]| {
        balancer.choose(at(2), &pool, &tried.iter().cloned().collect(), &mut rng)
    };
    assert_eq!(choose(&mut balancer, &[]), Some(own.clone()));
    assert_eq!(choose(&mut balancer, &[]), Some(other.clone()));
    assert_eq!(choose(&mut balancer, &[]), Some(own.clone()));
    assert_eq!(choose(&mut balancer, &[own.clone(), other]), None);
    balancer.remove(&own, &pool);
    assert_eq!(choose(&mut balancer, &[]), Some("other".parse().unwrap()));
}

#[test]
fn requests_wait_during_a_short_outage_only() {
    let mut outages = Outages::new(Duration::from_secs(10));
    let pool = "llm".parse().unwrap();
    assert!(!outages.should_wait(at(1), &pool, at(30)));
    outages.record_serving(at(1), &pool);
    assert!(outages.should_wait(at(9), &pool, at(30)));
    assert!(!outages.should_wait(at(12), &pool, at(30)));
    assert!(!outages.should_wait(at(9), &pool, at(9)));
}

#[test]
fn a_ranking_follows_changes_of_keys_and_candidates() {
    let names = |prefix: &str, range: std::ops::Range<usize>| -> BTreeSet<String> {
        range.map(|n| format!("{prefix}{n}")).collect()
    };
    let mut ranking = rendezvous::Ranking::default();
    let steps = [(0..5, 0..20), (0..8, 0..20), (2..8, 0..19), (2..8, 1..300)];
    for (keys, candidates) in steps {
        let (keys, candidates) = (names("domain-", keys), names("entry-", candidates));
        ranking.update(&keys, &candidates, 3);
        for key in &keys {
            let ranked = rendezvous::ranked(key, &candidates);
            let first: Vec<String> = ranked.into_iter().take(3).cloned().collect();
            assert_eq!(ranking.of(key), first, "{key}");
        }
        assert!(ranking.iter().map(|(key, _)| key).eq(&keys));
    }
    assert_eq!(ranking.of(&"unknown".to_string()), &[] as &[String]);
}
