//! Gives the orders that keep the groups of own domains whole.

use std::sync::Arc;

use cyclamen_directory::service::Service;
use cyclamen_replica::{Command, GroupCounts, Start, State as GroupState, View, Worker};
use cyclamen_types::{Time, domain};
use smol::Timer;
use smol::future::or;

use crate::edge::OrderAnswer;
use crate::node::{Node, State};
use crate::settings::span;
use crate::tasks::ownership;

/// Plans whenever something has changed, and from time to time.
pub(super) async fn run(node: Arc<Node>) {
    let pause = span(node.settings.timing.plan_every_ms);
    loop {
        let woken = async {
            // The sender lives as long as the node.
            let _ = node.plan_due.recv().await;
        };
        let idle = async {
            Timer::after(pause).await;
        };
        or(woken, idle).await;
        let now = node.now();
        let commands = plan(&mut node.state(), now);
        for command in commands {
            smol::spawn(give(node.clone(), command)).detach();
        }
    }
}

fn plan(state: &mut State, now: Time) -> Vec<Command> {
    if state.draining || !state.lease.is_held(now) {
        return Vec::new();
    }
    let catalog = state.catalog.clone();
    let mut commands = Vec::new();
    for service in catalog.services() {
        commands.extend(plan_service(state, now, service));
    }
    commands
}

fn plan_service(state: &mut State, now: Time, service: &Service) -> Vec<Command> {
    let Some(engine) = &service.engine else {
        return Vec::new();
    };
    let domains = ownership::domains(state).len();
    let mut planners = std::mem::take(&mut state.ownership.planners);
    let mut commands = Vec::new();
    for (name, planner) in &mut planners {
        let workers = workers(state, now, service, name);
        if workers.is_empty() {
            continue;
        }
        let elsewhere = elsewhere(state, service, name);
        commands.extend(planner.plan(&View {
            now,
            engine,
            workers: &workers,
            remote_groups: &elsewhere,
            domain_count: domains,
        }));
    }
    state.ownership.planners = planners;
    commands
}

fn workers(state: &State, now: Time, service: &Service, domain: &domain::Name) -> Vec<Worker> {
    let entries = state.register.entries();
    let here = entries.filter(|entry| {
        let instance = &entry.instance;
        instance.service == service.name && instance.domain.as_ref() == Some(domain)
    });
    here.map(|entry| {
        let start = Start::from(entry.instance.as_ref());
        let suspected = state.detector.is_suspected(&start);
        // That a worker is not listed any more is a second opinion.
        let gone = entry.has_departed() && suspected;
        Worker {
            instance: entry.instance.clone(),
            alive: !gone && !state.detector.is_failed(now, &start),
            listed: entry.is_listed(),
            suspected,
            zone_active: !state.zones_out.contains(&entry.instance.zone),
        }
    })
    .collect()
}

/// Groups of each model that serve in other domains.
fn elsewhere(state: &State, service: &Service, domain: &domain::Name) -> GroupCounts {
    let mut mix = GroupCounts::new();
    let Some(engine) = &service.engine else {
        return mix;
    };
    for group in state.groups(service).iter() {
        let here = group
            .members
            .values()
            .any(|m| m.domain.as_ref() == Some(domain));
        let partial = group.state(engine, |m| state.is_suspected(m)) == GroupState::Partial;
        if let Some(model) = group.model.clone().filter(|_| !here && !partial) {
            *mix.entry(model).or_default() += 1;
        }
    }
    mix
}

async fn give(node: Arc<Node>, command: Command) {
    let kind = command.order.kind();
    let fence = command.order.fence();
    let answer = node.platform.order(&command).await;
    let outcome = match answer {
        OrderAnswer::Accepted => "accepted",
        OrderAnswer::Unfitting => "unfitting",
        OrderAnswer::Fenced => "fenced",
        OrderAnswer::Misdirected => "misdirected",
        OrderAnswer::Refused(_) => "refused",
        OrderAnswer::Unreachable => "unreachable",
        OrderAnswer::Lost => "lost",
    };
    node.metrics.ordered(kind, outcome);
    log::info!(
        "event=order instance={} order={kind} model={} fence={} answer={outcome}",
        command.instance,
        command.order.model().map_or("none", |m| m.as_str()),
        fence.unwrap_or_default()
    );
}
