//! Replica groups, cold starts, zones and leaving members under faults.
//!
//! A stateful test drives one fabric domain with two entries that compete for it, in
//! virtual time, and checks every grant against the actual state of the workers.

use std::time::Duration;

use crate::simulation::{GROUP_SIZE, LIMITS, OWNERS, Simulation, WORKERS, index};
use cyclamen_domain::listing::Status;
use cyclamen_domain::report::Assignment;
use cyclamen_domain::{Ending, Grant, Options, Policy};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

/// Rounds for recovery after the faults.
const RECOVERY_ROUNDS: usize = 40;

#[derive(Debug, Clone)]
enum Event {
    Advance(u64),
    Round(usize),
    Crash(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Cool(usize),
    Warm(usize),
    SetLeaving(usize, bool),
    SetListed(usize, bool),
    ZoneOut(bool),
    SetOwner(usize),
    Sync(usize),
    List(usize),
    Probe(usize, usize),
    Report(usize),
    Plan(usize),
    Order(usize),
    Admit(usize),
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
        let entry = 0..OWNERS;
        let pick = 0..64_usize;
        prop_oneof![
            6 => (50..900_u64).prop_map(Event::Advance),
            8 => entry.clone().prop_map(Event::Round),
            2 => worker.clone().prop_map(Event::Crash),
            2 => worker.clone().prop_map(Event::Restart),
            2 => worker.clone().prop_map(Event::Pause),
            4 => worker.clone().prop_map(Event::Resume),
            2 => worker.clone().prop_map(Event::Cool),
            4 => worker.clone().prop_map(Event::Warm),
            1 => (worker.clone(), any::<bool>()).prop_map(|(w, l)| Event::SetLeaving(w, l)),
            1 => (worker.clone(), any::<bool>()).prop_map(|(w, l)| Event::SetListed(w, l)),
            1 => any::<bool>().prop_map(Event::ZoneOut),
            1 => entry.clone().prop_map(Event::SetOwner),
            2 => entry.clone().prop_map(Event::Sync),
            2 => entry.clone().prop_map(Event::List),
            6 => (entry.clone(), worker).prop_map(|(e, w)| Event::Probe(e, w)),
            6 => pick.clone().prop_map(Event::Report),
            4 => entry.clone().prop_map(Event::Plan),
            5 => pick.clone().prop_map(Event::Order),
            12 => entry.prop_map(Event::Admit),
            6 => pick.clone().prop_map(Event::Start),
            4 => (pick, any::<bool>()).prop_map(|(p, c)| Event::End(p, c)),
        ]
        .boxed()
    }

    fn apply(state: Self, _: &Event) -> Self {
        state
    }
}

struct Groups;

impl StateMachineTest for Groups {
    type SystemUnderTest = Simulation;
    type Reference = Setup;

    fn init_test(setup: &Setup) -> Simulation {
        let mut sim = Simulation::new(Options::default(), setup.checks_fence);
        sim.run_rounds(0, 12);
        sim
    }

    fn apply(mut sim: Simulation, _: &Setup, event: Event) -> Simulation {
        match event {
            Event::Advance(millis) => sim.advance(millis),
            Event::Round(entry) => sim.run_rounds(entry, 1),
            Event::Crash(worker) | Event::Pause(worker) => {
                sim.update_worker(worker, |state| state.responsive = false);
            }
            Event::Restart(worker) => sim.restart(worker),
            Event::Resume(worker) => sim.update_worker(worker, |state| state.responsive = true),
            Event::Cool(worker) => sim.update_worker(worker, |state| state.cold = true),
            Event::Warm(worker) => sim.update_worker(worker, |state| state.cold = false),
            Event::SetLeaving(worker, leaving) => sim.workers[worker].leaving = leaving,
            Event::SetListed(worker, listed) => sim.workers[worker].listed = listed,
            Event::ZoneOut(out) => {
                let zone = sim.zone_of(0);
                if out {
                    sim.pools.zones_out.insert(zone);
                } else {
                    sim.pools.zones_out.remove(&zone);
                }
            }
            Event::SetOwner(entry) => sim.set_owner(entry),
            Event::Sync(entry) => sim.sync(entry),
            Event::List(entry) => sim.list(entry),
            Event::Probe(entry, worker) => sim.probe(entry, worker),
            Event::Report(pick) => sim.deliver_report(pick),
            Event::Plan(entry) => sim.plan(entry),
            Event::Order(pick) => sim.deliver_order(pick),
            Event::Admit(entry) => {
                if let Some(grant) = sim.admit(entry) {
                    check_grant(&sim, entry, &grant);
                }
            }
            Event::Start(pick) => sim.start_request(pick),
            Event::End(pick, complete) => {
                let ending = if complete {
                    Ending::Complete(Duration::ZERO)
                } else {
                    Ending::Failed
                };
                sim.end_request(pick, ending);
            }
        }
        sim
    }

    fn check_invariants(sim: &Simulation, _: &Setup) {
        assert_eq!(sim.row.violations(), [], "the row violates its invariants");
    }

    /// Checks that once the faults end, every group that can be complete serves again.
    fn teardown(mut sim: Simulation, _: Setup) {
        while !sim.tickets.is_empty() {
            sim.end_request(0, Ending::Unused);
        }
        sim.set_owner(0);
        for worker in 0..WORKERS {
            sim.update_worker(worker, |state| state.responsive = true);
        }
        sim.run_rounds(0, RECOVERY_ROUNDS);
        sim.advance(65_000);
        sim.run_rounds(0, RECOVERY_ROUNDS);
        let possible = sim.possible_groups();
        let granting = sim.granting_groups(0);
        assert!(
            granting >= possible,
            "{granting} of {possible} possible groups serve"
        );
    }
}

/// Checks a grant against the actual state of the workers.
fn check_grant(sim: &Simulation, entry: usize, grant: &Grant) {
    let group = sim
        .group_of(entry, grant)
        .expect("the grant's group is in the row");
    assert_eq!(group.members.len(), GROUP_SIZE, "the group is complete");
    let wanted = Some(Assignment {
        group: grant.group.clone(),
        fence: grant.fence,
    });
    let silence = sim.options.silence_timeout;
    for member in &group.members {
        let worker = index(&member.instance);
        let present = sim.was_recently(worker, silence, |state| {
            state.responsive
                && state.incarnation == member.incarnation.0
                && state.assignment == wanted
        });
        assert!(
            present,
            "member {worker} was missing for longer than {silence:?}"
        );
        let issuer = &sim.entries[entry];
        let zone = sim.zone_of(worker);
        assert!(
            !issuer.pools.zones_out.contains(&zone),
            "the member's zone is out"
        );
        let listing = issuer
            .listings
            .iter()
            .find(|l| l.instance == member.instance);
        assert!(
            listing.is_some_and(|l| l.status == Status::Live),
            "a member is unlisted or leaving"
        );
    }
    let first = index(&grant.instance);
    let detection_time = 2 * silence + sim.options.start_within;
    let always_cold = !sim.was_recently(first, detection_time, |state| !state.cold);
    if always_cold {
        let load = sim.load_of(first);
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
    ($($name:ident: $policy:ident, unlisted $unlisted:expr, checked after $rounds:expr => $replaced:expr;)*) => {$(
        #[test]
        fn $name() {
            let options = Options {
                repair: Policy::$policy,
                load_time: Duration::from_secs(30),
                ..Options::default()
            };
            let mut sim = Simulation::new(options, true);
            sim.run_rounds(0, 20);
            let before = sim.row.clone();
            let member = &before.groups[0].members[0];
            let lost = index(&member.instance);
            sim.update_worker(lost, |state| state.responsive = false);
            if $unlisted {
                sim.workers[lost].listed = false;
            }
            sim.run_rounds(0, $rounds);
            let retained = sim.row.groups.iter().any(|group| group.members.contains(member));
            assert_eq!(!retained, $replaced);
        }
    )*};
}

repairs! {
    waits_for_a_member_that_may_return: Balanced, unlisted false, checked after 60 => false;
    replaces_a_member_silent_for_longer_than_a_load: Balanced, unlisted false, checked after 120 => true;
    replaces_a_member_off_the_list_at_once: Balanced, unlisted true, checked after 10 => true;
    never_replaces_a_listed_member: WhenUnlisted, unlisted false, checked after 200 => false;
    replaces_at_once: Immediate, unlisted false, checked after 10 => true;
}
