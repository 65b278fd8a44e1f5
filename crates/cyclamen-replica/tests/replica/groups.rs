//! Tests of the formation, repair and replacement of groups while workers and orders fail.

use std::time::Duration;

use cyclamen_replica::{Command, Order};
use cyclamen_types::Time;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use crate::simulation::{Delivery, Simulation};

const START: Duration = Duration::from_secs(25);
/// The period over which orders are counted.
const ORDER_PERIOD: Duration = Duration::from_secs(10);
/// How many orders a planner may send in a period, for each worker that ever was in the domain.
const MAX_ORDERS_PER_WORKER: usize = 10;

fn count(sim: &Simulation, model: &str) -> usize {
    let name = model.parse().unwrap();
    sim.serving().get(&name).copied().unwrap_or(0)
}

#[test]
fn a_complete_domain_serves_both_models() {
    let mut sim = Simulation::new(8);
    sim.run(START);
    assert_eq!((count(&sim, "large"), count(&sim, "small")), (1, 1));
}

#[test]
fn a_list_that_is_still_filling_is_not_a_complete_domain() {
    let mut sim = Simulation::new(2);
    sim.run(Duration::from_millis(400));
    for _ in 0..6 {
        sim.add();
        sim.run(Duration::from_millis(300));
    }
    sim.run(START);
    assert_eq!((count(&sim, "large"), count(&sim, "small")), (1, 1));
}

#[test]
fn a_lost_member_is_replaced_by_a_warm_spare_within_a_second() {
    let mut sim = Simulation::new(8);
    sim.run(START + START);
    for round in 0..1 {
        sim.crash_member(round);
        sim.run(Duration::from_millis(1_100));
        let groups = count(&sim, "large") + count(&sim, "small");
        assert_eq!(groups, 2, "round {round}");
    }
}

#[test]
fn a_complete_domain_has_a_spare_of_each_model_and_changes_none() {
    let mut sim = Simulation::new(8);
    sim.run(START + START);
    let spares: Vec<usize> = sim.spares().into_values().collect();
    assert_eq!(spares, [1, 1]);
    assert_eq!(sim.load_count(), 2);
}

#[test]
fn a_restarted_worker_is_no_member_of_its_former_group() {
    let mut sim = Simulation::new(8);
    sim.run(START);
    for n in 0..8 {
        sim.restart(n);
    }
    sim.run(START);
    assert_eq!((count(&sim, "large"), count(&sim, "small")), (1, 1));
    assert_eq!(sim.violations, Vec::<String>::new());
}

#[test]
fn a_new_planner_leaves_groups_that_serve_as_they_are() {
    let mut sim = Simulation::new(8);
    sim.run(START);
    sim.replace_planner();
    for _ in 0..20 {
        sim.run(Duration::from_millis(100));
        assert_eq!((count(&sim, "large"), count(&sim, "small")), (1, 1));
    }
}

#[test]
fn a_leaving_member_is_replaced() {
    let mut sim = Simulation::new(8);
    sim.run(START + START);
    sim.leave(0);
    sim.run(Duration::from_secs(5));
    let groups = count(&sim, "large") + count(&sim, "small");
    assert_eq!(groups, 2);
    assert_eq!(sim.violations, Vec::<String>::new());
}

#[test]
fn loads_keep_to_the_domains_share_of_the_weight_stores_rate() {
    let mut sim = Simulation::new(8);
    sim.domain_count = 12;
    sim.run(START + START);
    let loaded_at = sim.now;
    for n in 0..8 {
        sim.add();
        sim.crash(n);
        sim.run(Duration::from_millis(300));
    }
    sim.run(START);
    // Four loads per second shared by twelve domains are 1.7 loads in five seconds.
    assert_eq!(sim.max_loads_in_window(loaded_at), 1);
}

#[test]
fn a_spare_warms_up_once_while_the_list_lags() {
    let mut sim = Simulation::new(8);
    sim.lag = Duration::from_secs(1);
    sim.run(START + START);
    let single = |command: &&Command| matches!(&command.order, Order::Join { members, .. } if members.len() == 1);
    let warm_ups = sim.orders_after(Time::default()).filter(single).count();
    assert!(
        (1..=2).contains(&warm_ups),
        "{warm_ups} orders for two spares"
    );
}

#[test]
fn a_member_that_never_gets_ready_is_replaced() {
    let mut sim = Simulation::new(8);
    sim.stick(0);
    sim.run(Duration::from_secs(120));
    assert_eq!((count(&sim, "large"), count(&sim, "small")), (1, 1));
}

#[test]
fn a_worker_that_has_lost_its_address_is_passed_over() {
    let mut sim = Simulation::new(8);
    sim.displace(0);
    sim.displace(1);
    sim.run(START);
    let groups = (count(&sim, "large"), count(&sim, "small"));
    assert_eq!(groups, (1, 1));
    let before = sim.now;
    sim.run(START);
    let orders = sim.orders_after(before).count();
    assert!(orders <= 4, "{orders} orders to two workers that are gone");
}

#[test]
fn a_head_that_has_lost_its_address_does_not_hold_its_group() {
    let mut sim = Simulation::new(8);
    sim.run(START + START);
    // Worker 0 is the head of the group of four, worker 1 another member.
    sim.displace(0);
    sim.crash(1);
    sim.run(Duration::from_secs(60));
    assert_eq!(count(&sim, "large"), 1, "{:?}", sim.spares());
}

#[test]
fn too_few_workers_for_any_group_get_no_orders() {
    let mut sim = Simulation::new(1);
    sim.run(START);
    assert_eq!(sim.orders_after(Time::default()).count(), 0);
}

#[test]
fn loads_in_progress_keep_to_the_domains_share_of_the_weight_store() {
    let mut sim = Simulation::new(8);
    sim.run(START + START);
    sim.has_traffic = true;
    for n in 0..6 {
        sim.crash(n);
        sim.add();
    }
    sim.max_concurrent_loads = 0;
    sim.run(Duration::from_secs(120));
    assert!(count(&sim, "large") >= 1, "{:?}", sim.serving());
    assert!(count(&sim, "small") >= 1, "{:?}", sim.serving());
    assert_eq!(sim.max_concurrent_loads, 1);
}

#[test]
fn spares_for_a_missing_group_keep_its_weights_while_the_others_load() {
    let mut sim = Simulation::new(8);
    sim.run(START + START);
    sim.has_traffic = true;
    sim.loading_domains = 1;
    sim.crash_member(0);
    sim.crash_member(1);
    // One worker loads the weights of the model with 16 s, the others hold them already.
    sim.run(Duration::from_secs(22));
    let groups = (count(&sim, "large"), count(&sim, "small"));
    assert_eq!(groups, (1, 1), "{:?}", sim.spares());
}

/// An event that affects the workers, the delivery of orders or the planner.
#[derive(Debug, Clone)]
enum Event {
    Crash(usize),
    CrashMember(usize),
    Restart(usize),
    Leave(usize),
    Add,
    LoseOrders,
    DelayOrders(u64),
    DeliverOrders,
    ReplacePlanner,
    /// The list of workers is out of date by a number of milliseconds.
    Lag(u64),
    /// The loads of a worker stop.
    Stick(usize),
    /// Another worker gets the address of a worker.
    Displace(usize),
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        1 => (0..16_usize).prop_map(Event::Crash),
        2 => (0..16_usize).prop_map(Event::CrashMember),
        2 => (0..16_usize).prop_map(Event::Restart),
        1 => (0..16_usize).prop_map(Event::Leave),
        1 => Just(Event::Add),
        1 => Just(Event::LoseOrders),
        2 => (100..12_000_u64).prop_map(Event::DelayOrders),
        3 => Just(Event::DeliverOrders),
        1 => Just(Event::ReplacePlanner),
        1 => (0..1_500_u64).prop_map(Event::Lag),
        1 => (0..16_usize).prop_map(Event::Stick),
        1 => (0..16_usize).prop_map(Event::Displace),
        8 => (50..4_000_u64).prop_map(Event::Wait),
    ]
}

fn config() -> Config {
    Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Under any sequence of failures, no group opens without all of its members, no member of a
    /// serving group joins another one, and the number of orders is bounded; after the failures
    /// end, the domain serves again.
    #[test]
    fn no_partial_group_serves_and_no_worker_is_in_two_groups(
        events in prop::collection::vec(event(), 1..60),
    ) {
        let mut sim = Simulation::new(8);
        sim.run(START);
        sim.has_traffic = true;
        for event in events {
            match event {
                Event::Crash(n) => sim.crash(n),
                Event::CrashMember(n) => sim.crash_member(n),
                Event::Restart(n) => sim.restart(n),
                Event::Leave(n) => sim.leave(n),
                Event::Add => sim.add(),
                Event::LoseOrders => sim.delivery = Delivery::Lost,
                Event::DelayOrders(millis) => sim.delivery = Delivery::Delayed(millis),
                Event::DeliverOrders => sim.delivery = Delivery::Immediate,
                Event::ReplacePlanner => sim.replace_planner(),
                Event::Lag(millis) => sim.lag = Duration::from_millis(millis),
                Event::Stick(n) => sim.stick(n),
                Event::Displace(n) => sim.displace(n),
                Event::Wait(millis) => sim.run(Duration::from_millis(millis)),
            }
            prop_assert_eq!(&sim.violations, &Vec::<String>::new());
        }
        sim.delivery = Delivery::Immediate;
        for n in 0..16 {
            sim.restart(n);
        }
        sim.run(Duration::from_secs(90));
        prop_assert_eq!(&sim.violations, &Vec::<String>::new());
        let most = sim.max_orders_within(ORDER_PERIOD);
        prop_assert!(most <= MAX_ORDERS_PER_WORKER * sim.worker_count(), "{most} orders");
        prop_assert!(count(&sim, "large") >= 1, "{:?}", sim.serving());
        prop_assert!(count(&sim, "small") >= 1, "{:?}", sim.serving());
    }
}
