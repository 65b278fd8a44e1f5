//! Groups that run requests when their domain gets another owner, which knows nothing of them yet.

use crate::simulation::{Simulation, index};
use cyclamen_domain::{Domain, Options};

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

/// Starts a request on every group.
fn run_requests(sim: &mut Simulation) {
    while sim.admit(0).is_some() {}
    for ticket in 0..sim.tickets.len() {
        sim.start_request(ticket);
    }
}

fn rename_pool(sim: &mut Simulation) {
    sim.pools.pools[0].name = "renamed".parse().unwrap();
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
    a_leaving_member_is_kept_until_the_head_reports_its_load: |sim| {
        run_requests(sim);
        let leaving = member(sim, 1);
        sim.workers[leaving].leaving = true;
        silence(sim, 0);
    }, owner 1, checked after 4 => true;
    a_leaving_member_is_kept_while_requests_run: |sim| {
        run_requests(sim);
        let leaving = member(sim, 1);
        sim.workers[leaving].leaving = true;
    }, owner 1, checked after 20 => true;
    a_leaving_member_of_an_idle_group_is_replaced: |sim| {
        let leaving = member(sim, 1);
        sim.workers[leaving].leaving = true;
    }, owner 1, checked after 20 => false;
    a_group_of_a_renamed_pool_is_kept_until_its_head_reports_its_load: |sim| {
        run_requests(sim);
        rename_pool(sim);
        silence(sim, 0);
    }, owner 1, checked after 4 => true;
    an_idle_group_of_a_renamed_pool_is_dropped: rename_pool, owner 1, checked after 20 => false;
}

/// A new entry may own a domain before it has read the platform's list.
#[test]
fn groups_are_kept_by_an_owner_that_has_not_read_the_list() {
    let mut sim = long_running();
    let before = sim.row.groups.clone();
    sim.entries[1].domain = Domain::new("d".parse().unwrap(), sim.options);
    sim.set_owner(1);
    for _ in 0..20 {
        sim.advance(300);
        sim.plan(1);
    }
    assert_eq!(sim.row.groups, before);
    sim.run_rounds(1, 20);
    assert_eq!(sim.row.groups, before);
    assert_eq!(sim.granting_groups(1), before.len());
}
