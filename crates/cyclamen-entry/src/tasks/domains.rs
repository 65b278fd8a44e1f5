//! Takes over fabric domains without an owner, and plans those of this entry.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_cache::{Key, Revision};
use cyclamen_domain::{Owner, Row, Step};
use cyclamen_platform::{Outcome, Transaction, keys};
use cyclamen_types::{Time, domain};

use crate::node::{Node, State};
use crate::tasks::own_domains;

/// Domains are only handed to entries that this entry has known for this long.
const SETTLED: Duration = Duration::from_secs(20);

/// A change of a domain's row that this entry wants to make.
struct Move {
    name: domain::Name,
    row: Row,
    transaction: Transaction,
}

/// Takes over, hands over and plans.
pub(crate) async fn step(node: &Arc<Node>) {
    let now = node.now();
    let moves = moves(&mut node.state(), now);
    for each in moves {
        write(node, each).await;
    }
    let names = own_domains(&node.state());
    for name in names {
        plan(node, &name).await;
    }
}

fn moves(state: &mut State, now: Time) -> Vec<Move> {
    if state.draining || !state.lease.is_held(now) || !state.entries.contains_key(&state.me) {
        return Vec::new();
    }
    state.note_arrivals(now);
    state.arrange_domains();
    let names = state.domains.keys();
    names
        .filter_map(|name| take_over(state, name).or_else(|| hand_over(state, name, now)))
        .collect()
}

/// Takes a domain that has no live owner, if this entry is responsible for it.
fn take_over(state: &State, name: &domain::Name) -> Option<Move> {
    let row = state.domains.get(name)?.row();
    let former = row.owner.as_ref();
    if former.is_some_and(|owner| state.entries.contains_key(owner)) {
        return None;
    }
    let responsible = state.responsible.get(name)?;
    if *responsible != state.me {
        return None;
    }
    let mut moved = move_to(state, name, Some(state.me.clone()));
    if let Some(former) = former {
        let gone = moved.transaction.when(keys::entry(former), Revision(0));
        moved.transaction = gone;
    }
    Some(moved)
}

/// Hands a domain to the entry that is responsible for it by now.
fn hand_over(state: &State, name: &domain::Name, now: Time) -> Option<Move> {
    let domain = state.domains.get(name).filter(|d| d.is_mine())?;
    let responsible = state.responsible.get(name)?;
    if *responsible == state.me || domain.queue_len() > 0 {
        return None;
    }
    let settled = state
        .arrivals
        .get(responsible)
        .is_some_and(|at| now.since(*at) >= SETTLED);
    settled.then(|| move_to(state, name, Some(responsible.clone())))
}

/// The change of a domain's owner, on the condition that its row is as it was read.
fn move_to(state: &State, name: &domain::Name, owner: Option<Owner>) -> Move {
    let row = state.domains.get(name).map(|d| d.row().with_owner(owner));
    write_of(state, name, row.unwrap_or_default())
}

fn write_of(state: &State, name: &domain::Name, row: Row) -> Move {
    let key = keys::domain(name);
    let revision = state.revision(&key);
    Move {
        name: name.clone(),
        transaction: Transaction::default()
            .when(key.clone(), revision)
            .put(key, &row),
        row,
    }
}

async fn write(node: &Node, change: Move) {
    let Move {
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
            adopt(node, &keys::domain(&name), revision, &row);
        }
        Ok(Outcome::Conflict(_)) => log::info!("event=domain_conflict domain={name}"),
        Err(error) => log::warn!("event=domain_not_written domain={name} reason=\"{error}\""),
    }
}

fn adopt(node: &Node, key: &Key, revision: Revision, row: &Row) {
    let value = serde_json::to_string(row).ok().map(Arc::from);
    let now = node.now();
    node.state().wrote(now, key.clone(), revision, value);
}

/// Takes the next steps towards whole groups in one domain.
async fn plan(node: &Arc<Node>, name: &domain::Name) {
    let now = node.now();
    let (steps, change) = {
        let mut state = node.state();
        let holds = state.lease.is_held(now);
        let pools = state.pools.clone();
        let Some(domain) = state.domains.get_mut(name) else {
            return;
        };
        let steps = domain.plan(now, &pools.body, holds);
        let row = steps.iter().find_map(|step| match step {
            Step::Write(row) => Some(row.clone()),
            Step::Order { .. } => None,
        });
        (steps, row.map(|row| write_of(&state, name, row)))
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

/// Gives every domain of this entry up, at shutdown.
pub(crate) async fn hand_over_all(node: &Arc<Node>) {
    let names = own_domains(&node.state());
    for name in names {
        let change = move_to(&node.state(), &name, None);
        write(node, change).await;
    }
}
