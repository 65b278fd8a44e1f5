//! Worker selection, limited workers, retry budgets and cells.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cyclamen_directory::service::{Engine, Model};
use cyclamen_dispatch::{
    Caller, Cell, Criteria, Dispatch, Dispatcher, Forecast, Load, Options, Outcome, Reason,
    RetryBudget, Target, cell,
};
use cyclamen_quota::Rate;
use cyclamen_types::{Time, domain, entry, group, instance, model, pool, zone};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const GOAL: Duration = Duration::from_millis(500);

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(1)
}

fn engine() -> Engine {
    Engine {
        slots: 26,
        step: Duration::from_micros(6_070),
        step_per_request: Duration::from_micros(241),
        read_per_second: 46_000.0,
        chunk: 2_048,
        stride: 5,
        loads_per_second: 4.0,
        concurrent_loads: None,
        models: vec![Model {
            name: "large".parse().unwrap(),
            size: 4,
            share: 1.0,
            pace: 1.0,
            load: Duration::from_secs(16),
            warm: Duration::from_millis(1_600),
        }],
    }
}

fn head(name: &str, zone: &str) -> Target {
    let engine = engine();
    Target {
        instance: name.parse().unwrap(),
        incarnation: instance::Incarnation(1),
        fence: group::Fence(7),
        service: "llm".parse().unwrap(),
        model: Some("large".parse().unwrap()),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: zone.parse().unwrap(),
        domain: Some("d0".parse().unwrap()),
        slots: engine.slots,
        cold: None,
        limit: None,
        doubtful: false,
        forecast: Some(Forecast::of(&engine, &engine.models[0])),
    }
}

/// Owned values of the selection criteria.
struct Request {
    service: pool::Service,
    model: model::Name,
    zone: zone::Name,
    domains: BTreeSet<domain::Name>,
    exclude: Vec<instance::Id>,
    late: bool,
    tokens: u64,
}

impl Request {
    fn new() -> Self {
        Self {
            service: "llm".parse().unwrap(),
            model: "large".parse().unwrap(),
            zone: "a".parse().unwrap(),
            domains: ["d0".parse().unwrap()].into(),
            exclude: Vec::new(),
            late: false,
            tokens: 1_400,
        }
    }

    fn criteria(&self) -> Criteria<'_> {
        Criteria {
            service: &self.service,
            model: Some(&self.model),
            zone: &self.zone,
            domains: &self.domains,
            exclude: &self.exclude,
            goal: GOAL,
            remaining: Duration::from_secs(8),
            late: self.late,
            tokens: self.tokens,
            priority: 1,
            caller: Caller::default(),
        }
    }
}

fn dispatcher(targets: impl IntoIterator<Item = Target>) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(Options::default());
    dispatcher.refresh(targets);
    dispatcher
}

fn choose(dispatcher: &mut Dispatcher, request: &Request) -> Result<Dispatch, Reason> {
    let chosen = dispatcher.choose(at(0), &request.criteria(), &mut rng());
    chosen.map_err(|refusal| refusal.reason)
}

#[test]
fn requests_spread_over_the_heads_of_the_zone() {
    let mut dispatcher = dispatcher([head("h1", "a"), head("h2", "a"), head("h3", "b")]);
    let mut counts = BTreeMap::new();
    for _ in 0..6 {
        let sent = choose(&mut dispatcher, &Request::new()).unwrap();
        *counts.entry(sent.target.instance.to_string()).or_insert(0) += 1;
    }
    assert_eq!(counts["h1"], counts["h2"]);
}

#[test]
fn a_busy_zone_sends_to_another() {
    let mut dispatcher = dispatcher([head("h1", "a"), head("h2", "b")]);
    let load = Load {
        instance: "h1".parse().unwrap(),
        fence: group::Fence(7),
        running: 10,
        backlog: 9_000,
    };
    dispatcher.record_peer_loads(at(0), "other", [load]);
    let sent = choose(&mut dispatcher, &Request::new()).unwrap();
    assert_eq!(sent.target.instance.as_str(), "h2");
}

#[test]
fn loads_of_a_silent_entry_expire() {
    let mut dispatcher = dispatcher([head("h1", "a")]);
    let load = Load {
        instance: "h1".parse().unwrap(),
        fence: group::Fence(7),
        running: 40,
        backlog: 90_000,
    };
    dispatcher.record_peer_loads(at(0), "other", [load]);
    assert_eq!(
        choose(&mut dispatcher, &Request::new()),
        Err(Reason::Overloaded)
    );
    let later = dispatcher.choose(at(1_500), &Request::new().criteria(), &mut rng());
    assert!(later.is_ok());
}

#[test]
fn a_burst_is_refused_at_once_with_a_retry_delay() {
    let mut dispatcher = dispatcher([head("h1", "a")]);
    let request = Request::new();
    let mut accepted = 0;
    let refusal = loop {
        match dispatcher.choose(at(0), &request.criteria(), &mut rng()) {
            Ok(_) => accepted += 1,
            Err(refusal) => break refusal,
        }
        assert!(accepted < 100, "no request is refused");
    };
    assert_eq!(refusal.reason, Reason::Overloaded);
    assert!(refusal.retry_after >= Duration::from_millis(200));
    assert!(accepted >= 2);
}

#[test]
fn a_request_whose_response_has_begun_is_not_in_the_backlog() {
    let mut dispatcher = dispatcher([head("h1", "a")]);
    let request = Request::new();
    let mut sent = Vec::new();
    while let Ok(each) = choose(&mut dispatcher, &request) {
        sent.push(each);
    }
    for each in &sent {
        dispatcher.record_started(each);
    }
    assert!(choose(&mut dispatcher, &request).is_ok());
}

#[test]
fn a_full_worker_refuses_small_prompts_as_well_as_large_ones() {
    let mut dispatcher = dispatcher([head("h1", "a")]);
    while choose(&mut dispatcher, &Request::new()).is_ok() {}
    let small = Request {
        tokens: 10,
        ..Request::new()
    };
    let large = Request {
        tokens: 6_000,
        ..Request::new()
    };
    assert_eq!(choose(&mut dispatcher, &small), Err(Reason::Overloaded));
    assert_eq!(choose(&mut dispatcher, &large), Err(Reason::Overloaded));
}

#[test]
fn late_requests_accept_a_longer_wait() {
    let mut dispatcher = dispatcher([head("h1", "a")]);
    while choose(&mut dispatcher, &Request::new()).is_ok() {}
    let late = Request {
        late: true,
        ..Request::new()
    };
    assert!(choose(&mut dispatcher, &late).is_ok());
}

#[test]
fn a_worker_that_failed_is_the_last_choice() {
    let mut dispatcher = dispatcher([head("h1", "a"), head("h2", "a")]);
    let first = choose(&mut dispatcher, &Request::new()).unwrap();
    dispatcher.record_outcome(at(0), &first, Outcome::Failed, false);
    for _ in 0..3 {
        let next = choose(&mut dispatcher, &Request::new()).unwrap();
        assert_ne!(next.target.instance, first.target.instance);
    }
}

#[test]
fn workers_that_were_tried_are_excluded() {
    let mut dispatcher = dispatcher([head("h1", "a")]);
    let exclude = vec!["h1".parse().unwrap()];
    let request = Request {
        exclude,
        ..Request::new()
    };
    assert_eq!(choose(&mut dispatcher, &request), Err(Reason::NoWorker));
}

#[test]
fn a_restarted_worker_has_nothing_in_progress() {
    let mut dispatcher = dispatcher([head("h1", "a")]);
    let sent = choose(&mut dispatcher, &Request::new()).unwrap();
    let restarted = Target {
        incarnation: instance::Incarnation(2),
        ..head("h1", "a")
    };
    dispatcher.refresh([restarted]);
    assert!(dispatcher.loads().is_empty());
    dispatcher.record_outcome(at(0), &sent, Outcome::Complete, true);
    assert!(dispatcher.loads().is_empty());
}

/// Guards against a worker that gets more requests than it has room for after it was suspected,
/// since those that it runs are forgotten.
#[test]
fn a_worker_that_accepts_requests_again_still_has_its_former_ones_in_progress() {
    let mut dispatcher = dispatcher([head("h1", "a")]);
    let sent = choose(&mut dispatcher, &Request::new()).unwrap();
    dispatcher.refresh([]);
    assert_eq!(
        choose(&mut dispatcher, &Request::new()),
        Err(Reason::NoWorker)
    );
    dispatcher.refresh([head("h1", "a")]);
    let next = choose(&mut dispatcher, &Request::new()).unwrap();
    assert_eq!((sent.running, next.running), (0, 1));
    dispatcher.record_outcome(at(0), &sent, Outcome::Complete, true);
    assert_eq!(dispatcher.loads()[0].running, 1);
    dispatcher.record_outcome(at(0), &next, Outcome::Complete, true);
    assert!(dispatcher.loads().is_empty());
}

/// A request that ends while its worker accepts none is no longer in progress on it.
#[test]
fn a_request_that_ends_while_its_worker_is_suspected_is_not_in_progress() {
    let mut dispatcher = dispatcher([head("h1", "a")]);
    let sent = choose(&mut dispatcher, &Request::new()).unwrap();
    dispatcher.refresh([]);
    dispatcher.record_outcome(at(0), &sent, Outcome::Failed, true);
    dispatcher.refresh([head("h1", "a")]);
    assert!(dispatcher.loads().is_empty());
}

fn rate(per_second: f64) -> Rate {
    Rate::new(per_second).unwrap()
}

fn cold(name: &str) -> Target {
    Target {
        cold: Some((at(3_000), rate(36.0))),
        ..head(name, "a")
    }
}

fn limited(name: &str) -> Target {
    Target {
        limit: Some(rate(2.0)),
        ..head(name, "a")
    }
}

macro_rules! holds {
    ($($name:ident: $target:expr, $held_from:literal, $priority:literal, $at:literal => $result:expr;)*) => {$(
        #[test]
        fn $name() {
            let target = $target;
            let mut dispatcher = dispatcher([target.clone()]);
            let wait = Duration::from_millis(300);
            dispatcher.record_hold(at(0), &target, $held_from, wait);
            let request = Request::new();
            let criteria = Criteria { priority: $priority, ..request.criteria() };
            let chosen = dispatcher.choose(at($at), &criteria, &mut rng());
            let chosen: Result<(), Reason> = chosen.map(|_| ()).map_err(|r| r.reason);
            assert_eq!(chosen, $result);
        }
    )*};
}

holds! {
    a_cold_worker_without_a_permit_gets_no_request: cold("h1"), 0, 1, 299 => Err(Reason::Cold);
    a_limited_worker_without_a_permit_gets_no_request: limited("h1"), 0, 1, 299 => Err(Reason::Limited);
    a_more_urgent_request_asks_for_a_permit: limited("h1"), 1, 0, 299 => Ok(());
    a_request_of_the_same_priority_does_not: limited("h1"), 1, 1, 299 => Err(Reason::Limited);
    a_permit_is_asked_for_again_after_a_while: limited("h1"), 0, 1, 300 => Ok(());
    a_worker_that_is_warm_again_needs_no_permit:
        Target { cold: Some((at(100), rate(36.0))), ..head("h1", "a") }, 0, 1, 100 => Ok(());
    a_worker_without_limit_needs_none: head("h1", "a"), 0, 1, 0 => Ok(());
}

#[test]
fn a_hold_ends_with_the_incarnation_of_the_worker() {
    let restarted = Target {
        incarnation: instance::Incarnation(2),
        ..limited("h1")
    };
    let mut dispatcher = dispatcher([limited("h1")]);
    dispatcher.record_hold(at(0), &limited("h1"), 0, Duration::from_secs(1));
    dispatcher.refresh([restarted]);
    assert!(choose(&mut dispatcher, &Request::new()).is_ok());
}

/// Guards against a history of cold or limited workers that is lost when a worker takes no requests
/// for a moment.
#[test]
fn a_hold_outlives_an_absence_from_the_targets() {
    let mut dispatcher = dispatcher([limited("h1")]);
    dispatcher.record_hold(at(0), &limited("h1"), 0, Duration::from_secs(1));
    dispatcher.refresh([]);
    dispatcher.refresh([limited("h1")]);
    let chosen = choose(&mut dispatcher, &Request::new());
    assert_eq!(chosen.map(|_| ()), Err(Reason::Limited));
}

#[test]
fn work_goes_to_workers_without_limit_first() {
    let mut dispatcher = dispatcher([limited("h1"), head("h2", "a")]);
    for _ in 0..4 {
        let chosen = choose(&mut dispatcher, &Request::new()).unwrap();
        assert_eq!(chosen.target.instance.as_str(), "h2");
        dispatcher.record_outcome(at(0), &chosen, Outcome::Complete, false);
    }
}

#[test]
fn callers_that_are_refused_come_back_at_different_times() {
    let mut dispatcher = dispatcher([limited("h1")]);
    dispatcher.record_hold(at(0), &limited("h1"), 0, Duration::from_millis(400));
    let mut rng = rng();
    let mut delays = BTreeSet::new();
    for _ in 0..20 {
        let request = Request::new();
        let refusal = dispatcher.choose(at(0), &request.criteria(), &mut rng);
        delays.insert(refusal.unwrap_err().retry_after);
    }
    assert!(delays.first() >= Some(&Duration::from_millis(400)));
    assert!(delays.len() >= 15, "{delays:?}");
}

macro_rules! budget {
    ($($name:ident: $first_attempts:expr, $entries:expr => $retries:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut budget = RetryBudget::new(Duration::from_secs(10), 0.2, 60.0);
                let first_attempts: u32 = $first_attempts;
                for _ in 0..first_attempts {
                    budget.record_first_attempt(at(0));
                }
                let spent = (0..1_000).filter(|_| budget.try_spend(at(1), $entries)).count();
                assert_eq!(spent, $retries);
                assert!(budget.try_spend(at(10_002), $entries) || $entries > 60);
            }
        )*
    };
}

budget! {
    one_entry_has_the_whole_reserve: 0, 1 => 60;
    six_entries_share_the_reserve: 0, 6 => 10;
    each_first_attempt_adds_a_fifth: 100, 6 => 30;
    many_entries_have_no_reserve: 0, 61 => 0;
}

fn names<T: std::str::FromStr<Err: std::fmt::Debug> + Ord>(
    prefix: &str,
    count: usize,
) -> BTreeSet<T> {
    let name = |n| format!("{prefix}{n:03}").parse().unwrap();
    (0..count).map(name).collect()
}

/// Returns the cells of all entries of a zone.
fn cells(entries: usize, domains: usize) -> Vec<(entry::Name, Cell)> {
    let entries: BTreeSet<entry::Name> = names("e", entries);
    let domains: BTreeSet<domain::Name> = names("d", domains);
    let cell_of = |name: &entry::Name| (name.clone(), cell(name, &entries, &domains));
    entries.iter().map(cell_of).collect()
}

macro_rules! divided {
    ($($name:ident: $entries:expr, $domains:expr => $largest:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let cells = cells($entries, $domains);
                let largest = cells.iter().map(|(_, c)| c.entries.len() + 1).max();
                assert_eq!(largest, Some($largest));
                let covered: BTreeSet<&domain::Name> =
                    cells.iter().flat_map(|(_, c)| &c.domains).collect();
                assert_eq!(covered.len(), $domains);
                for (name, cell) in &cells {
                    assert!($domains == 0 || !cell.domains.is_empty());
                    for other in &cell.entries {
                        let theirs = &cells.iter().find(|(name, _)| name == other).unwrap().1;
                        assert!(theirs.entries.contains(name));
                        assert_eq!(theirs.domains, cell.domains);
                    }
                }
            }
        )*
    };
}

divided! {
    a_small_zone_is_one_cell: 3, 2 => 3;
    one_entry_has_all_domains: 1, 3 => 1;
    a_larger_zone_has_cells_of_eight_at_most: 16, 3 => 8;
    there_are_no_more_cells_than_domains: 25, 3 => 9;
    a_zone_without_domains_is_one_cell: 25, 0 => 25;
    a_zone_of_the_expected_size: 33, 69 => 7;
}

#[test]
fn loads_of_entries_that_are_gone_are_forgotten() {
    let mut dispatcher = dispatcher([head("w1", "a")]);
    for n in 0..10_000 {
        dispatcher.record_peer_loads(at(100 * n), &format!("entry-{n}"), []);
    }
    assert!(dispatcher.peer_count() < 100, "{}", dispatcher.peer_count());
}

#[test]
fn a_paused_worker_gets_no_requests_until_its_pause_ends() {
    let mut dispatcher = dispatcher([head("w1", "a")]);
    let request = Request::new();
    let dispatch = dispatcher
        .choose(at(0), &request.criteria(), &mut rng())
        .unwrap();
    dispatcher.record_pause(at(0), &dispatch, Duration::from_secs(2));
    dispatcher.record_pause(at(100), &dispatch, Duration::from_millis(500));
    // The worker heads another group meanwhile.
    let regrouped = Target {
        fence: group::Fence(8),
        ..head("w1", "a")
    };
    dispatcher.refresh([regrouped.clone()]);
    let refused = dispatcher.choose(at(1_500), &request.criteria(), &mut rng());
    let refusal = refused.unwrap_err();
    assert_eq!(refusal.reason, Reason::Paused);
    assert_eq!(refusal.retry_after, Duration::from_millis(500));
    assert!(
        dispatcher
            .choose(at(2_000), &request.criteria(), &mut rng())
            .is_ok()
    );
    dispatcher.record_pause(at(3_000), &dispatch, Duration::from_secs(2));
    let restarted = Target {
        incarnation: instance::Incarnation(2),
        ..regrouped
    };
    dispatcher.refresh([restarted]);
    assert!(
        dispatcher
            .choose(at(3_100), &request.criteria(), &mut rng())
            .is_ok()
    );
}

/// Guards against requests that are sent to a worker that may have failed while others are free, or
/// refused although it is the only one.
#[test]
fn a_doubtful_worker_is_the_last_choice() {
    let doubtful = Target {
        doubtful: true,
        ..head("h1", "a")
    };
    let mut both = dispatcher([doubtful.clone(), head("h2", "b")]);
    for _ in 0..5 {
        let chosen = choose(&mut both, &Request::new()).unwrap();
        assert_eq!(chosen.target.instance.as_str(), "h2");
    }
    let mut alone = dispatcher([doubtful]);
    assert!(choose(&mut alone, &Request::new()).is_ok());
}

/// Numbers of a configuration that can be decoded, however odd.
fn odd_numbers() -> impl Strategy<Value = f64> {
    prop_oneof![
        Just(0.0),
        Just(1.0),
        Just(f64::MAX),
        Just(1.8e19),
        0.0..1e300
    ]
}

fn odd_durations() -> impl Strategy<Value = Duration> {
    let ends = prop_oneof![Just(Duration::ZERO), Just(Duration::MAX)];
    prop_oneof![ends, any::<Duration>()]
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Config::default() })]

    /// Guards against speeds, slots, loads and prompts whose forecast ends the process.
    #[test]
    fn odd_numbers_are_forecast(
        (pace, read) in (odd_numbers(), odd_numbers()),
        (step, step_per_request) in (odd_durations(), odd_durations()),
        (chunk, stride, slots) in (any::<u64>(), any::<u32>(), any::<u32>()),
        tokens in prop_oneof![Just(u64::MAX), any::<u64>()],
        goal in odd_durations(),
        running in prop_oneof![Just(u32::MAX), any::<u32>()],
    ) {
        let mut engine = Engine { step, step_per_request, read_per_second: read, ..engine() };
        (engine.chunk, engine.stride, engine.slots) = (chunk, stride, slots);
        engine.models[0].pace = pace;
        let forecast = Forecast::of(&engine, &engine.models[0]);
        prop_assert!(forecast.wait(tokens, tokens, running) >= Duration::ZERO);
        let target = Target { slots, forecast: Some(forecast), ..head("h1", "a") };
        let plain = Target { model: None, forecast: None, ..head("h2", "a") };
        let mut dispatcher = dispatcher([target, Target { slots, ..plain }]);
        for peer in ["p1", "p2"] {
            let load = Load {
                instance: "h1".parse().unwrap(),
                fence: group::Fence(7),
                running,
                backlog: tokens,
            };
            dispatcher.record_peer_loads(at(0), peer, [load]);
        }
        let request = Request::new();
        for late in [true, false, true] {
            let model = request.criteria();
            let criteria = Criteria { goal, late, tokens, remaining: goal, ..model.clone() };
            let _ = dispatcher.choose(at(0), &criteria, &mut rng());
            let _ = dispatcher.choose(at(0), &Criteria { model: None, ..criteria }, &mut rng());
        }
    }
}
