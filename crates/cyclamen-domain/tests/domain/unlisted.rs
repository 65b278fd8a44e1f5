//! Groups that run requests while members of them are missing on the platform's list.

use crate::simulation::{Simulation, WORKERS, index};
use cyclamen_domain::{Ending, Options};

fn converged() -> Simulation {
    let mut sim = Simulation::new(Options::default(), true);
    sim.run_rounds(0, 12);
    sim
}

/// Starts a request on every group.
fn run_requests(sim: &mut Simulation) {
    while sim.admit(0).is_some() {}
    for ticket in 0..sim.tickets.len() {
        sim.start_request(ticket);
    }
}

fn end_requests(sim: &mut Simulation) {
    while !sim.tickets.is_empty() {
        sim.end_request(0, Ending::Unused);
    }
}

/// Removes a worker of the first group from the list, and returns it.
fn unlist_member(sim: &mut Simulation) -> usize {
    let worker = index(&sim.row.groups[0].members[1].instance);
    sim.workers[worker].listed = false;
    worker
}

fn set_listed(sim: &mut Simulation, listed: bool) {
    for worker in 0..WORKERS {
        sim.workers[worker].listed = listed;
    }
}

/// Changes the list under requests, and checks after some rounds whether all groups are as they
/// were.
macro_rules! unlisted {
    ($($name:ident: $change:expr => $kept:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut sim = converged();
            run_requests(&mut sim);
            let before = sim.row.groups.clone();
            let change: fn(&mut Simulation) = $change;
            change(&mut sim);
            sim.run_rounds(0, 20);
            assert_eq!(sim.row.groups == before, $kept);
        }
    )*};
}

unlisted! {
    an_unlisted_member_that_responds_is_kept_while_requests_run: |sim| {
        unlist_member(sim);
    } => true;
    an_unlisted_member_that_responds_is_replaced_once_its_group_is_idle: |sim| {
        unlist_member(sim);
        end_requests(sim);
    } => false;
    an_unlisted_member_that_is_silent_is_replaced: |sim| {
        let worker = unlist_member(sim);
        sim.update_worker(worker, |state| state.responsive = false);
    } => false;
    an_unlisted_member_that_restarts_is_replaced: |sim| {
        let worker = unlist_member(sim);
        sim.restart(worker);
    } => false;
    groups_are_kept_while_the_list_is_empty: |sim| set_listed(sim, false) => true;
    groups_are_kept_after_the_list_was_empty: |sim| {
        set_listed(sim, false);
        sim.run_rounds(0, 20);
        set_listed(sim, true);
    } => true;
}
