//! Takes over fabric domains that have no live owner.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_cache::Revision;
use cyclamen_domain::Owner;
use cyclamen_replica::Planner;
use cyclamen_types::{Time, domain, entry, group};
use serde::{Deserialize, Serialize};

use crate::node::{Node, OwnerRow, State};
use crate::platform::{Commit, Snapshot, Table, Transaction};
use crate::settings::millis;
use crate::tasks::{lease, store};

/// The number of entries that are candidates for the ownership of a domain in a large fleet.
const CANDIDATES_PER_DOMAIN: usize = 3;
/// The maximum number of other entries at which every entry is a candidate for every domain.
const ALL_CANDIDATES_MAX_PEERS: usize = 8;
/// The minimum interval between reads of the rows of entries and domains.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(500);
/// The number of fencing tokens that an owner may use for each revision of the store.
const FENCES_PER_REVISION: u64 = 1_000;

/// The stored row of a fabric domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Row {
    owner: Owner,
}

/// Takes over the domains without a live owner that are assigned to this entry.
pub(super) async fn step(node: &Arc<Node>) {
    let Some(names) = due_takeovers(node) else {
        return;
    };
    let Ok(entries) = lease::read_entries(node).await else {
        return;
    };
    if names.is_empty() {
        return;
    }
    let Ok(domains) = store::read(node, Table::Domains).await else {
        return;
    };
    let now = node.now();
    record_owner_rows(node, &domains);
    observe_leases(node, now, &entries);
    for name in names {
        let transaction = takeover_transaction(&node.state(), now, &entries, &name);
        if let Some(transaction) = transaction {
            take_over(node, &name, transaction).await;
        }
    }
}

/// Returns the domains to take over, or `None` if the rows of entries and domains are not to be
/// read now.
fn due_takeovers(node: &Node) -> Option<Vec<domain::Name>> {
    let now = node.now();
    let mut state = node.state();
    if state.draining {
        return None;
    }
    let silence = millis(node.settings.timing.peer_silence_ms);
    update_candidates(&mut state);
    let names = domains_to_take_over(&state, now, silence);
    state.ownership.needs_lease = !names.is_empty();
    // Without a lease the rows are read only once, to discover the other entries.
    let names = if state.lease.is_held(now) {
        names
    } else {
        Vec::new()
    };
    let last = state.ownership.read_at;
    let recent = last.is_some_and(|at| now.since(at) < MIN_READ_INTERVAL);
    if recent || (names.is_empty() && last.is_some()) {
        return None;
    }
    state.ownership.read_at = Some(now);
    Some(names)
}

/// Returns the domains that this entry should take over: those without a live owner for which it
/// ranks before all other live candidates.
fn domains_to_take_over(state: &State, now: Time, silence: Duration) -> Vec<domain::Name> {
    let alive = |name: &entry::Name| {
        let last_heard = state.peers.get(name).and_then(|peer| peer.last_heard);
        *name == state.local.entry || last_heard.is_some_and(|at| now.since(at) < silence)
    };
    let is_unowned = |name: &domain::Name| {
        let row = state.ownership.owner_rows.get(name);
        let owned = row.is_some_and(|row| {
            alive(&row.owner.entry) && !is_former_incarnation(state, &row.owner)
        });
        !owned && !state.ownership.planners.contains_key(name)
    };
    let is_first = |candidates: &[entry::Name]| {
        candidates.iter().find(|entry| alive(entry)) == Some(&state.local.entry)
    };
    let domains = state.ownership.candidates.iter();
    let to_take_over =
        domains.filter(|(name, candidates)| is_first(candidates) && is_unowned(name));
    to_take_over.map(|(name, _)| name.clone()).collect()
}

/// Returns the fabric domains whose workers form replica groups.
pub(super) fn domains(state: &State) -> BTreeSet<domain::Name> {
    let records = state.registry.records().filter(|record| {
        let service = state.catalog.service(&record.instance.service);
        service.is_some_and(|s| s.engine.is_some())
    });
    let domains = records.filter_map(|record| record.instance.domain.clone());
    domains.collect()
}

/// Ranks the candidates for the ownership of each domain if entries or domains have changed.
fn update_candidates(state: &mut State) {
    let domains = domains(state);
    let local = &state.local.entry;
    let before = state.peers.range(..local.clone()).map(|(name, _)| name);
    let after = state.peers.range(local.clone()..).map(|(name, _)| name);
    let count = if state.peers.len() <= ALL_CANDIDATES_MAX_PEERS {
        usize::MAX
    } else {
        CANDIDATES_PER_DOMAIN
    };
    let entries = before.chain([local]).chain(after);
    state.ownership.candidates.update(&domains, entries, count);
}

/// Returns the other candidates and the owners of the domains for which this entry is a
/// candidate.
pub(super) fn fellow_candidates(state: &State) -> BTreeSet<entry::Name> {
    let mut fellows = BTreeSet::new();
    for (domain, candidates) in state.ownership.candidates.iter() {
        if candidates.contains(&state.local.entry) {
            fellows.extend(candidates.iter().cloned());
            let row = state.ownership.owner_rows.get(domain);
            fellows.extend(row.map(|row| row.owner.entry.clone()));
        }
    }
    fellows.remove(&state.local.entry);
    fellows
}

/// Returns whether an owner is a former incarnation of an entry that has restarted.
fn is_former_incarnation(state: &State, owner: &Owner) -> bool {
    if owner.entry == state.local.entry {
        return owner.incarnation != state.local.incarnation;
    }
    let peer = state.peers.get(&owner.entry);
    peer.is_some_and(|peer| peer.incarnation != owner.incarnation)
}

fn record_owner_rows(node: &Node, domains: &Snapshot) {
    let mut state = node.state();
    state.ownership.owner_rows.clear();
    for row in &domains.rows {
        let name = row.key.parse::<domain::Name>();
        let value = row.value.as_deref().unwrap_or_default();
        match (name, serde_json::from_str::<Row>(value)) {
            (Ok(name), Ok(Row { owner })) => {
                let revision = row.revision;
                let owner_row = OwnerRow { owner, revision };
                state.ownership.owner_rows.insert(name, owner_row);
            }
            _ => log::warn!("event=domain_row_not_understood key={}", row.key),
        }
    }
}

fn observe_leases(node: &Node, now: Time, entries: &Snapshot) {
    let mut state = node.state();
    let mut listed = BTreeSet::new();
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
            listed.insert(owner);
        }
    }
    let observer = &mut state.ownership.observer;
    observer.retain(|owner| listed.contains(owner));
}

/// Returns the transaction that makes this entry the owner of a domain, or `None` while the
/// lease of another owner has not expired.
///
/// The transaction deletes the lease row of a former owner on the condition that
/// it has not been renewed, after which that owner can never renew it again.
fn takeover_transaction(
    state: &State,
    now: Time,
    entries: &Snapshot,
    name: &domain::Name,
) -> Option<Transaction> {
    let key: Arc<str> = name.as_str().into();
    let owner_row = state.ownership.owner_rows.get(name);
    let revision = owner_row.map_or(Revision::ABSENT, |row| row.revision);
    let row = Row {
        owner: state.local.clone(),
    };
    let value = store::encode(&row)?;
    let mut transaction = Transaction {
        conditions: vec![(Table::Domains, key.clone(), revision)],
        puts: vec![(Table::Domains, key, value)],
        deletes: Vec::new(),
    };
    let own_lease: Arc<str> = state.local.entry.as_str().into();
    let lease_revision = state.lease_revision.unwrap_or(Revision::ABSENT);
    transaction
        .conditions
        .push((Table::Entries, own_lease, lease_revision));
    let Some(former) = owner_row.map(|row| &row.owner) else {
        return Some(transaction);
    };
    if former.entry == state.local.entry {
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

async fn take_over(node: &Arc<Node>, name: &domain::Name, transaction: Transaction) {
    match store::commit(node, transaction).await {
        Ok(Commit::Done(revision)) => {
            log::info!("event=domain_taken domain={name} revision={revision}");
            let mut state = node.state();
            let owner = state.local.clone();
            let row = OwnerRow { owner, revision };
            state.ownership.owner_rows.insert(name.clone(), row);
            let fence = group::Fence(revision.0.saturating_mul(FENCES_PER_REVISION));
            let planner = Planner::new(name.clone(), fence, Default::default());
            state.ownership.planners.insert(name.clone(), planner);
            drop(state);
            node.wake_planner();
        }
        Ok(Commit::Conflict) => log::info!("event=domain_conflict domain={name}"),
        Err(error) => log::warn!("event=domain_not_taken domain={name} reason=\"{error}\""),
    }
}
