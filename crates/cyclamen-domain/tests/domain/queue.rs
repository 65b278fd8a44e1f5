//! Queued requests: fair shares, priorities, deadlines, zones and early refusal.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_domain::{Decision, Ending, Options, QueueId, Refusal, Request};
use cyclamen_tables::routes::Priority;

use crate::simulation::Simulation;

/// Returns a simulation with complete groups in which every slot is in use.
fn full() -> Simulation {
    let mut sim = Simulation::new(Options::default(), true);
    sim.run_rounds(0, 20);
    while sim.admit(0).is_some() {}
    sim
}

fn admit(sim: &mut Simulation, change: impl FnOnce(&mut Request)) -> Decision {
    let mut request = sim.new_request(0);
    request.may_queue = true;
    change(&mut request);
    let (now, entry) = (sim.now, &mut sim.entries[0]);
    entry.domain.admit(now, request, &entry.pools.clone(), true)
}

fn enqueue(sim: &mut Simulation, change: impl FnOnce(&mut Request)) -> QueueId {
    match admit(sim, change) {
        Decision::Queued(queued) => queued,
        decision => panic!("{decision:?} instead of queueing"),
    }
}

fn poll_queue(sim: &mut Simulation) -> Vec<(QueueId, Decision)> {
    let (now, entry) = (sim.now, &mut sim.entries[0]);
    entry.domain.poll_queue(now, &entry.pools.clone(), true)
}

/// Frees one slot after another and returns the queued requests in the order of their grants.
fn serve(sim: &mut Simulation, count: usize) -> Vec<QueueId> {
    let mut served = Vec::new();
    while served.len() < count {
        sim.end_request(0, Ending::Unused);
        for (queued, decision) in poll_queue(sim) {
            if let Decision::Granted(grant) = decision {
                sim.record_grant(0, &grant);
                served.push(queued);
            }
        }
    }
    served
}

#[test]
fn a_large_team_does_not_starve_a_small_one() {
    let mut sim = full();
    let mut teams = BTreeMap::new();
    for (team, requests) in [("large", 18), ("small", 3)] {
        for _ in 0..requests {
            let queued = enqueue(&mut sim, |request| request.team = team.parse().unwrap());
            teams.insert(queued, team);
        }
    }
    let first: Vec<_> = serve(&mut sim, 6)
        .iter()
        .map(|queued| teams[queued])
        .collect();
    assert_eq!(
        first.iter().filter(|team| **team == "small").count(),
        3,
        "{first:?}"
    );
}

#[test]
fn turns_follow_the_shares() {
    let mut sim = full();
    let mut teams = BTreeMap::new();
    for _ in 0..8 {
        for (team, share) in [("three", 3), ("one", 1)] {
            let queued = enqueue(&mut sim, |request| {
                request.team = team.parse().unwrap();
                request.share = share;
            });
            teams.insert(queued, team);
        }
    }
    let first: Vec<_> = serve(&mut sim, 8)
        .iter()
        .map(|queued| teams[queued])
        .collect();
    assert_eq!(
        first.iter().filter(|team| **team == "three").count(),
        6,
        "{first:?}"
    );
}

#[test]
fn interactive_work_goes_before_batch_work() {
    let mut sim = full();
    let batch = enqueue(&mut sim, |request| request.priority = Priority::Batch);
    let interactive = enqueue(&mut sim, |_| ());
    assert_eq!(serve(&mut sim, 2), [interactive, batch]);
}

#[test]
fn a_request_is_refused_when_its_deadline_passes_in_the_queue() {
    let mut sim = full();
    let queued = enqueue(&mut sim, |_| ());
    for _ in 0..31 {
        sim.run_rounds(0, 4);
    }
    let decisions = poll_queue(&mut sim);
    let (late, decision) = &decisions[0];
    assert_eq!(*late, queued);
    assert!(
        matches!(decision, Decision::Refused(Refusal::Late(_))),
        "{decision:?}"
    );
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut sim = full();
    let now = sim.now;
    let decision = admit(&mut sim, |request| {
        request.deadline = now + Duration::from_millis(1)
    });
    assert!(
        matches!(decision, Decision::Refused(Refusal::Late(_))),
        "{decision:?}"
    );
}

#[test]
fn queued_requests_are_refused_when_every_zone_is_out() {
    let mut sim = full();
    let queued = enqueue(&mut sim, |_| ());
    for worker in 0..10 {
        let zone = sim.zone_of(worker);
        sim.pools.zones_out.insert(zone);
    }
    sim.sync(0);
    assert_eq!(
        poll_queue(&mut sim),
        [(queued, Decision::Refused(Refusal::NotServing))]
    );
}

#[test]
fn one_suspect_runs_on_a_group_at_a_time() {
    let mut sim = Simulation::new(Options::default(), true);
    sim.run_rounds(0, 20);
    let mut groups = Vec::new();
    while let Decision::Granted(grant) = admit(&mut sim, |request| request.suspect = true) {
        assert!(!groups.contains(&grant.group));
        groups.push(grant.group);
    }
    assert_eq!(groups.len(), sim.row.groups.len());
}

#[test]
fn a_ticket_released_while_queued_is_not_issued() {
    let mut sim = full();
    let request = Request {
        may_queue: true,
        ..sim.new_request(0)
    };
    let (now, entry) = (sim.now, &mut sim.entries[0]);
    let pools = entry.pools.clone();
    entry.domain.admit(now, request.clone(), &pools, true);
    assert_eq!(entry.domain.queue_len(), 1);
    entry
        .domain
        .release(now, request.ticket, Ending::Unused, &pools);
    assert_eq!(entry.domain.queue_len(), 0);
}
