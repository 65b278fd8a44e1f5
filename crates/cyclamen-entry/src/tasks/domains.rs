//! Takes over fabric domains without an owner, hands over and plans those of this entry.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_cache::{Key, Revision};
use cyclamen_domain::{Owner, Row, Step};
use cyclamen_platform::{Outcome, Transaction, keys};
use cyclamen_types::{Time, domain};

use crate::node::{Node, State};
use crate::tasks::own_domains;

/// The minimum time between the first observation of an entry and a handover of domains to it.
const HANDOVER_DELAY: Duration = Duration::from_secs(20);

/// A change of a domain's row to be written by this entry.
struct RowChange {
    name: domain::Name,
    row: Row,
    transaction: Transaction,
}

/// Takes over, hands over and plans domains.
pub(crate) async fn step(node: &Arc<Node>) {
    let now = node.now();
    let changes = ownership_changes(&mut node.state(), now);
    for change in changes {
        write(node, change).await;
    }
    let names = own_domains(&node.state());
    for name in names {
        plan(node, &name).await;
    }
}

fn ownership_changes(state: &mut State, now: Time) -> Vec<RowChange> {
    if state.drain.is_some() || !state.lease.is_held(now) || !state.entries.contains_key(&state.me)
    {
        return Vec::new();
    }
    state.update_first_seen(now);
    state.assign_domains();
    let names = state.domains.keys();
    names
        .filter_map(|name| take_over(state, name).or_else(|| hand_over(state, name, now)))
        .collect()
}

/// Returns the change that takes over a domain without a live owner, if the domain is
/// assigned to this entry.
fn take_over(state: &State, name: &domain::Name) -> Option<RowChange> {
    let row = state.domains.get(name)?.row();
    let former = row.owner.as_ref();
    if former.is_some_and(|owner| state.entries.contains_key(owner)) {
        return None;
    }
    let assigned = state.assigned_owners.get(name)?;
    if *assigned != state.me {
        return None;
    }
    let mut change = change_owner(state, name, Some(state.me.clone()));
    if let Some(former) = former {
        let absent = change
            .transaction
            .when(keys::entry(former), Revision::ABSENT);
        change.transaction = absent;
    }
    Some(change)
}

/// Returns the change that hands over a domain to the entry that it is now assigned to.
fn hand_over(state: &State, name: &domain::Name, now: Time) -> Option<RowChange> {
    let domain = state.domains.get(name).filter(|d| d.is_mine())?;
    let assigned = state.assigned_owners.get(name)?;
    if *assigned == state.me || domain.queue_len() > 0 {
        return None;
    }
    let is_due = state
        .first_seen
        .get(assigned)
        .is_some_and(|at| now.since(*at) >= HANDOVER_DELAY);
    is_due.then(|| change_owner(state, name, Some(assigned.clone())))
}

/// Returns the change of a domain's owner, on the condition that its row is unchanged.
fn change_owner(state: &State, name: &domain::Name, owner: Option<Owner>) -> RowChange {
    let row = state.domains.get(name).map(|d| d.row().with_owner(owner));
    row_change(state, name, row.unwrap_or_default())
}

fn row_change(state: &State, name: &domain::Name, row: Row) -> RowChange {
    let key = keys::domain(name);
    let revision = state.revision(&key);
    RowChange {
        name: name.clone(),
        transaction: Transaction::default()
            .when(key.clone(), revision)
            .put(key, &row),
        row,
    }
}

async fn write(node: &Node, change: RowChange) {
    let RowChange {
        name,
        row,
        transaction,
    } = change;
    match node.platform.transact(&transaction).await {
        Ok(Outcome::Committed(revision)) => {
            let groups = row.groups.len();
            log::info!(
                "event=domain_written domain={name} fence={} groups={groups}",
                row.fence
            );
            record_write(node, &keys::domain(&name), revision, &row);
        }
        Ok(Outcome::Conflict(_)) => log::info!("event=domain_conflict domain={name}"),
        Err(error) => log::warn!("event=domain_not_written domain={name} reason=\"{error}\""),
    }
}

fn record_write(node: &Node, key: &Key, revision: Revision, row: &Row) {
    let value = serde_json::to_string(row).ok().map(Arc::from);
    let now = node.now();
    node.state().record_write(now, key.clone(), revision, value);
}

/// Plans one domain: writes its row if the plan changes it, and sends orders to its workers.
async fn plan(node: &Arc<Node>, name: &domain::Name) {
    let now = node.now();
    let (steps, change) = {
        let mut state = node.state();
        let lease_held = state.lease.is_held(now);
        let pools = state.pools.clone();
        let Some(domain) = state.domains.get_mut(name) else {
            return;
        };
        let steps = domain.plan(now, &pools.body, lease_held);
        let row = steps.iter().find_map(|step| match step {
            Step::Write(row) => Some(row.clone()),
            Step::Order { .. } => None,
        });
        (steps, row.map(|row| row_change(&state, name, row)))
    };
    if let Some(change) = change {
        write(node, change).await;
    }
    for step in steps {
        if let Step::Order {
            instance,
            address,
            order,
        } = step
        {
            let node = node.clone();
            let sending = async move {
                let followed = node.workers.order(address, &order).await;
                log::info!("event=order instance={instance} followed={followed:?}");
            };
            smol::spawn(sending).detach();
        }
    }
}

/// Gives up the ownership of every domain of this entry at shutdown.
pub(crate) async fn hand_over_all(node: &Arc<Node>) {
    let names = own_domains(&node.state());
    for name in names {
        let change = change_owner(&node.state(), &name, None);
        write(node, change).await;
    }
}
