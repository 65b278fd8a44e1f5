//! Groups that run requests when their domain gets another owner, which knows nothing of them yet.

use crate::simulation::{Simulation, index};
use cyclamen_domain::Options;

/// Longer than a worker takes to load.
const LONG_MILLIS: u64 = 65_000;

/// Returns a simulation with complete groups and one spare, run by processes that started long ago.
fn long_running() -> Simulation {
    let mut sim = Simulation::new(Options::default(), true);
    sim.run_rounds(0, 12);
    sim.advance(LONG_MILLIS);
    sim.run_rounds(0, 12);
    sim
}

/// Returns the worker of this rank in the first group.
fn member(sim: &Simulation, rank: usize) -> usize {
    index(&sim.row.groups[0].members[rank].instance)
}

fn silence(sim: &mut Simulation, rank: usize) {
    let worker = member(sim, rank);
    sim.update_worker(worker, |state| state.responsive = false);
}

/// Runs a group under a former owner, changes the owner and checks after this many rounds whether
/// the group is as it was.
macro_rules! takeovers {
    ($($name:ident: $faults:expr, owner $owner:expr, checked after $rounds:expr => $kept:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut sim = long_running();
            let faults: fn(&mut Simulation) = $faults;
            faults(&mut sim);
            let before = sim.row.groups[0].clone();
            sim.set_owner($owner);
            sim.run_rounds($owner, $rounds);
            assert_eq!(sim.row.group(&before.id) == Some(&before), $kept);
        }
    )*};
}

takeovers! {
    a_member_that_the_new_owner_has_not_heard_from_is_kept: |sim| silence(sim, 1), owner 1,
        checked after 4 => true;
    a_head_that_the_new_owner_has_not_heard_from_is_kept: |sim| silence(sim, 0), owner 1,
        checked after 4 => true;
    a_member_that_an_owner_heard_from_long_ago_is_kept: |sim| {
        sim.set_owner(1);
        sim.run_rounds(1, 250);
        silence(sim, 1);
    }, owner 0, checked after 4 => true;
    a_member_that_restarted_under_the_former_owner_is_kept: |sim| {
        sim.set_owner(1);
        sim.restart(member(sim, 1));
        sim.run_rounds(1, 20);
        silence(sim, 1);
    }, owner 0, checked after 4 => true;
    a_member_that_stays_silent_for_longer_than_a_load_is_replaced: |sim| silence(sim, 1), owner 1,
        checked after 220 => false;
}
