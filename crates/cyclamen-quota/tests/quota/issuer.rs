//! The bound that an issuer keeps, and who gets what.

use cyclamen_quota::{Ask, Decision, Issuer};

use crate::{FIRST, SECOND, at, rate, worker};

fn ask(per_second: f64, priority: u8) -> Ask {
    Ask {
        instance: worker(),
        incarnation: FIRST,
        rate: rate(per_second),
        priority,
    }
}

/// Asks every millisecond from `from` to `to`, and returns the times at which permits were issued.
fn ask_all(issuer: &mut Issuer, from: u64, to: u64, ask: &Ask) -> Vec<u64> {
    let times = from..to;
    times
        .filter(|time| issuer.issue(at(*time), ask) == Decision::Issued)
        .collect()
}

/// Returns the largest number of times in a window of this many milliseconds.
fn most_in(times: &[u64], window: u64) -> usize {
    let ends = times
        .iter()
        .map(|first| times.partition_point(|t| *t < first + window));
    let counts = ends.enumerate().map(|(index, end)| end - index);
    counts.max().unwrap_or(0)
}

macro_rules! rates {
    ($($name:ident: $rate:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut issuer = Issuer::default();
            let times = ask_all(&mut issuer, 0, 60_000, &ask($rate, 1));
            // What the rule allows in 4 s, and at least nine tenths of the limit over all.
            assert!(most_in(&times, 4_000) as f64 <= 6.0 * $rate + 5.0);
            assert!(times.len() as f64 >= (0.9 * 60.0 * $rate as f64).floor(), "{}", times.len());
        }
    )*};
}

rates! {
    a_rate_of_zero_issues_nothing: 0.0;
    a_small_fraction_is_served: 0.1;
    a_fraction_is_served: 0.4;
    a_fraction_above_one_is_not_rounded: 4.9;
    a_high_rate_is_kept: 36.0;
    a_very_high_rate_is_kept: 400.0;
}

#[test]
fn a_rate_of_zero_issues_nothing_to_anyone() {
    let mut issuer = Issuer::default();
    assert_eq!(ask_all(&mut issuer, 0, 5_000, &ask(4.0, 1)).len(), 19);
    assert!(ask_all(&mut issuer, 5_000, 9_000, &ask(0.0, 0)).is_empty());
}

#[test]
fn a_worker_at_rest_saves_up_little() {
    let mut issuer = Issuer::default();
    ask_all(&mut issuer, 0, 1, &ask(10.0, 1));
    let times = ask_all(&mut issuer, 30_000, 30_001, &ask(10.0, 1)).len()
        + (0..10)
            .filter(|_| issuer.issue(at(30_001), &ask(10.0, 1)) == Decision::Issued)
            .count();
    assert_eq!(times, 3);
}

#[test]
fn a_restarted_worker_begins_anew() {
    let mut issuer = Issuer::default();
    ask_all(&mut issuer, 0, 1_000, &ask(1.0, 1));
    let restarted = Ask {
        incarnation: SECOND,
        ..ask(1.0, 1)
    };
    assert!(matches!(
        issuer.issue(at(1_000), &restarted),
        Decision::Denied(_)
    ));
    assert_eq!(issuer.issue(at(1_000), &ask(1.0, 1)), Decision::Issued);
}

/// Returns how many of the permits of a minute go to requests of each priority, all of which are asked
/// for all the time.
fn shares(priorities: [u8; 2]) -> [usize; 2] {
    let mut issuer = Issuer::default();
    let mut counts = [0, 0];
    for time in 0..60_000 {
        for (count, priority) in counts.iter_mut().zip(priorities) {
            let decision = issuer.issue(at(time), &ask(4.0, priority));
            *count += usize::from(decision == Decision::Issued);
        }
    }
    counts
}

#[test]
fn the_most_urgent_requests_come_first_and_none_starves() {
    let [less_urgent, urgent] = shares([3, 0]);
    assert!(urgent >= 2 * less_urgent, "{urgent} and {less_urgent}");
    assert!(less_urgent >= 240 / 5, "{less_urgent} of 240");
}

#[test]
fn entries_that_are_denied_are_told_different_times() {
    let mut issuer = Issuer::default();
    let mut waits = Vec::new();
    for _ in 0..3 {
        match issuer.issue(at(0), &ask(10.0, 1)) {
            Decision::Denied(wait) => waits.push(wait.as_millis()),
            Decision::Issued => panic!("a worker begins without permits"),
        }
    }
    assert_eq!(waits, [100, 200, 300]);
}
