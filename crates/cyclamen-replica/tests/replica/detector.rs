//! Which workers count as failed, by own questions and by the suspicions of others.

use std::collections::BTreeSet;
use std::time::Duration;

use cyclamen_replica::{Detector, Start};
use cyclamen_types::{Time, entry, instance};

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn start(name: &str) -> Start {
    Start {
        instance: name.parse().unwrap(),
        incarnation: instance::Incarnation(1),
    }
}

fn entry(name: &str) -> entry::Name {
    name.parse().unwrap()
}

/// Two entries that report their suspicions to each other, as news does.
fn exchange(now: Time, one: &mut Detector, other: &mut Detector) {
    let told: Vec<Start> = one.local_suspicions(now).cloned().collect();
    other.record_report(now, &entry("one"), told);
    let told: Vec<Start> = other.local_suspicions(now).cloned().collect();
    one.record_report(now, &entry("other"), told);
}

#[test]
fn a_wrong_suspicion_does_not_spread() {
    let worker = start("w");
    let (mut one, mut other) = (Detector::default(), Detector::default());
    one.suspect(at(0), &worker);
    exchange(at(10), &mut one, &mut other);
    assert!(other.is_suspected(&worker));
    // The worker answers both; no report may bring the suspicion back.
    other.restore(at(20), &worker);
    one.restore(at(30), &worker);
    for round in 0..20 {
        exchange(at(40 + round * 50), &mut one, &mut other);
        assert!(!one.is_suspected(&worker), "round {round}");
        assert!(!other.is_suspected(&worker), "round {round}");
    }
}

#[test]
fn a_reported_suspicion_makes_an_entry_ask_once() {
    let worker = start("w");
    let mut detector = Detector::default();
    let told = [worker.clone()];
    assert_eq!(
        detector.record_report(at(0), &entry("other"), told.clone()),
        vec![worker.clone()]
    );
    assert!(
        detector
            .record_report(at(10), &entry("other"), told)
            .is_empty()
    );
    assert_eq!(detector.local_suspicions(at(10)).count(), 0);
}

#[test]
fn an_answer_outweighs_reported_suspicions_for_a_while() {
    let worker = start("w");
    let mut detector = Detector::default();
    detector.restore(at(0), &worker);
    let told = [worker.clone()];
    assert!(
        detector
            .record_report(at(500), &entry("other"), told.clone())
            .is_empty()
    );
    assert!(!detector.is_suspected(&worker));
    assert_eq!(
        detector
            .record_report(at(1_500), &entry("other"), told)
            .len(),
        1
    );
}

macro_rules! failed {
    ($($name:ident: $others:expr, $after:expr => $failed:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let worker = start("w");
                let mut detector = Detector::default();
                detector.suspect(at(0), &worker);
                let told: BTreeSet<Start> = $others.into_iter().map(start).collect();
                detector.record_report(at(1), &entry("other"), told);
                assert_eq!(detector.is_failed(at($after), &worker), $failed);
            }
        )*
    };
}

failed! {
    a_worker_that_two_entries_suspect_has_failed_at_once: ["w"], 2 => true;
    a_worker_that_one_entry_suspects_has_not_failed_at_once: [], 500 => false;
    a_worker_that_one_entry_suspects_for_long_has_failed: [], 600 => true;
    suspicions_of_another_worker_do_not_count: ["v"], 2 => false;
}

macro_rules! asked_again {
    ($($name:ident: $since:expr, $asked:expr, $told:expr, $near:expr => $due:expr;)*) => {
        $(
            /// At 10 s, after the first and the last unanswered question and a report.
            #[test]
            fn $name() {
                let worker = start("w");
                let mut detector = Detector::default();
                detector.suspect(at($since), &worker);
                detector.suspect(at($asked), &worker);
                detector.record_report(at($told), &entry("other"), [worker.clone()]);
                assert_eq!(detector.is_probe_due(at(10_000), &worker, $near), $due);
            }
        )*
    };
}

asked_again! {
    a_new_suspicion_is_checked_soon: 9_500, 9_750, 9_750, true => true;
    a_new_suspicion_is_not_checked_all_the_time: 9_500, 9_800, 9_800, true => false;
    an_old_suspicion_is_checked_now_and_then: 5_000, 9_000, 9_900, true => true;
    an_old_suspicion_is_not_checked_often: 5_000, 9_500, 9_900, true => false;
    reports_are_enough_for_a_worker_far_away: 9_500, 9_500, 9_900, false => false;
    without_reports_a_worker_far_away_is_asked: 5_000, 8_500, 8_500, false => true;
}

/// Entries that do not ask any more may not keep a suspicion alive for each other.
#[test]
fn reports_without_questions_end() {
    let worker = start("w");
    let mut entries = [(); 2].map(|()| Detector::default());
    for detector in &mut entries {
        detector.suspect(at(0), &worker);
    }
    let [one, other] = &mut entries;
    for round in 0..100 {
        let now = at(round * 100);
        exchange(now, one, other);
        one.expire(now);
        other.expire(now);
    }
    assert!(!one.is_suspected(&worker) && !other.is_suspected(&worker));
}

#[test]
fn a_suspicion_that_is_not_confirmed_is_forgotten() {
    let worker = start("w");
    let mut detector = Detector::default();
    detector.suspect(at(0), &worker);
    assert!(!detector.expire(at(2_900)));
    assert!(detector.expire(at(0) + Duration::from_secs(3)));
    assert!(!detector.is_suspected(&worker));
}

#[test]
fn an_old_report_is_no_second_opinion() {
    let worker = start("w");
    let mut detector = Detector::default();
    detector.record_report(at(0), &entry("silent"), [worker.clone()]);
    detector.restore(at(10), &worker);
    // The other entry has said nothing since.
    detector.suspect(at(5_000), &worker);
    assert!(!detector.is_failed(at(5_001), &worker));
    detector.record_report(at(5_100), &entry("silent"), [worker.clone()]);
    assert!(detector.is_failed(at(5_101), &worker));
}
