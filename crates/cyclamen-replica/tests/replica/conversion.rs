//! Tests of groups that become groups of another model while workers and owners fail.

use std::time::Duration;

use cyclamen_replica::{CloseMode, Direction, Order, Shift};
use cyclamen_types::model;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use crate::simulation::{Delivery, Simulation};

const START: Duration = Duration::from_secs(25);
/// Longer than a conversion takes with all of its loads.
const CONVERSION: Duration = Duration::from_secs(60);

fn name(model: &str) -> model::Name {
    model.parse().unwrap()
}

fn count(sim: &Simulation, model: &str) -> usize {
    sim.serving().get(&name(model)).copied().unwrap_or(0)
}

fn shift(from: &str, to: &str) -> Direction {
    let shares = [(from, 0.1), (to, 0.9)];
    Direction {
        shares: Some(
            shares
                .into_iter()
                .map(|(m, share)| (name(m), share))
                .collect(),
        ),
        shift: Some(Shift {
            from: name(from),
            to: name(to),
        }),
        shifting_domains: 1,
    }
}

/// A domain of ten workers with one group of `large` and two of `small`, under traffic; there are
/// groups of both models in other domains.
fn domain() -> Simulation {
    let mut sim = Simulation::new(10);
    sim.loading_domains = 1;
    sim.remote_groups = [(name("large"), 3), (name("small"), 2)]
        .into_iter()
        .collect();
    sim.run(START);
    sim.has_traffic = true;
    assert!(count(&sim, "large") >= 1 && count(&sim, "small") >= 1);
    sim
}

/// Runs until the hosts of members have half loaded the weights of a model.
fn half_load(sim: &mut Simulation) {
    let loads = sim.load_count();
    sim.run(Duration::from_secs(6));
    assert!(sim.load_count() > loads, "no member loads weights");
}

/// Runs until a conversion ends, and then for a while with the new shares.
fn convert(sim: &mut Simulation) {
    sim.run(Duration::from_secs(1));
    assert!(sim.is_converting());
    for _ in 0..1_200 {
        if !sim.is_converting() {
            break;
        }
        sim.run(Duration::from_millis(50));
    }
    assert!(!sim.is_converting(), "does not end");
    sim.direction.shift = None;
    sim.run(Duration::from_secs(20));
}

#[test]
fn a_group_becomes_groups_of_the_model_in_need() {
    let mut sim = domain();
    let (large, small) = (count(&sim, "large"), count(&sim, "small"));
    sim.direction = shift("large", "small");
    sim.run(Duration::from_secs(2));
    assert_eq!(
        count(&sim, "large"),
        large,
        "closes before the weights are loaded"
    );
    sim.run(CONVERSION);
    sim.direction.shift = None;
    sim.run(Duration::from_secs(20));
    assert_eq!(count(&sim, "large"), large - 1);
    assert!(count(&sim, "small") >= small + 2, "{:?}", sim.serving());
    assert_eq!(sim.violations, Vec::<String>::new());
}

#[test]
fn groups_become_one_of_a_larger_model() {
    let mut sim = Simulation::new(11);
    sim.loading_domains = 1;
    sim.remote_groups = [(name("large"), 9), (name("small"), 2)]
        .into_iter()
        .collect();
    sim.run(START);
    sim.has_traffic = true;
    let (large, small) = (count(&sim, "large"), count(&sim, "small"));
    assert!(small >= 2, "{:?}", sim.serving());
    sim.direction = shift("small", "large");
    convert(&mut sim);
    assert_eq!(count(&sim, "large"), large + 1, "{:?}", sim.serving());
    assert_eq!(count(&sim, "small"), small - 2, "{:?}", sim.serving());
    assert_eq!(sim.violations, Vec::<String>::new());
}

#[test]
fn closed_groups_let_their_requests_finish() {
    let mut sim = domain();
    let since = sim.now;
    sim.direction = shift("large", "small");
    sim.run(CONVERSION);
    let closes: Vec<_> = sim
        .orders_after(since)
        .filter_map(|command| match &command.order {
            Order::Close { mode, .. } => Some(*mode),
            _ => None,
        })
        .collect();
    assert!(
        !closes.is_empty() && closes.iter().all(|mode| *mode == CloseMode::Drain),
        "{closes:?}"
    );
}

#[test]
fn a_shift_that_is_not_wanted_any_more_closes_nothing() {
    let mut sim = domain();
    let before = sim.serving();
    sim.direction = shift("large", "small");
    half_load(&mut sim);
    sim.direction = Direction::default();
    sim.run(CONVERSION);
    assert_eq!(sim.serving(), before);
    assert!(!sim.is_converting());
}

#[test]
fn a_member_lost_while_weights_load_ends_the_conversion() {
    let mut sim = domain();
    sim.direction = shift("large", "small");
    sim.run(Duration::from_secs(1));
    let serving = sim.serving();
    sim.direction.shift = None;
    for n in 0..10 {
        sim.crash_member(n);
        if sim.serving().get(&name("large")) != serving.get(&name("large")) {
            break;
        }
    }
    sim.run(CONVERSION);
    assert!(!sim.is_converting());
    assert!(
        count(&sim, "large") + count(&sim, "small") >= 1,
        "{:?}",
        sim.serving()
    );
    assert_eq!(sim.violations, Vec::<String>::new());
}

#[test]
fn an_owner_replaced_halfway_goes_on_without_further_loads() {
    let mut loads = Vec::new();
    for is_replaced in [false, true] {
        let mut sim = domain();
        let large = count(&sim, "large");
        sim.direction = shift("large", "small");
        half_load(&mut sim);
        if is_replaced {
            sim.replace_planner();
        }
        convert(&mut sim);
        assert_eq!(count(&sim, "large"), large - 1);
        assert_eq!(sim.violations, Vec::<String>::new());
        loads.push(sim.load_count());
    }
    assert_eq!(loads[0], loads[1]);
}

#[test]
fn an_owner_replaced_while_a_group_closes_leaves_none_closed() {
    for millis in (0..3_000).step_by(200) {
        let mut sim = domain();
        sim.direction = shift("large", "small");
        let large = count(&sim, "large");
        for _ in 0..2_000 {
            if count(&sim, "large") < large {
                break;
            }
            sim.run(Duration::from_millis(50));
        }
        sim.run(Duration::from_millis(millis));
        sim.replace_planner();
        sim.direction = Direction::default();
        sim.run(CONVERSION);
        let workers = 4 * count(&sim, "large") + 2 * count(&sim, "small");
        assert!(workers >= 6, "{:?} after {millis}", sim.serving());
        assert_eq!(sim.violations, Vec::<String>::new());
    }
}

#[test]
fn lost_and_late_orders_convert_in_the_end() {
    for delivery in [Delivery::Lost, Delivery::Delayed(3_000)] {
        let mut sim = domain();
        let large = count(&sim, "large");
        sim.direction = shift("large", "small");
        sim.delivery = delivery;
        sim.run(Duration::from_secs(8));
        sim.delivery = Delivery::Immediate;
        sim.run(CONVERSION);
        assert!(count(&sim, "large") < large, "{:?}", sim.serving());
        assert_eq!(sim.violations, Vec::<String>::new());
    }
}

/// Guards against more loads than the domain's part of the rate limit allows.
#[test]
fn loads_for_a_conversion_keep_the_rate_limit() {
    let mut sim = domain();
    let since = sim.now;
    sim.direction = shift("large", "small");
    sim.run(CONVERSION);
    assert!(
        sim.max_loads_in_window(since) <= 3,
        "{}",
        sim.max_loads_in_window(since)
    );
}

#[test]
fn a_domain_does_not_form_again_what_it_gave_up() {
    let mut sim = domain();
    sim.direction = shift("large", "small");
    sim.run(CONVERSION);
    sim.direction.shift = None;
    let (large, small) = (count(&sim, "large"), count(&sim, "small"));
    sim.crash_member(0);
    for _ in 0..2 {
        sim.add();
    }
    sim.run(CONVERSION);
    assert_eq!((count(&sim, "large"), count(&sim, "small")), (large, small));
}

#[derive(Debug, Clone)]
enum Event {
    CrashMember(usize),
    Restart(usize),
    Leave(usize),
    Add,
    Deliver(Delivery),
    ReplacePlanner,
    Lag(u64),
    Need(Option<bool>),
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => (0..8_usize).prop_map(Event::CrashMember),
        2 => (0..16_usize).prop_map(Event::Restart),
        1 => (0..16_usize).prop_map(Event::Leave),
        2 => Just(Event::Add),
        1 => (50..5_000_u64).prop_map(|millis| Event::Deliver(Delivery::Delayed(millis))),
        1 => Just(Event::Deliver(Delivery::Lost)),
        2 => Just(Event::Deliver(Delivery::Immediate)),
        1 => Just(Event::ReplacePlanner),
        1 => (0..800_u64).prop_map(Event::Lag),
        3 => prop::option::of(any::<bool>()).prop_map(Event::Need),
        8 => (50..20_000_u64).prop_map(Event::Wait),
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 30,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Under any sequence of failures and of needs, no group opens without all of its members, no
    /// member of a serving group joins another one, and once they end, the domain serves again.
    #[test]
    fn failures_halfway_leave_no_group_closed_and_no_worker_in_two(
        events in prop::collection::vec(event(), 1..30),
    ) {
        let mut sim = domain();
        for event in events {
            match event {
                Event::CrashMember(n) => sim.crash_member(n),
                Event::Restart(n) => sim.restart(n),
                Event::Leave(n) => sim.leave(n),
                Event::Add => sim.add(),
                Event::Deliver(delivery) => sim.delivery = delivery,
                Event::ReplacePlanner => sim.replace_planner(),
                Event::Lag(millis) => sim.lag = Duration::from_millis(millis),
                Event::Need(None) => sim.direction.shift = None,
                Event::Need(Some(true)) => sim.direction = shift("large", "small"),
                Event::Need(Some(false)) => sim.direction = shift("small", "large"),
                Event::Wait(millis) => sim.run(Duration::from_millis(millis)),
            }
            prop_assert_eq!(&sim.violations, &Vec::<String>::new());
        }
        sim.delivery = Delivery::Immediate;
        sim.direction.shift = None;
        for n in 0..16 {
            sim.restart(n);
        }
        sim.run(Duration::from_secs(90));
        prop_assert_eq!(&sim.violations, &Vec::<String>::new());
        let serving = 4 * count(&sim, "large") + 2 * count(&sim, "small");
        prop_assert!(serving >= 6, "{:?}", sim.serving());
        prop_assert!(!sim.is_converting());
    }
}
