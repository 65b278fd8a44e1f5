//! Tests of the failure detector with local probes and with suspicions of other entries.

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

/// Sends what one entry knows of workers to another one.
fn report(now: Time, from: &Detector, name: &str, to: &mut Detector) -> Vec<Start> {
    let suspected: Vec<Start> = from.local_suspicions(now).cloned().collect();
    let reached: Vec<Start> = from.reached(now).cloned().collect();
    to.record_report(now, &entry(name), suspected, reached)
}

/// Exchanges the local suspicions of two entries, as gossip between entries does.
fn exchange(now: Time, one: &mut Detector, other: &mut Detector) {
    report(now, one, "one", other);
    report(now, other, "other", one);
}

#[test]
fn a_false_suspicion_does_not_spread() {
    let worker = start("w");
    let (mut one, mut other) = (Detector::default(), Detector::default());
    one.suspect(at(0), &worker);
    exchange(at(10), &mut one, &mut other);
    assert!(other.is_suspected(&worker));
    // The worker responds to the probes of both entries; no report may raise the suspicion again.
    other.restore(at(20), &worker);
    one.restore(at(30), &worker);
    for round in 0..20 {
        exchange(at(40 + round * 50), &mut one, &mut other);
        assert!(!one.is_suspected(&worker), "round {round}");
        assert!(!other.is_suspected(&worker), "round {round}");
    }
}

#[test]
fn a_reported_suspicion_triggers_one_probe() {
    let worker = start("w");
    let mut detector = Detector::default();
    let suspected = [worker.clone()];
    assert_eq!(
        detector.record_report(at(0), &entry("other"), suspected.clone(), []),
        vec![worker.clone()]
    );
    assert!(
        detector
            .record_report(at(10), &entry("other"), suspected, [])
            .is_empty()
    );
    assert_eq!(detector.local_suspicions(at(10)).count(), 0);
}

#[test]
fn a_successful_probe_overrides_reported_suspicions_for_a_while() {
    let worker = start("w");
    let mut detector = Detector::default();
    detector.restore(at(0), &worker);
    let suspected = [worker.clone()];
    assert!(
        detector
            .record_report(at(500), &entry("other"), suspected.clone(), [])
            .is_empty()
    );
    assert!(!detector.is_suspected(&worker));
    assert_eq!(
        detector
            .record_report(at(1_500), &entry("other"), suspected, [])
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
                let suspected: BTreeSet<Start> = $others.into_iter().map(start).collect();
                detector.record_report(at(1), &entry("other"), suspected, []);
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

macro_rules! probe_due {
    ($($name:ident: $first:expr, $last:expr, $reported:expr, $near:expr => $due:expr;)*) => {
        $(
            /// Checks at 10 s. The arguments are the times in milliseconds of the first and the
            /// last failed probe and of a report.
            #[test]
            fn $name() {
                let worker = start("w");
                let mut detector = Detector::default();
                detector.suspect(at($first), &worker);
                detector.suspect(at($last), &worker);
                detector.record_report(at($reported), &entry("other"), [worker.clone()], []);
                assert_eq!(detector.is_probe_due(at(10_000), &worker, $near), $due);
            }
        )*
    };
}

probe_due! {
    a_new_suspicion_is_probed_at_the_fast_interval: 9_500, 9_750, 9_750, true => true;
    a_new_suspicion_is_not_probed_before_the_fast_interval: 9_500, 9_800, 9_800, true => false;
    an_old_suspicion_is_probed_at_the_slow_interval: 5_000, 9_000, 9_900, true => true;
    an_old_suspicion_is_not_probed_before_the_slow_interval: 5_000, 9_500, 9_900, true => false;
    reports_replace_probes_of_a_worker_that_is_not_near: 9_500, 9_500, 9_900, false => false;
    a_worker_that_is_not_near_is_probed_without_reports: 5_000, 8_500, 8_500, false => true;
}

/// Guards against two entries that no longer probe a worker but keep confirming the suspicion
/// through each other's reports.
#[test]
fn a_suspicion_expires_without_probes() {
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
fn a_suspicion_that_is_not_confirmed_expires() {
    let worker = start("w");
    let mut detector = Detector::default();
    detector.suspect(at(0), &worker);
    assert!(!detector.expire(at(2_900)));
    assert!(detector.expire(at(0) + Duration::from_secs(3)));
    assert!(!detector.is_suspected(&worker));
}

#[test]
fn an_expired_report_does_not_confirm_a_suspicion() {
    let worker = start("w");
    let mut detector = Detector::default();
    detector.record_report(at(0), &entry("silent"), [worker.clone()], []);
    detector.restore(at(10), &worker);
    // The other entry has not reported since.
    detector.suspect(at(5_000), &worker);
    assert!(!detector.is_failed(at(5_001), &worker));
    detector.record_report(at(5_100), &entry("silent"), [worker.clone()], []);
    assert!(detector.is_failed(at(5_101), &worker));
}

macro_rules! reached {
    ($($name:ident: $probed:expr, $checked:expr => $failed:expr;)*) => {
        $(
            /// One entry suspects a worker from 0 ms on. The other one, which hears of it at 10 ms,
            /// reaches it at these times in milliseconds.
            #[test]
            fn $name() {
                let worker = start("w");
                let (mut one, mut other) = (Detector::default(), Detector::default());
                one.suspect(at(0), &worker);
                for now in (10..=$checked).step_by(50) {
                    if now % 250 == 10 {
                        one.suspect(at(now), &worker);
                    }
                    if !report(at(now), &one, "one", &mut other).is_empty() && $probed.contains(&now) {
                        other.restore(at(now), &worker);
                    }
                    report(at(now), &other, "other", &mut one);
                    one.expire(at(now));
                    other.expire(at(now));
                }
                assert!(one.is_suspected(&worker));
                assert_eq!(one.is_failed(at($checked), &worker), $failed);
            }
        )*
    };
}

reached! {
    a_worker_that_another_entry_reaches_has_not_failed: 0..=10_000, 5_000 => false;
    a_worker_that_another_entry_reaches_no_longer_has_failed: 0..=1_000, 5_000 => true;
    a_worker_that_no_other_entry_reaches_has_failed: 0..=0, 1_000 => true;
}

/// Guards against a worker that counts as failed for a moment, though another entry reaches it, each
/// time that entry has to probe it again: the response to a probe arrives after the response to the
/// gossip that caused it.
#[test]
fn a_worker_that_another_entry_reaches_never_fails_between_its_probes() {
    let worker = start("w");
    let (mut one, mut other) = (Detector::default(), Detector::default());
    one.suspect(at(0), &worker);
    let mut failed_at = Vec::new();
    for now in (10..=5_000).step_by(50) {
        if now % 250 == 10 {
            one.suspect(at(now), &worker);
        }
        let is_probed = !report(at(now), &one, "one", &mut other).is_empty();
        report(at(now), &other, "other", &mut one);
        if is_probed {
            other.restore(at(now + 20), &worker);
        }
        if one.is_failed(at(now + 30), &worker) {
            failed_at.push(now);
        }
        one.expire(at(now + 30));
        other.expire(at(now + 30));
    }
    assert_eq!(failed_at, Vec::<u64>::new());
}

/// Guards against a suspicion of another entry, which may have lost its path, that takes work from
/// a worker that responded a moment ago.
#[test]
fn a_reported_suspicion_takes_no_work_from_a_worker_that_responded_lately() {
    let worker = start("w");
    let mut detector = Detector::default();
    detector.record_contact(at(0), &worker);
    let suspected = [worker.clone()];
    let to_probe = detector.record_report(at(1_000), &entry("other"), suspected.clone(), []);
    assert_eq!(to_probe, suspected);
    assert!(!detector.is_suspected(&worker));
    detector.suspect(at(1_240), &worker);
    assert!(detector.is_suspected(&worker));
}

#[test]
fn a_reported_suspicion_takes_work_from_a_worker_that_has_not_responded_lately() {
    let worker = start("w");
    let mut detector = Detector::default();
    detector.record_contact(at(0), &worker);
    detector.record_report(at(3_000), &entry("other"), [worker.clone()], []);
    assert!(detector.is_suspected(&worker));
}

/// Guards against a worker that counts as failed in the moment in which another entry, which
/// reaches it, probes it again.
#[test]
fn a_worker_that_another_entry_reaches_has_not_failed_while_it_is_probed_again() {
    let worker = start("w");
    let (mut one, mut other) = (Detector::default(), Detector::default());
    let mut probed = Vec::new();
    for now in (0..6_000).step_by(20).map(at) {
        for worker in probed.drain(..) {
            other.restore(now, &worker);
        }
        if now.since(at(0)).as_millis().is_multiple_of(200) {
            one.suspect(now, &worker);
        }
        other.expire(now);
        report(now, &other, "other", &mut one);
        probed.extend(report(now, &one, "one", &mut other));
        assert!(!one.is_failed(now, &worker), "at {now:?}");
    }
}

/// Guards against workers that count as failed as soon as an entry that had lost its path to them
/// reaches one of them again.
#[test]
fn a_suspicion_of_an_entry_that_had_no_path_counts_as_new_when_the_path_is_back() {
    let (concerned, other) = (start("v"), start("w"));
    let mut detector = Detector::default();
    detector.suspect(at(0), &concerned);
    detector.suspect(at(0), &other);
    detector.renew_suspicions(at(1_000), |start| *start == concerned);
    assert!(detector.is_suspected(&concerned));
    assert!(!detector.is_failed(at(1_001), &concerned));
    assert!(detector.is_failed(at(1_001), &other));
    assert!(detector.is_failed(at(1_600), &concerned));
}
