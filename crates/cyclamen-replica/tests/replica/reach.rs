//! Tests of the decision whether an entry has lost its path to a service.

use std::time::Duration;

use cyclamen_replica::{Change, Reach};
use cyclamen_types::{Time, pool};

/// What an entry learns of its path to a service.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// A worker responded.
    Success,
    /// A worker failed.
    Failure(&'static str),
    /// The probes that check the path begin.
    Check,
    /// One of the two probes failed.
    CheckFailed,
}

use Event::{Check, CheckFailed, Failure, Success};

fn service() -> pool::Service {
    "llm".parse().unwrap()
}

/// Returns whether an entry is cut off after these events, which happen in consecutive
/// milliseconds.
fn is_cut_off(events: &[Event], all_failed: bool, others_reach: bool) -> bool {
    let mut reach = Reach::default();
    for (now, event) in (1..).map(Time::from_millis).zip(events) {
        match event {
            Success => {
                reach.record_success(now, &service());
            }
            Failure(name) => {
                reach.record_failure(&service(), &name.parse().unwrap());
            }
            Check => reach.record_check(now, &service(), 2),
            CheckFailed => {
                reach.record_failed_check(&service());
            }
        }
        reach.judge(now, &service(), all_failed, others_reach);
    }
    reach.cut_off_since(&service()).is_some()
}

macro_rules! decides {
    ($($name:ident: $events:expr, $all_failed:expr, $others_reach:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(is_cut_off(&$events, $all_failed, $others_reach), $expected);
            }
        )*
    };
}

decides! {
    two_failed_workers_that_others_reach_are_a_cut:
        [Success, Failure("a"), Check, Failure("b"), CheckFailed, CheckFailed], false, true => true;
    the_only_failed_worker_that_others_reach_is_a_cut:
        [Failure("a"), Check, CheckFailed, CheckFailed], true, true => true;
    one_of_several_workers_is_no_cut:
        [Failure("a"), Failure("a"), Check, CheckFailed, CheckFailed], false, true => false;
    failed_workers_are_no_cut_until_the_path_is_checked:
        [Failure("a"), Failure("b"), Check, CheckFailed], false, true => false;
    failed_workers_that_nobody_reaches_are_no_cut:
        [Failure("a"), Failure("b"), Check, CheckFailed, CheckFailed], true, false => false;
    failed_workers_beside_one_that_responds_are_no_cut:
        [Failure("a"), Check, Failure("b"), CheckFailed, Success, Failure("c")], false, true => false;
    a_worker_that_responds_ends_a_cut:
        [Failure("a"), Failure("b"), Check, CheckFailed, CheckFailed, Success], false, true => false;
    another_check_does_not_end_a_cut:
        [Failure("a"), Failure("b"), Check, CheckFailed, CheckFailed, Check], false, true => true;
    a_service_without_failures_is_no_cut: [Success], true, true => false;
}

#[test]
fn the_beginning_and_the_end_of_a_cut_are_told_once() {
    let (mut reach, service) = (Reach::default(), service());
    for name in ["a", "b"] {
        reach.record_failure(&service, &name.parse().unwrap());
    }
    reach.record_check(Time::from_millis(5), &service, 1);
    reach.record_failed_check(&service);
    let begin = Time::from_millis(10);
    assert_eq!(
        reach.judge(begin, &service, false, true),
        Some(Change::CutOff)
    );
    assert_eq!(reach.judge(begin, &service, false, true), None);
    assert_eq!(reach.cut_off_count(), 1);
    let end = Time::from_millis(40);
    let reached = Change::Reached(Duration::from_millis(30));
    assert_eq!(reach.record_success(end, &service), Some(reached));
    assert_eq!(reach.judge(end, &service, false, true), None);
    assert_eq!(reach.cut_off_count(), 0);
}

/// Guards against a cut that seems to end because a worker is listed that was not tried yet.
#[test]
fn a_new_worker_does_not_end_a_cut() {
    let (mut reach, service, now) = (Reach::default(), service(), Time::from_millis(5));
    reach.record_failure(&service, &"a".parse().unwrap());
    reach.record_check(now, &service, 1);
    reach.record_failed_check(&service);
    assert_eq!(reach.judge(now, &service, true, true), Some(Change::CutOff));
    assert_eq!(reach.judge(now, &service, false, true), None);
}

#[test]
fn a_path_in_doubt_is_checked_every_200_ms() {
    let (mut reach, service) = (Reach::default(), service());
    reach.record_failure(&service, &"a".parse().unwrap());
    let mut checks = 0;
    for now in (0..1_000).step_by(10).map(Time::from_millis) {
        if reach.is_check_due(now, &service) {
            checks += 1;
            reach.record_check(now, &service, 1);
            reach.record_failed_check(&service);
        }
    }
    assert_eq!(checks, 5);
    reach.record_success(Time::from_millis(1_000), &service);
    assert!(!reach.is_check_due(Time::from_millis(2_000), &service));
}
