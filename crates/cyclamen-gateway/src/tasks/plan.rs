//! Sends the orders that keep the groups of owned domains complete.

use std::sync::Arc;

use cyclamen_directory::Instance;
use cyclamen_directory::service::Service;
use cyclamen_replica::{
    Command, Conversion, GroupCounts, Outcome, Start, State as GroupState, View, Worker,
};
use cyclamen_types::{Time, domain};
use smol::Timer;
use smol::future::or;

use crate::node::{LimitSource, Node, ProbeCause, State};
use crate::settings::millis;
use crate::tasks::probe::{INITIAL_PROBES, probe_worker};
use crate::tasks::{ownership, record_notices};

/// Plans when woken by a change, and at least once per planning interval.
pub(super) async fn run(node: Arc<Node>) {
    let interval = millis(node.settings.timing.plan_every_ms);
    loop {
        let woken = async {
            // The channel cannot close: the node holds the sender.
            let _ = node.planner_wake_rx.recv().await;
        };
        let idle = async {
            Timer::after(interval).await;
        };
        or(woken, idle).await;
        let now = node.now();
        let commands = plan(&mut node.state(), now);
        for command in commands {
            smol::spawn(send_order(node.clone(), command)).detach();
        }
    }
}

fn plan(state: &mut State, now: Time) -> Vec<Command> {
    let catalog = state.catalog.clone();
    state.follow_demand(now, &catalog);
    if state.is_draining() || !state.lease.is_held(now) {
        return Vec::new();
    }
    let mut commands = Vec::new();
    for service in catalog.services() {
        if state.is_cut_off(now, &service.name) {
            // What this entry sees of the workers is the loss of its own path.
            continue;
        }
        commands.extend(plan_service(state, now, service));
    }
    commands
}

fn plan_service(state: &mut State, now: Time, service: &Service) -> Vec<Command> {
    let Some(engine) = &service.engine else {
        return Vec::new();
    };
    let domains = ownership::domains(state).len();
    let records = state.registry.records();
    let available = records.filter(|record| {
        let of_service = record.instance.service == service.name;
        of_service && record.is_listed() && record.is_ready()
    });
    let available = available.map(|record| record.instance.as_ref());
    let loading_domains = cyclamen_replica::loading_domains(engine, available);
    let mut planners = std::mem::take(&mut state.ownership.planners);
    let mut commands = Vec::new();
    for (name, planner) in &mut planners {
        let workers = workers(state, now, service, name);
        if workers.is_empty() {
            continue;
        }
        let remote_groups = remote_groups(state, service, name);
        planner.set_direction(state.direction(&service.name, name));
        let before = planner.conversion().cloned();
        commands.extend(planner.plan(&View {
            now,
            engine,
            workers: &workers,
            remote_groups: &remote_groups,
            domain_count: domains,
            loading_domains,
        }));
        log_conversion(name, before.as_ref(), planner.conversion());
    }
    state.ownership.planners = planners;
    commands
}

/// Logs the beginning, the step and the end of a conversion of groups.
fn log_conversion(domain: &domain::Name, before: Option<&Conversion>, after: Option<&Conversion>) {
    if before == after {
        return;
    }
    let Some(conversion) = after.or(before) else {
        return;
    };
    let reason = match (before, after) {
        (_, Some(after)) if after.closing_since.is_some() => "prepared",
        (_, Some(_)) => "short",
        (Some(before), None) if before.closing_since.is_some() => "closed",
        (_, None) => "dropped",
    };
    for (group, fence) in &conversion.groups {
        log::info!(
            "event=group_conversion domain={domain} group={group} fence={fence} from={} to={} \
             reason={reason}",
            conversion.shift.from,
            conversion.shift.to
        );
    }
}

fn workers(state: &State, now: Time, service: &Service, domain: &domain::Name) -> Vec<Worker> {
    let records = state.registry.records();
    let of_domain = records.filter(|record| {
        let instance = &record.instance;
        instance.service == service.name && instance.domain.as_ref() == Some(domain)
    });
    of_domain
        .map(|record| {
            let start = Start::from(record.instance.as_ref());
            Worker {
                instance: record.instance.clone(),
                alive: !state.detector.is_failed(now, &start),
                listed: record.is_listed(),
                suspected: state.detector.is_suspected(&start),
                zone_active: !state.zones_out.contains(&record.instance.zone),
            }
        })
        .collect()
}

/// Counts the complete groups of each model in other domains.
fn remote_groups(state: &State, service: &Service, domain: &domain::Name) -> GroupCounts {
    let mut counts = GroupCounts::new();
    let Some(engine) = &service.engine else {
        return counts;
    };
    for group in state.groups(service).iter() {
        let in_domain = group
            .members
            .values()
            .any(|m| m.domain.as_ref() == Some(domain));
        let partial = group.state(engine, |m| state.is_suspected(m)) == GroupState::Partial;
        if let Some(model) = group.model.clone().filter(|_| !in_domain && !partial) {
            *counts.entry(model).or_default() += 1;
        }
    }
    counts
}

async fn send_order(node: Arc<Node>, command: Command) {
    let sent_at = node.now();
    let response = node.platform.order(&command).await;
    let outcome = response.result;
    let kind = command.order.kind();
    let label = outcome.kind();
    node.metrics.record_order(kind, label);
    log::info!(
        "event=order instance={} order={kind} model={} fence={} answer={label}",
        command.instance,
        command.order.model().map_or("none", |m| m.as_str()),
        command.order.fence().unwrap_or_default()
    );
    let Some(worker) = record_outcome(&node, &command, outcome) else {
        return;
    };
    if let Some(notices) = response.notices {
        let start = Start::from(worker.as_ref());
        record_notices(&node, &start, sent_at, notices, LimitSource::Order);
    }
    match outcome {
        Outcome::Accepted => {}
        Outcome::Unreachable | Outcome::Lost => {
            probe_worker(&node, worker, ProbeCause::Order, INITIAL_PROBES);
        }
        Outcome::Unfitting | Outcome::Fenced | Outcome::Misdirected | Outcome::Refused(_) => {
            node.wake_planner();
        }
    }
}

/// Reports the outcome of an order to the planner of the worker's domain; returns the worker if
/// it is still known.
fn record_outcome(node: &Node, command: &Command, outcome: Outcome) -> Option<Arc<Instance>> {
    let now = node.now();
    let mut state = node.state();
    let worker = state.registry.get(&command.instance)?.instance.clone();
    let planner = state.ownership.planners.get_mut(worker.domain.as_ref()?)?;
    planner.record_outcome(now, command, outcome);
    Some(worker)
}
