//! Admission under overload, by load pattern.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod fleet;

use std::ops::Range;

use cyclamen_dispatch::overload::fair_level;
use cyclamen_dispatch::{Options, Reason, TeamWork};
use cyclamen_types::Time;
use fleet::{DEADLINE, Fleet, Kind, Record, engine, ms, on};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const SEED: u64 = 41;

fn second(time: Time) -> u64 {
    time.as_millis() / 1_000
}

fn share<'a>(
    records: impl IntoIterator<Item = &'a Record>,
    counts: impl Fn(&Record) -> bool,
) -> f64 {
    let (mut all, mut counted) = (0.0, 0.0);
    for record in records {
        all += 1.0;
        counted += f64::from(u8::from(counts(record)));
    }
    counted / f64::max(all, 1.0)
}

/// Returns what became of the callers of kinds at 12 entries and 8 workers.
fn played(kinds: &[Kind], options: Options, seconds: u64) -> Vec<Record> {
    Fleet::new(12, 8, kinds.to_vec(), options, SEED).run(seconds)
}

/// Returns the callers that arrived in some seconds.
fn within(records: &[Record], seconds: Range<u64>) -> impl Iterator<Item = &Record> {
    let is_within = move |record: &&Record| seconds.contains(&second(record.arrived));
    records.iter().filter(is_within)
}

/// A small fleet knows all loads, and decides as without admission under overload.
#[test]
fn a_small_fleet_refuses_no_more_than_before() {
    let played = |options| {
        let kinds = vec![Kind {
            demand: burst,
            ..Kind::default()
        }];
        let mut fleet = Fleet::new(6, 8, kinds, options, SEED);
        fleet.set_entries(6);
        let records = fleet.run(10);
        records
            .iter()
            .filter(|record| !record.refused.is_empty())
            .count()
    };
    assert_eq!(played(on()), played(Options::default()));
}

fn burst(now: Time) -> f64 {
    if (5..8).contains(&second(now)) {
        1.8
    } else {
        0.9
    }
}

#[test]
fn burst_then_usual_demand_in_time_again() {
    let kinds = [Kind {
        demand: burst,
        ..Kind::default()
    }];
    let in_time = |record: &Record| record.is_in_time(&kinds);
    let (off, on) = (
        played(&kinds, Options::default(), 14),
        played(&kinds, on(), 14),
    );
    let again = share(within(&on, 10..13), in_time);
    assert!(again >= 0.9, "in time two seconds after the burst: {again}");
    let (before, now) = (
        share(within(&off, 0..13), in_time),
        share(within(&on, 0..13), in_time),
    );
    assert!(now > before, "in time: {before} without, {now} with");
}

#[test]
fn more_demand_than_room_with_two_priorities() {
    let kinds = [
        Kind {
            priority: 0,
            demand: |_| 0.6,
            ..Kind::default()
        },
        Kind {
            priority: 2,
            demand: |_| 0.6,
            goal: ms(1_000),
            ..Kind::default()
        },
    ];
    let records = played(&kinds, on(), 16);
    let served = |kind: usize| {
        let of_kind = within(&records, 2..14).filter(|record| record.kind == kind);
        share(of_kind, Record::is_served)
    };
    let all = share(within(&records, 2..14), Record::is_served);
    let in_time = |kind: usize| {
        let of_kind = within(&records, 2..14).filter(|record| record.kind == kind);
        share(of_kind, |record| record.is_in_time(&kinds))
    };
    assert!(
        served(0) >= served(1) - 0.05,
        "the more urgent: {}, {}",
        served(0),
        served(1)
    );
    assert!(
        in_time(0) >= in_time(1) - 0.15,
        "the more urgent in time: {}, {}",
        in_time(0),
        in_time(1)
    );
    assert!(
        served(1) >= all / 4.0,
        "the less urgent: {} of {all}",
        served(1)
    );
}

#[test]
fn one_team_with_half_of_the_demand() {
    let kinds = [Kind {
        demand: |_| 1.4,
        first_team: 0.5,
        ..Kind::default()
    }];
    let records = played(&kinds, on(), 16);
    let of = |is_first: bool, counts: fn(&Record) -> bool| {
        let team = within(&records, 4..14).filter(|r| (r.team == 0) == is_first);
        share(team, counts)
    };
    let all = share(within(&records, 4..14), Record::is_served);
    let (first, others) = (of(true, Record::is_served), of(false, Record::is_served));
    let refused = |record: &Record| {
        record
            .refused
            .first()
            .is_some_and(|(.., reason)| *reason == Reason::OverShare)
    };
    let others_over_share = of(false, refused);
    assert!(
        others_over_share < 0.01,
        "others over their share: {others_over_share}"
    );
    assert!(
        others > first,
        "others: {others}, the largest team: {first}"
    );
    assert!(first >= all / 4.0, "the largest team: {first} of {all}");
}

#[test]
fn late_requests_with_free_room() {
    let kinds = [Kind {
        demand: |_| 0.5,
        late: true,
        ..Kind::default()
    }];
    let records = played(&kinds, on(), 8);
    let refused = within(&records, 0..6)
        .filter(|r| !r.refused.is_empty())
        .count();
    assert_eq!(refused, 0);
}

#[test]
fn only_low_priority_comes() {
    let played_at = |priority| {
        let kinds = [Kind {
            priority,
            ..Kind::default()
        }];
        let records = played(&kinds, on(), 8);
        records.iter().filter(|r| r.is_in_time(&kinds)).count()
    };
    assert_eq!(played_at(7), played_at(0));
}

#[test]
fn large_requests_are_not_refused_more_often() {
    let mut tokens = [400; 10];
    tokens[9] = 6_000;
    let kinds = [Kind {
        demand: |_| 1.3,
        tokens,
        ..Kind::default()
    }];
    let records = played(&kinds, on(), 14);
    let all = share(within(&records, 2..12), Record::is_served);
    let largest = within(&records, 2..12).filter(|r| r.tokens == 6_000);
    let largest = share(largest, Record::is_served);
    assert!(
        largest >= all / 2.0,
        "the largest tenth: {largest} of {all}"
    );
}

#[test]
fn refused_callers_return_spread() {
    let kinds = [Kind {
        demand: burst,
        ..Kind::default()
    }];
    let records = played(&kinds, on(), 14);
    let refused = records.iter().filter(|r| !r.refused.is_empty());
    let mut returns: Vec<Time> = Vec::new();
    for record in refused {
        let (at, after, _) = record.refused[0];
        let left = DEADLINE.saturating_sub(at.since(record.arrived));
        assert!(after <= left / 3, "{after:?} of {left:?}");
        returns.push(at + after);
    }
    let at_once = |start: Time| {
        returns
            .iter()
            .filter(move |t| **t >= start && t.since(start) < ms(100))
    };
    let most = returns
        .iter()
        .map(|t| at_once(*t).count())
        .max()
        .unwrap_or(0);
    println!(
        "{most} of {}; twice {}; served {}",
        returns.len(),
        records.iter().filter(|r| r.refused.len() > 1).count(),
        share(
            records.iter().filter(|r| !r.refused.is_empty()),
            Record::is_served
        )
    );
    assert!(
        most * 10 <= returns.len(),
        "{most} of {} at once",
        returns.len()
    );
}

fn config() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(41),
        cases: 256,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn shares_add_up_to_the_room(
        asked in proptest::collection::vec(0.0..100.0_f64, 1..30),
        room in 0.0..2_000.0_f64,
    ) {
        let level = fair_level(asked.iter().copied(), room);
        let given: f64 = asked.iter().map(|ask| ask.min(level)).sum();
        let all: f64 = asked.iter().sum();
        prop_assert!((given - all.min(room)).abs() < 1e-6, "{given} of {room}, asked {all}");
    }

    #[test]
    fn odd_amounts_have_a_level(
        asked in proptest::collection::vec(any::<f64>(), 0..10),
        room in any::<f64>(),
    ) {
        let level = fair_level(asked, room);
        prop_assert!(level >= 0.0, "{level}");
    }
}

proptest! {
    #![proptest_config(Config { cases: 8, ..config() })]

    #[test]
    fn work_of_one_entry_never_exceeds_slots_and_queue(
        seed in any::<u32>(),
        demand in 0..3_usize,
        tokens in 1..20_000_u64,
    ) {
        let demands: [fn(Time) -> f64; 3] = [|_| 0.9, |_| 1.5, |_| 4.0];
        let kinds = [
            Kind { priority: 0, demand: demands[demand], ..Kind::default() },
            Kind { goal: ms(1_000), demand: |_| 0.5, tokens: [tokens; 10], ..Kind::default() },
        ];
        let mut fleet = Fleet::new(1, 2, kinds.to_vec(), on(), u64::from(seed));
        fleet.run(5);
        let slots = engine().slots as usize;
        prop_assert!(fleet.most_on_a_worker <= slots + slots.div_ceil(4));
    }
}

#[test]
fn absurd_reports_of_teams_are_not_believed() {
    let kinds = [Kind {
        demand: |_| 1.3,
        ..Kind::default()
    }];
    let mut fleet = Fleet::new(2, 4, kinds.to_vec(), on(), SEED);
    let odd = [f64::NAN, f64::INFINITY, -1.0, f64::MAX];
    fleet.reports = odd
        .map(|tokens| TeamWork {
            service: "llm".parse().unwrap(),
            model: Some("large".parse().unwrap()),
            team: "team1".parse().unwrap(),
            tokens,
        })
        .into();
    let records = fleet.run(12);
    let over_share = records
        .iter()
        .filter(|record| record.team == 1)
        .flat_map(|record| &record.refused)
        .filter(|(.., reason)| *reason == Reason::OverShare);
    let all = records.iter().filter(|record| record.team == 1).count();
    assert!(over_share.count() * 4 <= all);
}

#[test]
fn more_demand_than_room_serves_most_in_time() {
    let kinds = [Kind {
        demand: |_| 1.2,
        ..Kind::default()
    }];
    let records = played(&kinds, on(), 14);
    let served = within(&records, 2..12).filter(|record| record.is_served());
    let in_time = share(served, |record| record.is_in_time(&kinds));
    assert!(in_time >= 0.75, "in time of those served: {in_time}");
}
