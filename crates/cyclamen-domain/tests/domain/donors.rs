//! Groups whose members could complete another group, but that may still run requests themselves.

use crate::simulation::{Simulation, WORKERS, index};
use cyclamen_domain::{Ending, Options};

/// Returns a simulation with complete groups that run requests, and without a spare.
fn without_spares() -> Simulation {
    let mut sim = Simulation::new(Options::default(), true);
    sim.run_rounds(0, 12);
    let members = sim.row.groups.iter().flat_map(|g| &g.members);
    let members: Vec<_> = members.map(|m| index(&m.instance)).collect();
    for spare in (0..WORKERS).filter(|worker| !members.contains(worker)) {
        lose(&mut sim, spare);
    }
    while sim.admit(0).is_some() {}
    for ticket in 0..sim.tickets.len() {
        sim.start_request(ticket);
    }
    sim
}

fn lose(sim: &mut Simulation, worker: usize) {
    sim.workers[worker].listed = false;
    sim.update_worker(worker, |state| state.responsive = false);
}

fn member(sim: &Simulation, group: usize) -> usize {
    index(&sim.row.groups[group].members[1].instance)
}

fn silence(sim: &mut Simulation) {
    let worker = member(sim, 0);
    sim.update_worker(worker, |state| state.responsive = false);
}

fn set_leaving(sim: &mut Simulation) {
    let worker = member(sim, 0);
    sim.workers[worker].leaving = true;
}

fn end_requests(sim: &mut Simulation) {
    while !sim.tickets.is_empty() {
        sim.end_request(0, Ending::Unused);
    }
}

/// Changes the first group, loses a member of the second one, and checks after some rounds whether
/// the first group is as it was.
macro_rules! donors {
    ($($name:ident: $change:expr, checked after $rounds:expr => $kept:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut sim = without_spares();
            let before = sim.row.groups[0].clone();
            let change: fn(&mut Simulation) = $change;
            change(&mut sim);
            let lost = member(&sim, 1);
            lose(&mut sim, lost);
            sim.run_rounds(0, $rounds);
            assert_eq!(sim.row.group(&before.id) == Some(&before), $kept);
        }
    )*};
}

donors! {
    a_group_with_a_silent_member_is_no_donor: silence, checked after 10 => true;
    a_group_with_a_member_silent_for_longer_than_a_load_is_a_donor: silence,
        checked after 220 => false;
    a_group_with_a_lost_member_is_a_donor: |sim| {
        let lost = member(sim, 0);
        lose(sim, lost);
    }, checked after 10 => false;
    a_group_with_a_restarted_member_is_a_donor: |sim| {
        let restarted = member(sim, 0);
        sim.restart(restarted);
    }, checked after 10 => false;
    a_group_that_drains_is_no_donor: set_leaving, checked after 10 => true;
    a_drained_group_is_a_donor: |sim| {
        set_leaving(sim);
        end_requests(sim);
    }, checked after 10 => false;
}
