//! Regression tests for failures that the stateful test found.

use crate::simulation::{LIMITS, Simulation, index};
use cyclamen_domain::report::Assignment;
use cyclamen_domain::{Options, Order, Report};
use cyclamen_types::{Time, instance};

fn converged() -> Simulation {
    let mut sim = Simulation::new(Options::default(), true);
    sim.run_rounds(0, 12);
    sim
}

macro_rules! serve_again {
    ($($name:ident: $faults:expr => $serving:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut sim = converged();
            let faults: fn(&mut Simulation) = $faults;
            faults(&mut sim);
            sim.run_rounds(0, 20);
            assert_eq!(sim.granting_groups(0), $serving);
        }
    )*};
}

serve_again! {
    a_member_that_left_the_list_but_responds_is_replaced: |sim| {
        sim.workers[0].listed = false;
    } => 3;
    a_leaving_member_that_restarts_is_replaced: |sim| {
        sim.restart(5);
        sim.workers[5].leaving = true;
    } => 3;
    no_spare_goes_to_a_group_whose_zone_is_out: |sim| {
        let zone = sim.zone_of(0);
        sim.pools.zones_out.insert(zone);
        sim.workers[0].leaving = true;
        sim.workers[3].listed = false;
    } => 2;
}

/// Requests admission until it is refused, and returns the highest load of a worker.
fn fill(sim: &mut Simulation, entry: usize) -> u32 {
    let mut highest = 0;
    while let Some(grant) = sim.admit(entry) {
        highest = highest.max(sim.load_of(index(&grant.instance)));
    }
    highest
}

#[test]
fn a_former_owners_request_counts_beside_new_tickets() {
    let mut sim = converged();
    sim.admit(0);
    sim.set_owner(1);
    sim.start_request(0);
    sim.advance(1_000);
    sim.run_rounds(1, 1);
    assert!(fill(&mut sim, 1) <= LIMITS.cold);
    sim.run_rounds(1, 1);
    assert!(fill(&mut sim, 1) <= LIMITS.cold);
}

#[test]
fn a_restarted_member_that_follows_an_old_order_does_not_serve() {
    let mut sim = converged();
    let group = sim.row.groups[0].clone();
    let worker = index(&group.members[1].instance);
    sim.restart(worker);
    let order = Order::Join {
        assignment: Assignment {
            group: group.id.clone(),
            fence: group.fence,
        },
        pool: group.pool.clone(),
        rank: 1,
        size: group.members.len(),
    };
    sim.orders.push((worker, order));
    sim.deliver_order(0);
    sim.probe(0, worker);
    sim.deliver_report(0);
    while let Some(grant) = sim.admit(0) {
        assert_ne!(grant.group, group.id);
    }
}

#[test]
fn an_owner_that_regains_the_domain_discards_its_former_loads() {
    let mut sim = converged();
    sim.set_owner(1);
    sim.set_owner(0);
    sim.advance(1_100);
    sim.run_rounds(0, 1);
    sim.admit(0);
    sim.set_owner(1);
    sim.run_rounds(1, 1);
    assert!(fill(&mut sim, 1) <= LIMITS.cold);
}

#[test]
fn workers_that_are_gone_are_forgotten() {
    let mut domain = converged().entries.remove(0).domain;
    let before = domain.known_instances();
    let listings: Vec<_> = domain.listings().cloned().collect();
    for n in 0..10_000 {
        let mut short_lived = listings[0].clone();
        short_lived.instance = format!("short-lived-{n}").parse().unwrap();
        let id = short_lived.instance.clone();
        domain.set_listings(listings.iter().cloned().chain([short_lived]));
        let report = Report {
            incarnation: instance::Incarnation(n),
            assignment: None,
            ready: true,
            cold: false,
            running: 0,
        };
        domain.record_report(Time::from_millis(n), &id, report);
    }
    domain.set_listings(listings);
    assert_eq!(domain.known_instances(), before);
}
