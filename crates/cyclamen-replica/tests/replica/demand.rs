//! Tests of the measured demand, of its sum over all entries, and of the groups that it needs.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_replica::{Demand, Meter, Report, needs, total};
use cyclamen_types::{Time, model, pool};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use crate::simulation::engine;

fn service() -> pool::Service {
    "llm".parse().unwrap()
}

fn name(model: &str) -> model::Name {
    model.parse().unwrap()
}

fn demand(model: &str, requests: f64) -> Demand {
    Demand {
        service: service(),
        model: name(model),
        requests,
        prompt_tokens: requests * 700.0,
        answer_tokens: requests * 100.0,
        refused: 0.0,
    }
}

/// Returns the requests per second of `small` at all of `entries` entries; each report is the
/// requests and the age in milliseconds.
fn sum(entries: usize, reports: &[(f64, u64)]) -> Option<f64> {
    let demands: Vec<_> = reports
        .iter()
        .map(|(requests, _)| vec![demand("small", *requests)])
        .collect();
    let reports = reports
        .iter()
        .zip(&demands)
        .map(|((_, age), demands)| Report {
            demands,
            age: Duration::from_millis(*age),
        });
    let sums = total(entries, &service(), reports)?;
    Some(sums[&name("small")].requests)
}

fn is_about(value: f64, expected: f64) -> bool {
    (value - expected).abs() <= 0.1 * expected.max(1.0)
}

macro_rules! sums {
    ($($name:ident: $entries:expr, $reports:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let sum = sum($entries, &$reports);
                let expected: Option<f64> = $expected;
                let same = match (sum, expected) {
                    (Some(sum), Some(expected)) => is_about(sum, expected),
                    (sum, expected) => sum.is_none() && expected.is_none(),
                };
                assert!(same, "{sum:?}, not {expected:?}");
            }
        )*
    };
}

sums! {
    every_entry_counts: 3, [(10.0, 0), (20.0, 0), (30.0, 0)] => Some(60.0);
    an_entry_that_restarts_counts_with_the_mean: 4, [(10.0, 0), (10.0, 0), (10.0, 0)] => Some(40.0);
    an_entry_that_is_silent_for_a_while_counts: 2, [(10.0, 0), (10.0, 9_000)] => Some(20.0);
    an_old_report_has_little_weight: 2, [(10.0, 0), (1_000.0, 25_000)] => Some(20.0);
    a_report_does_not_count_for_ever: 2, [(10.0, 0), (1e12, 30_000)] => Some(20.0);
    only_old_reports_are_no_knowledge: 1, [(10.0, 30_000)] => None;
    a_few_of_many_are_no_knowledge: 91, [(10.0, 0), (10.0, 0)] => None;
    no_report_is_no_knowledge: 0, [] => None;
    an_idle_fleet_is_known_to_be_idle: 2, [(0.0, 0), (0.0, 0)] => Some(0.0);
    what_is_no_rate_counts_as_none: 3, [(f64::NAN, 0), (f64::NEG_INFINITY, 0), (9.0, 0)] => Some(9.0);
}

/// Guards against a jump of the sum when an entry is cut off and its report grows old.
#[test]
fn a_report_fades_without_a_jump() {
    let mut last = sum(3, &[(30.0, 0), (30.0, 0), (60.0, 0)]).unwrap();
    for age in (0..40_000).step_by(500) {
        let next = sum(3, &[(30.0, 0), (30.0, 0), (60.0, age)]).unwrap();
        assert!(
            (next - last).abs() < 0.05 * last,
            "{last} to {next} at {age}"
        );
        last = next;
    }
    assert!(is_about(last, 90.0), "{last}");
}

#[test]
fn a_meter_learns_the_rates_of_a_model() {
    let mut meter = Meter::default();
    let mut now = Time::default();
    let models = [(service(), name("small")), (service(), name("large"))];
    let models = || models.iter().map(|(service, model)| (service, model));
    meter.record(now, &service(), &name("small"), 700, 100);
    assert_eq!(
        meter.demands(now, models()),
        Vec::new(),
        "knows rates at once"
    );
    for _ in 0..1_000 {
        now = now + Duration::from_millis(10);
        meter.record(now, &service(), &name("small"), 700, 100);
        meter.record_refusal(now, &service(), &name("small"));
    }
    let demands = meter.demands(now, models());
    assert_eq!(demands.len(), 2, "a model without requests is not named");
    assert!(is_about(demands[0].requests, 100.0), "{demands:?}");
    assert!(is_about(demands[0].prompt_tokens, 70_000.0), "{demands:?}");
    assert!(is_about(demands[0].answer_tokens, 10_000.0), "{demands:?}");
    assert!(is_about(demands[0].refused, 100.0), "{demands:?}");
    assert!(demands[1].requests == 0.0, "{demands:?}");
    let later = meter.demands(now + Duration::from_secs(20), models());
    assert!(later[0].requests < 1.0, "{later:?}");
}

#[test]
fn stated_tokens_without_limit_count_as_many() {
    let mut meter = Meter::default();
    let now = Time::from_millis(9_000);
    meter.record(now, &service(), &name("small"), u64::MAX, u64::MAX);
    let demands = meter.demands(now, [(&service(), &name("small"))]);
    assert!(demands[0].prompt_tokens <= (1 << 20) as f64, "{demands:?}");
}

#[test]
fn requests_that_callers_repeat_count_less() {
    let of = |refused| {
        let demand = Demand {
            refused,
            ..demand("small", 500.0)
        };
        let demand = BTreeMap::from([(name("small"), demand)]);
        needs(&engine(), 1_000, &demand)[&name("small")]
    };
    assert!(
        is_about(of(500.0), of(0.0) / 2.0),
        "{} {}",
        of(500.0),
        of(0.0)
    );
}

fn any_rate() -> impl Strategy<Value = f64> {
    prop_oneof![
        Just(0.0),
        Just(f64::MAX),
        Just(f64::NAN),
        Just(f64::INFINITY),
        Just(-1.0),
        0.0..1e6
    ]
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Config::default() })]

    /// Guards against needs that are more than the workers can form, or none of a model.
    #[test]
    fn needed_groups_never_exceed_workers_and_every_model_needs_one(
        rates in prop::collection::vec(any_rate(), 8),
        workers in 6..1_000_usize,
        entries in 1..9_usize,
    ) {
        let of = |model: &str, rates: &[f64]| Demand {
            service: service(),
            model: name(model),
            requests: rates[0],
            prompt_tokens: rates[1],
            answer_tokens: rates[2],
            refused: rates[3],
        };
        let demands = [of("large", &rates[..4]), of("small", &rates[4..])];
        let report = Report { demands: &demands, age: Duration::ZERO };
        let sums = total(entries, &service(), vec![report; entries]).unwrap();
        let needed = needs(&engine(), workers, &sums);
        let used: f64 = engine().models.iter().map(|m| needed[&m.name] * m.size as f64).sum();
        prop_assert!(used <= workers as f64 + 1e-6, "{needed:?}");
        prop_assert!(needed.values().all(|groups| *groups >= 1.0), "{needed:?}");
    }
}
