//! Replica groups, cold starts, zones and leaving members under faults.
//!
//! A stateful test drives one fabric domain with two entries that want it, in
//! virtual time, and checks every grant against what is true of the workers.

use std::time::Duration;

use crate::simulation::{GROUP_SIZE, LIMITS, OWNERS, WORKERS, World, index};
use cyclamen_domain::listing::Status;
use cyclamen_domain::report::Assignment;
use cyclamen_domain::{Ending, Grant, Options, Policy};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

/// Rounds in which everything may settle after the faults.
const SETTLE_ROUNDS: usize = 40;

#[derive(Debug, Clone)]
enum Event {
    Advance(u64),
    Round(usize),
    Kill(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Chill(usize),
    Warm(usize),
    Leave(usize, bool),
    Unlist(usize, bool),
    ZoneOut(bool),
    Depose(usize),
    Sync(usize),
    List(usize),
    Probe(usize, usize),
    Report(usize),
    Plan(usize),
    Order(usize),
    Ask(usize),
    Start(usize),
    End(usize, bool),
}

#[derive(Debug, Clone)]
struct Setup {
    checks_fence: bool,
}

impl ReferenceStateMachine for Setup {
    type State = Self;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<Self> {
        any::<bool>()
            .prop_map(|checks_fence| Self { checks_fence })
            .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Event> {
        let worker = 0..WORKERS;
        let side = 0..OWNERS;
        let pick = 0..64_usize;
        prop_oneof![
            6 => (50..900_u64).prop_map(Event::Advance),
            8 => side.clone().prop_map(Event::Round),
            2 => worker.clone().prop_map(Event::Kill),
            2 => worker.clone().prop_map(Event::Restart),
            2 => worker.clone().prop_map(Event::Pause),
            4 => worker.clone().prop_map(Event::Resume),
            2 => worker.clone().prop_map(Event::Chill),
            4 => worker.clone().prop_map(Event::Warm),
            1 => (worker.clone(), any::<bool>()).prop_map(|(w, l)| Event::Leave(w, l)),
            1 => (worker.clone(), any::<bool>()).prop_map(|(w, l)| Event::Unlist(w, l)),
            1 => any::<bool>().prop_map(Event::ZoneOut),
            1 => side.clone().prop_map(Event::Depose),
            2 => side.clone().prop_map(Event::Sync),
            2 => side.clone().prop_map(Event::List),
            6 => (side.clone(), worker).prop_map(|(s, w)| Event::Probe(s, w)),
            6 => pick.clone().prop_map(Event::Report),
            4 => side.clone().prop_map(Event::Plan),
            5 => pick.clone().prop_map(Event::Order),
            12 => side.prop_map(Event::Ask),
            6 => pick.clone().prop_map(Event::Start),
            4 => (pick, any::<bool>()).prop_map(|(p, w)| Event::End(p, w)),
        ]
        .boxed()
    }

    fn apply(state: Self, _: &Event) -> Self {
        state
    }
}

struct Groups;

impl StateMachineTest for Groups {
    type SystemUnderTest = World;
    type Reference = Setup;

    fn init_test(setup: &Setup) -> World {
        let mut world = World::new(Options::default(), setup.checks_fence);
        world.settle(0, 12);
        world
    }

    fn apply(mut world: World, _: &Setup, event: Event) -> World {
        match event {
            Event::Advance(millis) => world.advance(millis),
            Event::Round(side) => world.settle(side, 1),
            Event::Kill(worker) | Event::Pause(worker) => {
                world.change(worker, |truth| truth.answers = false);
            }
            Event::Restart(worker) => world.restart(worker),
            Event::Resume(worker) => world.change(worker, |truth| truth.answers = true),
            Event::Chill(worker) => world.change(worker, |truth| truth.cold = true),
            Event::Warm(worker) => world.change(worker, |truth| truth.cold = false),
            Event::Leave(worker, leaving) => world.workers[worker].leaving = leaving,
            Event::Unlist(worker, listed) => world.workers[worker].listed = listed,
            Event::ZoneOut(out) => {
                let zone = world.zone_of(0);
                if out {
                    world.pools.zones_out.insert(zone);
                } else {
                    world.pools.zones_out.remove(&zone);
                }
            }
            Event::Depose(side) => world.depose(side),
            Event::Sync(side) => world.sync(side),
            Event::List(side) => world.list(side),
            Event::Probe(side, worker) => world.probe(side, worker),
            Event::Report(pick) => world.deliver_report(pick),
            Event::Plan(side) => world.plan(side),
            Event::Order(pick) => world.deliver_order(pick),
            Event::Ask(side) => {
                if let Some(grant) = world.ask(side) {
                    check_grant(&world, side, &grant);
                }
            }
            Event::Start(pick) => world.start(pick),
            Event::End(pick, whole) => {
                let whole = if whole {
                    Ending::Complete(Duration::ZERO)
                } else {
                    Ending::Failed
                };
                world.end(pick, whole);
            }
        }
        world
    }

    fn check_invariants(world: &World, _: &Setup) {
        assert_eq!(world.row.violations(), [], "the row breaks its rules");
    }

    /// Once the faults end, every group that can be whole serves again.
    fn teardown(mut world: World, _: Setup) {
        while !world.open.is_empty() {
            world.end(0, Ending::Unused);
        }
        world.depose(0);
        for worker in 0..WORKERS {
            world.change(worker, |truth| truth.answers = true);
        }
        world.settle(0, SETTLE_ROUNDS);
        world.advance(65_000);
        world.settle(0, SETTLE_ROUNDS);
        let possible = world.possible_groups();
        let granting = world.granting_groups(0);
        assert!(
            granting >= possible,
            "{granting} groups serve of {possible} possible"
        );
    }
}

/// Checks a grant against what is true of the workers.
fn check_grant(world: &World, side: usize, grant: &Grant) {
    let group = world
        .group_of(side, grant)
        .expect("a grant names a group of the row");
    assert_eq!(group.members.len(), GROUP_SIZE, "the group is whole");
    let wanted = Some(Assignment {
        group: grant.group.clone(),
        fence: grant.fence,
    });
    let silence = world.options.silence_timeout;
    for member in &group.members {
        let worker = index(&member.instance);
        let present = world.was(worker, silence, |truth| {
            truth.answers && truth.incarnation == member.incarnation.0 && truth.assignment == wanted
        });
        assert!(
            present,
            "member {worker} was missing for longer than {silence:?}"
        );
        let granter = &world.sides[side];
        let zone = world.zone_of(worker);
        assert!(!granter.pools.zones_out.contains(&zone), "the zone is out");
        let listing = granter
            .listings
            .iter()
            .find(|l| l.instance == member.instance);
        assert!(
            listing.is_some_and(|l| l.status == Status::Live),
            "a member leaves"
        );
    }
    let first = index(&grant.instance);
    let known = 2 * silence + world.options.start_within;
    let always_cold = !world.was(first, known, |truth| !truth.cold);
    if always_cold {
        let load = world.load(first);
        assert!(load <= LIMITS.cold, "a cold group got {load} requests");
    }
}

fn fixed(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(fixed(400))]

    #[test]
    fn grants_agree_with_the_workers(sequential 1..160 => Groups);
}

macro_rules! repairs {
    ($($name:ident: $policy:ident, down $down:expr, back after $back:expr => $replaced:expr;)*) => {$(
        #[test]
        fn $name() {
            let options = Options {
                repair: Policy::$policy,
                load_time: Duration::from_secs(30),
                ..Options::default()
            };
            let mut world = World::new(options, true);
            world.settle(0, 20);
            let before = world.row.clone();
            let member = &before.groups[0].members[0];
            let lost = index(&member.instance);
            world.change(lost, |truth| truth.answers = false);
            if $down {
                world.workers[lost].listed = false;
            }
            world.settle(0, $back);
            let after = world.row.groups.iter().any(|group| group.members.contains(member));
            assert_eq!(!after, $replaced);
        }
    )*};
}

repairs! {
    waits_for_a_member_that_may_return: Balanced, down false, back after 60 => false;
    replaces_a_member_silent_for_longer_than_a_load: Balanced, down false, back after 120 => true;
    replaces_a_member_off_the_list_at_once: Balanced, down true, back after 10 => true;
    never_replaces_a_listed_member: WhenUnlisted, down false, back after 200 => false;
    replaces_at_once: Immediate, down false, back after 10 => true;
}
