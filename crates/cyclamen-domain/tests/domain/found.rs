//! Failures that the stateful test has found, each with a test of its own.

use crate::simulation::{LIMITS, World, index};
use cyclamen_domain::report::Assignment;
use cyclamen_domain::{Options, Order};

fn settled() -> World {
    let mut world = World::new(Options::default(), true);
    world.settle(0, 12);
    world
}

macro_rules! serve_again {
    ($($name:ident: $faults:expr => $serving:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut world = settled();
            let faults: fn(&mut World) = $faults;
            faults(&mut world);
            world.settle(0, 20);
            assert_eq!(world.granting_groups(0), $serving);
        }
    )*};
}

serve_again! {
    a_member_that_left_the_list_but_answers_is_replaced: |world| {
        world.workers[0].listed = false;
    } => 3;
    a_leaving_member_that_restarts_is_replaced: |world| {
        world.restart(5);
        world.workers[5].leaving = true;
    } => 3;
    no_spare_goes_to_a_group_whose_zone_is_out: |world| {
        let zone = world.zone_of(0);
        world.pools.zones_out.insert(zone);
        world.workers[0].leaving = true;
        world.workers[3].listed = false;
    } => 2;
}

/// Asks until no more is granted, and gives the highest load of a worker.
fn fill(world: &mut World, side: usize) -> u32 {
    let mut highest = 0;
    while let Some(grant) = world.ask(side) {
        highest = highest.max(world.load(index(&grant.instance)));
    }
    highest
}

#[test]
fn a_former_owners_request_counts_beside_new_tickets() {
    let mut world = settled();
    world.ask(0);
    world.depose(1);
    world.start(0);
    world.advance(1_000);
    world.settle(1, 1);
    assert!(fill(&mut world, 1) <= LIMITS.cold);
    world.settle(1, 1);
    assert!(fill(&mut world, 1) <= LIMITS.cold);
}

#[test]
fn a_restarted_member_that_follows_an_old_order_does_not_serve() {
    let mut world = settled();
    let group = world.row.groups[0].clone();
    let worker = index(&group.members[1].instance);
    world.restart(worker);
    let order = Order::Join {
        assignment: Assignment {
            group: group.id.clone(),
            fence: group.fence,
        },
        pool: group.pool.clone(),
        rank: 1,
        size: group.members.len(),
    };
    world.orders.push((worker, order));
    world.deliver_order(0);
    world.probe(0, worker);
    world.deliver_report(0);
    while let Some(grant) = world.ask(0) {
        assert_ne!(grant.group, group.id);
    }
}

#[test]
fn an_owner_that_lost_the_domain_in_between_starts_anew() {
    let mut world = settled();
    world.depose(1);
    world.depose(0);
    world.advance(1_100);
    world.settle(0, 1);
    world.ask(0);
    world.depose(1);
    world.settle(1, 1);
    assert!(fill(&mut world, 1) <= LIMITS.cold);
}
