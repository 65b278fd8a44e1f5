//! Groups are formed, repaired and replaced while workers and orders fail.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use crate::simulation::{Fate, World};

const START: Duration = Duration::from_secs(25);

fn count(world: &World, model: &str) -> usize {
    let name = model.parse().unwrap();
    world.serving().get(&name).copied().unwrap_or(0)
}

#[test]
fn a_whole_domain_serves_both_models() {
    let mut world = World::new(8);
    world.run(START);
    assert_eq!((count(&world, "large"), count(&world, "small")), (1, 1));
}

#[test]
fn a_list_that_is_still_filling_is_not_the_whole_domain() {
    let mut world = World::new(2);
    world.run(Duration::from_millis(400));
    for _ in 0..6 {
        world.add();
        world.run(Duration::from_millis(300));
    }
    world.run(START);
    assert_eq!((count(&world, "large"), count(&world, "small")), (1, 1));
}

#[test]
fn a_lost_member_is_replaced_by_a_warm_spare_within_a_second() {
    let mut world = World::new(8);
    world.run(START + START);
    for round in 0..1 {
        world.kill_member(round);
        world.run(Duration::from_millis(1_100));
        let groups = count(&world, "large") + count(&world, "small");
        assert_eq!(groups, 2, "round {round}");
    }
}

#[test]
fn a_whole_domain_has_a_spare_of_each_model_and_changes_none() {
    let mut world = World::new(8);
    world.run(START + START);
    let spares: Vec<usize> = world.spares().into_values().collect();
    assert_eq!(spares, [1, 1]);
    assert_eq!(world.staged(), 2);
}

#[test]
fn a_restarted_worker_is_no_member_of_its_former_group() {
    let mut world = World::new(8);
    world.run(START);
    for n in 0..8 {
        world.restart(n);
    }
    world.run(START);
    assert_eq!((count(&world, "large"), count(&world, "small")), (1, 1));
    assert_eq!(world.broken, Vec::<String>::new());
}

#[test]
fn a_new_planner_leaves_groups_that_serve_as_they_are() {
    let mut world = World::new(8);
    world.run(START);
    world.replace_planner();
    for _ in 0..20 {
        world.run(Duration::from_millis(100));
        assert_eq!((count(&world, "large"), count(&world, "small")), (1, 1));
    }
}

#[test]
fn a_leaving_member_is_replaced() {
    let mut world = World::new(8);
    world.run(START + START);
    world.leave(0);
    world.run(Duration::from_secs(5));
    let groups = count(&world, "large") + count(&world, "small");
    assert_eq!(groups, 2);
    assert_eq!(world.broken, Vec::<String>::new());
}

#[test]
fn loads_keep_to_the_domains_part_of_the_weight_stores_rate() {
    let mut world = World::new(8);
    world.domains = 12;
    world.run(START + START);
    let busy = world.now;
    for n in 0..8 {
        world.add();
        world.kill(n);
        world.run(Duration::from_millis(300));
    }
    world.run(START);
    // Four loads a second over twelve domains are 1.7 in five seconds.
    assert_eq!(world.most_loads(busy), 1);
}

/// What happens to the workers, their orders and their planner.
#[derive(Debug, Clone)]
enum Event {
    Kill(usize),
    KillMember(usize),
    Restart(usize),
    Leave(usize),
    Add,
    Lose,
    Delay(u64),
    Follow,
    Replace,
    Pass(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        1 => (0..16_usize).prop_map(Event::Kill),
        2 => (0..16_usize).prop_map(Event::KillMember),
        2 => (0..16_usize).prop_map(Event::Restart),
        1 => (0..16_usize).prop_map(Event::Leave),
        1 => Just(Event::Add),
        1 => Just(Event::Lose),
        2 => (100..12_000_u64).prop_map(Event::Delay),
        3 => Just(Event::Follow),
        1 => Just(Event::Replace),
        8 => (50..4_000_u64).prop_map(Event::Pass),
    ]
}

fn fixed() -> Config {
    Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(fixed())]

    /// Whatever fails, no group opens without all members, and no member of a
    /// group that serves is taken; afterwards the domain serves again.
    #[test]
    fn no_group_serves_partial_and_no_worker_is_in_two(
        events in prop::collection::vec(event(), 1..60),
    ) {
        let mut world = World::new(8);
        world.run(START);
        for event in events {
            match event {
                Event::Kill(n) => world.kill(n),
                Event::KillMember(n) => world.kill_member(n),
                Event::Restart(n) => world.restart(n),
                Event::Leave(n) => world.leave(n),
                Event::Add => world.add(),
                Event::Lose => world.fate = Fate::Lost,
                Event::Delay(millis) => world.fate = Fate::Late(millis),
                Event::Follow => world.fate = Fate::Followed,
                Event::Replace => world.replace_planner(),
                Event::Pass(millis) => world.run(Duration::from_millis(millis)),
            }
            prop_assert_eq!(&world.broken, &Vec::<String>::new());
        }
        world.fate = Fate::Followed;
        for n in 0..16 {
            world.restart(n);
        }
        world.run(Duration::from_secs(90));
        prop_assert_eq!(&world.broken, &Vec::<String>::new());
        prop_assert!(count(&world, "large") >= 1, "{:?}", world.serving());
        prop_assert!(count(&world, "small") >= 1, "{:?}", world.serving());
    }
}
