//! Decisions of the entry that took a request.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cyclamen_route::balancer::{Options as BoardOptions, Summary};
use cyclamen_route::budget;
use cyclamen_route::containment::{self, Crash, Fingerprint, Strike, Verdict};
use cyclamen_route::limit::{Place, Refusal};
use cyclamen_route::{Board, Budget, Gaps, Limiter, Suspects, rendezvous};
use cyclamen_tables::routes::Contract;
use cyclamen_types::{Time, group};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SETTLE: Duration = Duration::from_secs(5);

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

fn fixed() -> Config {
    Config {
        cases: 500,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Entries come and go; each learns of it at a moment of its own.
#[derive(Debug, Clone)]
enum Change {
    Learn(usize),
    Join(usize),
    Leave(usize),
    Pass(u64),
    Ask(usize),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        4 => (0..6_usize).prop_map(Change::Learn),
        1 => (0..6_usize).prop_map(Change::Join),
        1 => (0..6_usize).prop_map(Change::Leave),
        2 => (1..4_u64).prop_map(Change::Pass),
        12 => (0..6_usize).prop_map(Change::Ask),
    ]
}

proptest! {
    #![proptest_config(fixed())]

    /// As long as all learn of a change before it settles, the limit holds over all.
    #[test]
    fn concurrency_holds_over_all_entries(changes in prop::collection::vec(change(), 1..200)) {
        let contract = Contract { rate: 10_000, concurrency: 7, share: 1 };
        let team = "vets".parse().unwrap();
        let mut limiters: Vec<_> = (0..6).map(|_| Limiter::new(SETTLE)).collect();
        let mut members = BTreeSet::from([0, 1, 2]);
        let mut running = [0_u32; 6];
        let (mut now, mut unlearned) = (at(100), BTreeMap::<usize, Time>::new());
        let learn = |limiter: &mut Limiter, members: &BTreeSet<usize>, entry: usize, now: Time| {
            if let Some(rank) = members.iter().position(|m| *m == entry) {
                let of = members.len() as u32;
                limiter.arrange(now, Place { rank: rank as u32, of });
            }
        };
        for change in changes {
            match change {
                Change::Learn(entry) => {
                    learn(&mut limiters[entry], &members, entry, now);
                    unlearned.remove(&entry);
                }
                Change::Join(entry) | Change::Leave(entry) if unlearned.is_empty() => {
                    let joins = matches!(change, Change::Join(_));
                    // Only an entry without requests leaves; a dead one's are gone with it.
                    if joins { members.insert(entry); } else { members.remove(&entry); running[entry] = 0; }
                    if !joins { limiters[entry] = Limiter::new(SETTLE); }
                    unlearned = members.iter().map(|m| (*m, now)).collect();
                }
                Change::Pass(seconds) => {
                    now = now + Duration::from_secs(seconds);
                    // News reaches every entry within the time to settle.
                    let late: Vec<_> = unlearned.iter()
                        .filter(|(_, since)| now.since(**since) >= SETTLE - Duration::from_secs(4))
                        .map(|(entry, _)| *entry).collect();
                    for entry in late {
                        learn(&mut limiters[entry], &members, entry, now - Duration::from_secs(seconds));
                        unlearned.remove(&entry);
                    }
                    for entry in members.iter().filter(|e| !unlearned.contains_key(*e)) {
                        learn(&mut limiters[*entry], &members, *entry, now);
                    }
                }
                Change::Ask(entry) if members.contains(&entry) => {
                    if limiters[entry].start(now, &team, &contract).is_ok() {
                        running[entry] += 1;
                        prop_assert!(running.iter().sum::<u32>() <= contract.concurrency);
                    }
                    if running[entry] > 1 {
                        limiters[entry].end(&team);
                        running[entry] -= 1;
                    }
                }
                _ => {}
            }
        }
    }

    /// The parts of all ranks add up to the limit.
    #[test]
    fn parts_add_up(limit in 0..100_000_u32, of in 1..400_u32) {
        let parts = (0..of).map(|rank| u64::from(Place { rank, of }.part(limit)));
        prop_assert_eq!(parts.sum::<u64>(), u64::from(limit));
    }

    /// Nobody is responsible for more than its part, and everything has someone.
    #[test]
    fn responsibility_is_balanced(keys in 0..60_usize, candidates in 1..12_usize) {
        let names = (0..keys).map(|k| format!("d{k}"));
        let owners = rendezvous::balanced(names, (0..candidates).map(|c| format!("e{c}")));
        prop_assert_eq!(owners.len(), keys);
        let mut held = BTreeMap::<_, usize>::new();
        owners.values().for_each(|owner| *held.entry(owner).or_default() += 1);
        prop_assert!(held.values().all(|n| *n <= keys.div_ceil(candidates)));
    }
}

#[test]
fn a_team_beyond_its_rate_hears_when_to_come_back() {
    let mut limiter = Limiter::new(Duration::ZERO);
    limiter.arrange(at(1), Place { rank: 0, of: 1 });
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

fn strike(fingerprint: &Fingerprint, domain: &str, group: &str) -> Strike {
    Strike {
        fingerprint: fingerprint.clone(),
        crash: Crash {
            domain: domain.parse().unwrap(),
            group: group.parse().unwrap(),
            fence: group::Fence(1),
        },
    }
}

macro_rules! verdicts {
    ($($name:ident: $strikes:expr => $verdict:ident;)*) => {$(
        #[test]
        fn $name() {
            let mut suspects = Suspects::new(containment::Options::default());
            let it = Fingerprint::of("llm", br#"{"messages":[1]}"#);
            let strikes: &[(u64, &str, &str)] = &$strikes;
            for (second, domain, group) in strikes {
                suspects.strike(at(*second), strike(&it, domain, group));
            }
            assert_eq!(suspects.verdict(at(60), &it), Verdict::$verdict);
        }
    )*};
}

verdicts! {
    a_request_without_strikes_is_clear: [] => Clear;
    one_crash_makes_a_suspect: [(1, "d1", "g1")] => Suspect;
    the_same_crash_told_twice_counts_once: [(1, "d1", "g1"), (2, "d1", "g1")] => Suspect;
    two_crashes_apart_condemn: [(1, "d1", "g1"), (20, "d1", "g2")] => Condemned;
    two_crashes_at_once_in_one_domain_have_a_common_cause:
        [(1, "d1", "g1"), (2, "d1", "g2")] => Clear;
    two_crashes_at_once_in_two_domains_condemn: [(1, "d1", "g1"), (2, "d2", "g2")] => Condemned;
}

#[test]
fn a_request_that_was_answered_whole_is_no_suspect_for_its_former_strikes() {
    let mut suspects = Suspects::new(containment::Options::default());
    let it = Fingerprint::of_parts([b"read".as_slice(), b"x"]);
    suspects.strike(at(1), strike(&it, "d1", "g1"));
    suspects.acquit(&it);
    assert_eq!(suspects.verdict(at(2), &it), Verdict::Clear);
    assert_eq!(suspects.strikes(at(2), true, 9), []);
    assert!(!suspects.strike(at(3), strike(&it, "d1", "g1")));
    suspects.strike(at(4), strike(&it, "d2", "g2"));
    assert_eq!(suspects.verdict(at(5), &it), Verdict::Suspect);
}

#[test]
fn entries_do_not_keep_a_strike_alive_by_telling_each_other() {
    let options = containment::Options {
        lasting: Duration::from_secs(10),
        ..containment::Options::default()
    };
    let it = Fingerprint::of_parts([b"x".as_slice()]);
    let mut entries = [(); 2].map(|()| Suspects::new(options));
    entries[0].strike(at(0), strike(&it, "d1", "g1"));
    for second in 4..60 {
        for (from, to) in [(0, 1), (1, 0)] {
            for told in entries[from].strikes(at(second), true, 9) {
                entries[to].strike(at(second), told);
            }
        }
    }
    let verdicts = entries.map(|e| e.verdict(at(60), &it));
    assert_eq!(verdicts, [Verdict::Clear; 2]);
}

macro_rules! told {
    ($($name:ident: $second:expr, $to_new_entry:expr, $limit:expr => $groups:expr;)*) => {$(
        #[test]
        fn $name() {
            let options = containment::Options {
                telling: Duration::from_secs(5),
                ..containment::Options::default()
            };
            let mut suspects = Suspects::new(options);
            let it = Fingerprint::of_parts([b"x".as_slice()]);
            suspects.strike(at(1), strike(&it, "d1", "g1"));
            suspects.strike(at(8), strike(&it, "d2", "g2"));
            let told = suspects.strikes(at($second), $to_new_entry, $limit);
            let groups: Vec<_> = told.iter().map(|s| s.crash.group.as_str()).collect();
            let expected: &[&str] = &$groups;
            assert_eq!(groups, expected);
        }
    )*};
}

told! {
    new_strikes_are_told: 9, false, 9 => ["g2"];
    strikes_that_all_have_heard_of_are_not_told: 20, false, 9 => [];
    an_entry_that_has_started_is_told_all: 20, true, 9 => ["g2", "g1"];
    the_newest_strikes_come_first: 20, true, 1 => ["g2"];
}

#[test]
fn a_refusal_says_when_a_strike_will_not_count_any_more() {
    let mut suspects = Suspects::new(containment::Options::default());
    let it = Fingerprint::of_parts([b"x".as_slice()]);
    assert_eq!(suspects.lasts(at(1), &it), Duration::ZERO);
    suspects.strike(at(1), strike(&it, "d1", "g1"));
    assert_eq!(suspects.lasts(at(601), &it), Duration::from_secs(3_000));
}

#[test]
fn requests_are_told_apart_by_their_parts() {
    let one = Fingerprint::of_parts([b"ab".as_slice(), b"c"]);
    let other = Fingerprint::of_parts([b"a".as_slice(), b"bc"]);
    assert_ne!(one, other);
}

#[test]
fn a_request_is_known_by_its_content() {
    let one = Fingerprint::of("llm", br#"{"messages":["x"],"model":"llm","user":"a"}"#);
    let again = Fingerprint::of("llm", br#"{ "model":"llm", "user":"b", "messages":["x"] }"#);
    let other = Fingerprint::of("llm", br#"{"messages":["y"],"model":"llm"}"#);
    assert_eq!(one, again);
    assert_ne!(one, other);
}

#[test]
fn retries_are_a_part_of_first_attempts() {
    let options = budget::Options {
        percent: 20,
        reserve: 2,
    };
    let mut budget = Budget::new(options);
    assert_eq!(
        (budget.spend(), budget.spend(), budget.spend()),
        (true, true, false)
    );
    (0..10).for_each(|_| budget.earn());
    assert_eq!(
        (budget.spend(), budget.spend(), budget.spend()),
        (true, true, false)
    );
}

#[test]
fn an_own_domain_with_a_place_comes_first_and_counts_what_was_sent() {
    let mut board = Board::new(BoardOptions::default());
    let pool = "llm".parse().unwrap();
    let summary = |free, wait_ms| Summary {
        serving: 1,
        free,
        wait_ms,
    };
    let (own, other) = ("own".parse().unwrap(), "other".parse().unwrap());
    board.note(at(1), &own, &pool, summary(1, 500), true);
    board.note(at(1), &other, &pool, summary(1, 900), false);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut choose = |board: &mut Board, tried: &[_]| {
        board.choose(at(2), &pool, &tried.iter().cloned().collect(), &mut rng)
    };
    assert_eq!(choose(&mut board, &[]), Some(own.clone()));
    assert_eq!(choose(&mut board, &[]), Some(other.clone()));
    assert_eq!(choose(&mut board, &[]), Some(own.clone()));
    assert_eq!(choose(&mut board, &[own.clone(), other]), None);
    board.forget(&own, &pool);
    assert_eq!(choose(&mut board, &[]), Some("other".parse().unwrap()));
}

#[test]
fn a_short_gap_is_waited_out_and_a_long_one_is_not() {
    let mut gaps = Gaps::new(Duration::from_secs(10));
    let pool = "llm".parse().unwrap();
    assert!(!gaps.should_wait(at(1), &pool, at(30)));
    gaps.served(at(1), &pool);
    assert!(gaps.should_wait(at(9), &pool, at(30)));
    assert!(!gaps.should_wait(at(12), &pool, at(30)));
    assert!(!gaps.should_wait(at(9), &pool, at(9)));
}
