//! Takes over fabric domains that no live entry looks after.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_cache::Revision;
use cyclamen_domain::Owner;
use cyclamen_replica::Planner;
use cyclamen_route::rendezvous;
use cyclamen_types::{Time, domain, entry, group};
use serde::{Deserialize, Serialize};

use crate::edge::{Commit, Snapshot, Table, Transaction};
use crate::node::{Holding, Node, State};
use crate::settings::span;
use crate::tasks::{lease, store};

/// Entries that watch a domain in a large fleet.
const WATCHERS: usize = 3;
/// The most other entries in a fleet in which all watch all domains.
const WATCHED_BY_ALL: usize = 8;
/// The least time between two reads of the rows of entries and domains.
const READ_EVERY: Duration = Duration::from_millis(500);
/// Fencing numbers that one owner may use for each revision of the store.
const FENCES: u64 = 1_000;

/// The row of a fabric domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Row {
    owner: Owner,
}

/// Takes over the domains for which this entry is responsible and which nobody looks after.
pub(super) async fn step(node: &Arc<Node>) {
    let Some(wanted) = due(node) else {
        return;
    };
    let Ok(entries) = lease::read_entries(node).await else {
        return;
    };
    if wanted.is_empty() {
        return;
    }
    let Ok(domains) = store::read(node, Table::Domains).await else {
        return;
    };
    let now = node.now();
    note_holdings(node, &domains);
    observe(node, now, &entries);
    for name in wanted {
        let transaction = take_over(&node.state(), now, &entries, &name);
        if let Some(transaction) = transaction {
            write(node, &name, transaction).await;
        }
    }
}

/// The domains to take over, if the rows of entries and domains are to be read now.
fn due(node: &Node) -> Option<Vec<domain::Name>> {
    let now = node.now();
    let mut state = node.state();
    if state.draining {
        return None;
    }
    let silence = span(node.settings.timing.peer_silence_ms);
    let wanted = wanted(&state, now, silence);
    state.ownership.wanting = !wanted.is_empty();
    // Without a lease the rows are only read once, to learn of the other entries.
    let wanted = if state.lease.is_held(now) {
        wanted
    } else {
        Vec::new()
    };
    let last = state.ownership.read;
    let recent = last.is_some_and(|at| now.since(at) < READ_EVERY);
    if recent || (wanted.is_empty() && last.is_some()) {
        return None;
    }
    state.ownership.read = Some(now);
    Some(wanted)
}

/// The domains that this entry should take over: those without a live owner for which it
/// comes before all other live watchers.
fn wanted(state: &State, now: Time, silence: Duration) -> Vec<domain::Name> {
    let alive = |name: &entry::Name| {
        let heard = state.peers.get(name).and_then(|peer| peer.heard);
        *name == state.me.entry || heard.is_some_and(|at| now.since(at) < silence)
    };
    let unowned = domains(state).into_iter().filter(|name| {
        let holding = state.ownership.holdings.get(name);
        let owned = holding.is_some_and(|holding| {
            alive(&holding.owner.entry) && !is_former_start(state, &holding.owner)
        });
        !owned && !state.ownership.planners.contains_key(name)
    });
    unowned
        .filter(|name| {
            let watchers = watchers(state, name);
            watchers.iter().find(|entry| alive(entry)) == Some(&state.me.entry)
        })
        .collect()
}

/// The fabric domains whose workers keep replica groups.
pub(super) fn domains(state: &State) -> BTreeSet<domain::Name> {
    let entries = state.register.entries().filter(|entry| {
        let service = state.catalog.service(&entry.instance.service);
        service.is_some_and(|s| s.engine.is_some())
    });
    let domains = entries.filter_map(|entry| entry.instance.domain.clone());
    domains.collect()
}

/// The entries that look after a domain, the first one as its owner.
///
/// They exchange news, so that each knows whether those before it are there.
fn watchers(state: &State, domain: &domain::Name) -> Vec<entry::Name> {
    let mut all: Vec<&entry::Name> = state.peers.keys().collect();
    all.push(&state.me.entry);
    let ranked = rendezvous::ranked(domain, all);
    let count = if state.peers.len() <= WATCHED_BY_ALL {
        ranked.len()
    } else {
        WATCHERS
    };
    ranked.into_iter().take(count).cloned().collect()
}

/// The other entries that watch the domains which this one watches.
pub(super) fn fellow_watchers(state: &State) -> BTreeSet<entry::Name> {
    let mut fellows = BTreeSet::new();
    for domain in domains(state) {
        let watchers = watchers(state, &domain);
        if watchers.contains(&state.me.entry) {
            fellows.extend(watchers);
            let holding = state.ownership.holdings.get(&domain);
            fellows.extend(holding.map(|h| h.owner.entry.clone()));
        }
    }
    fellows.remove(&state.me.entry);
    fellows
}

/// Whether an owner is an earlier start of an entry that is known to have started again.
fn is_former_start(state: &State, owner: &Owner) -> bool {
    if owner.entry == state.me.entry {
        return owner.incarnation != state.me.incarnation;
    }
    let peer = state.peers.get(&owner.entry);
    peer.is_some_and(|peer| peer.incarnation != owner.incarnation)
}

fn note_holdings(node: &Node, domains: &Snapshot) {
    let mut state = node.state();
    state.ownership.holdings.clear();
    for row in &domains.rows {
        let name = row.key.parse::<domain::Name>();
        let value = row.value.as_deref().unwrap_or_default();
        match (name, serde_json::from_str::<Row>(value)) {
            (Ok(name), Ok(Row { owner })) => {
                let revision = row.revision;
                let holding = Holding { owner, revision };
                state.ownership.holdings.insert(name, holding);
            }
            _ => log::warn!("event=domain_row_not_understood key={}", row.key),
        }
    }
}

fn observe(node: &Node, now: Time, entries: &Snapshot) {
    let mut state = node.state();
    for row in &entries.rows {
        let entry = row.key.parse::<entry::Name>();
        let content = lease::parse(row.value.as_deref());
        if let (Ok(entry), Some(content)) = (entry, content) {
            let owner = Owner {
                entry,
                incarnation: content.incarnation,
            };
            let revision = row.revision.0;
            state.ownership.observer.observe(now, &owner, revision);
        }
    }
}

/// The transaction that makes this entry the owner of a domain, if nobody holds it.
///
/// The lease row of a former owner is deleted on the condition that it was not
/// renewed, after which that owner can never renew it again.
fn take_over(
    state: &State,
    now: Time,
    entries: &Snapshot,
    name: &domain::Name,
) -> Option<Transaction> {
    let key: Arc<str> = name.as_str().into();
    let holding = state.ownership.holdings.get(name);
    let revision = holding.map_or(Revision::ABSENT, |h| h.revision);
    let row = Row {
        owner: state.me.clone(),
    };
    let value = store::encode(&row)?;
    let mut transaction = Transaction {
        conditions: vec![(Table::Domains, key.clone(), revision)],
        puts: vec![(Table::Domains, key, value)],
        deletes: Vec::new(),
    };
    let own_lease: Arc<str> = state.me.entry.as_str().into();
    let lease_revision = state.lease_revision.unwrap_or(Revision::ABSENT);
    transaction
        .conditions
        .push((Table::Entries, own_lease, lease_revision));
    let Some(former) = holding.map(|h| &h.owner) else {
        return Some(transaction);
    };
    if former.entry == state.me.entry {
        return Some(transaction);
    }
    let lease_key: Arc<str> = former.entry.as_str().into();
    let row = entries.rows.iter().find(|row| row.key == lease_key);
    let current = row.and_then(|row| lease::parse(row.value.as_deref()));
    if current.is_some_and(|c| c.incarnation == former.incarnation) {
        let expired = state.ownership.observer.expired(now, former)?;
        let condition = (Table::Entries, lease_key.clone(), Revision(expired));
        transaction.conditions.push(condition);
        transaction.deletes.push((Table::Entries, lease_key));
    } else {
        let revision = row.map_or(Revision::ABSENT, |row| row.revision);
        transaction
            .conditions
            .push((Table::Entries, lease_key, revision));
    }
    Some(transaction)
}

async fn write(node: &Arc<Node>, name: &domain::Name, transaction: Transaction) {
    match store::commit(node, transaction).await {
        Ok(Commit::Done(revision)) => {
            log::info!("event=domain_taken domain={name} revision={revision}");
            let mut state = node.state();
            let owner = state.me.clone();
            let holding = Holding { owner, revision };
            state.ownership.holdings.insert(name.clone(), holding);
            let fence = group::Fence(revision.0.saturating_mul(FENCES));
            let planner = Planner::new(name.clone(), fence, Default::default());
            state.ownership.planners.insert(name.clone(), planner);
            drop(state);
            node.wake_planner();
        }
        Ok(Commit::Conflict) => log::info!("event=domain_conflict domain={name}"),
        Err(error) => log::warn!("event=domain_not_taken domain={name} reason=\"{error}\""),
    }
}
