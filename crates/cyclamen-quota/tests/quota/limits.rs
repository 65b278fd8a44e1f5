//! How limits are set, changed and lifted, by responses and by gossip.

use std::time::Duration;

use cyclamen_quota::{Change, Limits, Naming, Report};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::{FIRST, SECOND, at, rate, worker};

/// Something that an entry learns of the limit of a worker, at a time in milliseconds.
enum Step {
    /// A response at the first time to a request sent at the second one names this limit.
    Names(u64, u64, f64),
    /// It names none.
    NamesNone(u64, u64),
    /// It names one that cannot be read.
    Unclear(u64, u64),
    /// Gossip at this time, of this age in milliseconds, names a limit or none.
    Told(u64, u64, Option<f64>),
}

use Step::{Names, NamesNone, Told, Unclear};

fn apply(limits: &mut Limits, step: &Step) -> Option<Change> {
    let id = worker();
    let worker = (&id, FIRST);
    match *step {
        Names(now, sent, limit) => {
            limits.record_response(at(now), at(sent), worker, Naming::Limit(rate(limit)))
        }
        NamesNone(now, sent) => limits.record_response(at(now), at(sent), worker, Naming::None),
        Unclear(now, sent) => limits.record_response(at(now), at(sent), worker, Naming::Unclear),
        Told(now, age, limit) => {
            let report = Report {
                instance: id.clone(),
                incarnation: FIRST,
                limit: limit.map(rate),
                age: Duration::from_millis(age),
            };
            limits.record_report(at(now), &report)
        }
    }
}

macro_rules! histories {
    ($($name:ident: [$($step:expr),*] => $limit:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut limits = Limits::default();
            for step in [$($step),*] {
                apply(&mut limits, &step);
            }
            let limit: Option<f64> = $limit;
            let known = limits.get(&worker(), FIRST).map(|rate| rate.per_second());
            assert_eq!(known, limit);
        }
    )*};
}

histories! {
    nothing_is_known_at_first: [] => None;
    a_response_names_a_limit: [Names(10_000, 9_990, 4.0)] => Some(4.0);
    a_lower_limit_counts_at_once: [Names(10_000, 9_990, 4.0), Names(10_010, 9_980, 2.0)] => Some(2.0);
    a_higher_limit_counts_in_a_later_response:
        [Names(10_000, 9_990, 4.0), Names(10_020, 10_001, 6.0)] => Some(6.0);
    a_higher_limit_in_an_earlier_response_does_not:
        [Names(10_000, 9_990, 4.0), Names(10_020, 9_980, 6.0)] => Some(4.0);
    a_later_response_without_a_limit_lifts_it:
        [Names(10_000, 9_990, 4.0), NamesNone(10_020, 10_001)] => None;
    a_response_to_a_request_sent_before_the_naming_does_not_lift_it:
        [Names(10_000, 9_990, 4.0), NamesNone(10_020, 9_999)] => Some(4.0);
    a_limit_that_cannot_be_read_does_not_lift_one:
        [Names(10_000, 9_990, 4.0), Unclear(10_020, 10_001)] => Some(4.0);
    a_limit_that_cannot_be_read_sets_none: [Unclear(10_020, 10_001)] => None;
    a_lifted_limit_is_named_again:
        [Names(10_000, 9_990, 4.0), NamesNone(10_020, 10_001), Names(10_030, 10_010, 3.0)] => Some(3.0);
    gossip_tells_a_limit: [Told(10_000, 500, Some(4.0))] => Some(4.0);
    gossip_of_a_lower_limit_counts_at_once:
        [Names(10_000, 9_990, 4.0), Told(10_010, 0, Some(2.0))] => Some(2.0);
    gossip_lifts_a_limit_that_was_named_long_before:
        [Names(10_000, 9_990, 4.0), Told(12_000, 0, None)] => None;
    gossip_that_may_be_delayed_does_not_lift_it:
        [Names(10_000, 9_990, 4.0), Told(10_900, 0, None)] => Some(4.0);
    old_gossip_does_not_lift_it: [Names(10_000, 9_990, 4.0), Told(20_000, 9_500, None)] => Some(4.0);
    old_gossip_does_not_set_a_lifted_one:
        [Names(10_000, 9_990, 4.0), NamesNone(10_020, 10_001), Told(12_000, 2_500, Some(4.0))] => None;
    old_gossip_does_not_raise_it:
        [Names(10_000, 9_990, 4.0), Told(20_000, 9_500, Some(6.0))] => Some(4.0);
    fresh_gossip_raises_it: [Names(10_000, 9_990, 4.0), Told(12_000, 100, Some(6.0))] => Some(6.0);
    gossip_of_a_lift_of_an_unknown_limit_is_ignored: [Told(10_000, 0, None)] => None;
}

#[test]
fn a_restarted_worker_has_no_limit() {
    let mut limits = Limits::default();
    apply(&mut limits, &Names(10_000, 9_990, 4.0));
    assert_eq!(limits.get(&worker(), SECOND), None);
    limits.retain(|_, incarnation| incarnation == SECOND);
    assert_eq!(limits.get(&worker(), FIRST), None);
}

#[test]
fn changes_are_told_once() {
    let mut limits = Limits::default();
    let steps = [
        (Names(10, 5, 4.0), Some(Change::Named(rate(4.0)))),
        (Names(20, 15, 4.0), None),
        (
            Names(30, 25, 2.0),
            Some(Change::Changed {
                from: rate(4.0),
                to: rate(2.0),
            }),
        ),
        (NamesNone(40, 35), Some(Change::Lifted(rate(2.0)))),
        (NamesNone(50, 45), None),
    ];
    for (step, change) in &steps {
        assert_eq!(apply(&mut limits, step), *change);
    }
}

#[test]
fn gossip_carries_the_age_of_what_was_named() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut limits = Limits::default();
    apply(&mut limits, &Names(10_000, 9_990, 4.0));
    let reports = limits.to_gossip(at(10_700), 10, &mut rng);
    assert_eq!(reports[0].age, Duration::from_millis(700));
    let mut other = Limits::default();
    other.record_report(at(500_000), &reports[0]);
    assert_eq!(other.get(&worker(), FIRST), Some(rate(4.0)));
    assert_eq!(limits.to_gossip(at(10_700), 0, &mut rng), []);
}

#[test]
fn a_lifted_limit_is_told_for_a_while() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut limits = Limits::default();
    apply(&mut limits, &Names(10_000, 9_990, 4.0));
    apply(&mut limits, &NamesNone(10_100, 10_050));
    assert_eq!(limits.to_gossip(at(12_000), 10, &mut rng)[0].limit, None);
    assert_eq!(limits.to_gossip(at(15_100), 10, &mut rng), []);
}

#[test]
fn a_worker_that_names_nothing_for_a_while_is_to_be_asked() {
    let mut limits = Limits::default();
    apply(&mut limits, &Names(10_000, 9_990, 0.0));
    assert_eq!(limits.unconfirmed(at(11_900)).count(), 0);
    assert_eq!(limits.unconfirmed(at(12_000)).count(), 1);
    apply(&mut limits, &Names(12_010, 12_000, 0.0));
    assert_eq!(limits.unconfirmed(at(12_020)).count(), 0);
}
