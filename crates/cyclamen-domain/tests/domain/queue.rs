//! QueueId requests: fair shares, priorities, deadlines, zones and early refusal.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_domain::{Decision, Ending, Options, QueueId, Refusal, Request};
use cyclamen_tables::routes::Priority;

use crate::simulation::World;

/// A settled site whose every place is taken.
fn full() -> World {
    let mut world = World::new(Options::default(), true);
    world.settle(0, 20);
    while world.ask(0).is_some() {}
    world
}

fn admit(world: &mut World, change: impl FnOnce(&mut Request)) -> Decision {
    let mut ask = world.request(0);
    ask.may_queue = true;
    change(&mut ask);
    let (now, side) = (world.now, &mut world.sides[0]);
    side.domain.admit(now, ask, &side.pools.clone(), true)
}

fn wait(world: &mut World, change: impl FnOnce(&mut Request)) -> QueueId {
    match admit(world, change) {
        Decision::Queued(waiting) => waiting,
        answer => panic!("{answer:?} instead of waiting"),
    }
}

fn next(world: &mut World) -> Vec<(QueueId, Decision)> {
    let (now, side) = (world.now, &mut world.sides[0]);
    side.domain.poll_queue(now, &side.pools.clone(), true)
}

/// Frees one place after another and gives the requests in the order of their turns.
fn serve(world: &mut World, turns: usize) -> Vec<QueueId> {
    let mut served = Vec::new();
    while served.len() < turns {
        world.end(0, Ending::Unused);
        for (waiting, answer) in next(world) {
            if let Decision::Granted(grant) = answer {
                world.take(0, &grant);
                served.push(waiting);
            }
        }
    }
    served
}

#[test]
fn a_large_team_does_not_starve_a_small_one() {
    let mut world = full();
    let mut teams = BTreeMap::new();
    for (team, requests) in [("large", 18), ("small", 3)] {
        for _ in 0..requests {
            let waiting = wait(&mut world, |ask| ask.team = team.parse().unwrap());
            teams.insert(waiting, team);
        }
    }
    let first: Vec<_> = serve(&mut world, 6).iter().map(|w| teams[w]).collect();
    assert_eq!(
        first.iter().filter(|team| **team == "small").count(),
        3,
        "{first:?}"
    );
}

#[test]
fn turns_follow_the_shares() {
    let mut world = full();
    let mut teams = BTreeMap::new();
    for _ in 0..8 {
        for (team, share) in [("three", 3), ("one", 1)] {
            let waiting = wait(&mut world, |ask| {
                ask.team = team.parse().unwrap();
                ask.share = share;
            });
            teams.insert(waiting, team);
        }
    }
    let first: Vec<_> = serve(&mut world, 8).iter().map(|w| teams[w]).collect();
    assert_eq!(
        first.iter().filter(|team| **team == "three").count(),
        6,
        "{first:?}"
    );
}

#[test]
fn interactive_work_goes_before_batch_work() {
    let mut world = full();
    let batch = wait(&mut world, |ask| ask.priority = Priority::Batch);
    let interactive = wait(&mut world, |_| ());
    assert_eq!(serve(&mut world, 2), [interactive, batch]);
}

#[test]
fn a_request_is_refused_when_its_deadline_passes_in_the_queue() {
    let mut world = full();
    let waiting = wait(&mut world, |_| ());
    for _ in 0..31 {
        world.settle(0, 4);
    }
    let answers = next(&mut world);
    let (late, answer) = &answers[0];
    assert_eq!(*late, waiting);
    assert!(
        matches!(answer, Decision::Refused(Refusal::Late(_))),
        "{answer:?}"
    );
}

#[test]
fn a_request_that_cannot_make_its_deadline_is_refused_at_once() {
    let mut world = full();
    let now = world.now;
    let answer = admit(&mut world, |ask| {
        ask.deadline = now + Duration::from_millis(1)
    });
    assert!(
        matches!(answer, Decision::Refused(Refusal::Late(_))),
        "{answer:?}"
    );
}

#[test]
fn waiting_requests_of_a_zone_that_goes_out_are_sent_elsewhere() {
    let mut world = full();
    let waiting = wait(&mut world, |_| ());
    for worker in 0..10 {
        let zone = world.zone_of(worker);
        world.pools.zones_out.insert(zone);
    }
    world.sync(0);
    assert_eq!(
        next(&mut world),
        [(waiting, Decision::Refused(Refusal::NotServing))]
    );
}

#[test]
fn one_suspect_runs_on_a_group_at_a_time() {
    let mut world = World::new(Options::default(), true);
    world.settle(0, 20);
    let mut groups = Vec::new();
    while let Decision::Granted(grant) = admit(&mut world, |ask| ask.suspect = true) {
        assert!(!groups.contains(&grant.group));
        groups.push(grant.group);
    }
    assert_eq!(groups.len(), world.row.groups.len());
}

#[test]
fn a_ticket_given_back_while_it_waits_is_not_issued() {
    let mut world = full();
    let ask = Request {
        may_queue: true,
        ..world.request(0)
    };
    let (now, side) = (world.now, &mut world.sides[0]);
    let pools = side.pools.clone();
    side.domain.admit(now, ask.clone(), &pools, true);
    assert_eq!(side.domain.queue_len(), 1);
    side.domain.release(now, ask.ticket, Ending::Unused, &pools);
    assert_eq!(side.domain.queue_len(), 0);
}
