//! Takes over fabric domains that have no live owner, and gives up those out of reach.

mod choice;
mod give_up;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cyclamen_cache::Revision;
use cyclamen_domain::Owner;
use cyclamen_replica::Planner;
use cyclamen_types::{Time, domain, entry, group};
use serde::{Deserialize, Serialize};

use crate::node::{Node, OwnerRow, State, service_scope};
use crate::platform::{Commit, Error, Snapshot, Table, Transaction};
use crate::settings::millis;
use crate::tasks::ownership::choice::Choice;
use crate::tasks::{lease, store};

pub(super) use give_up::step as give_up;

/// The number of entries that are candidates for the ownership of a domain in a large fleet.
const CANDIDATES_PER_DOMAIN: usize = 3;
/// The maximum number of other entries at which every entry is a candidate for every domain.
const ALL_CANDIDATES_MAX_PEERS: usize = 8;
/// The minimum interval between reads of the rows of entries and domains.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(500);
/// The number of fencing tokens that an owner may use for each revision of the store.
const FENCES_PER_REVISION: u64 = 1_000;
/// The highest fencing token of a worker that an owner's tokens exceed. A worker that is listed with a
/// higher one may refuse the owner's orders; the others don't.
const MAX_SEEN_FENCE: group::Fence = group::Fence(u64::MAX / 2);
/// The number of versions per era for which fencing tokens are set aside.
const VERSIONS_PER_ERA: u64 = 1 << 32;

/// The stored row of a fabric domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Row {
    owner: Owner,
}

/// Takes over the domains without a live owner that are assigned to this entry.
pub(super) async fn step(node: &Arc<Node>) {
    if !is_due(node) {
        return;
    }
    let Ok(entries) = lease::read_entries(node).await else {
        return;
    };
    let must_read = node.state().ownership.must_read_domains(node.now());
    if !must_read && takeovers(node).is_empty() {
        return;
    }
    if read_owners(node).await.is_err() {
        return;
    }
    let now = node.now();
    observe_leases(node, now, &entries);
    for name in takeovers(node) {
        let transaction = takeover_transaction(&node.state(), now, &entries, &name);
        if let Some(transaction) = transaction {
            take_over(node, &name, transaction).await;
        }
    }
}

/// Returns whether the rows of entries, and perhaps of domains, are to be read now.
fn is_due(node: &Node) -> bool {
    let now = node.now();
    let mut state = node.state();
    if state.is_draining() {
        return false;
    }
    update_candidates(&mut state);
    let silence = millis(node.settings.timing.peer_silence_ms);
    let has_takeovers = !Choice::new(&state, now, silence).to_take_over().is_empty();
    let must_read = state.ownership.must_read_domains(now);
    let resumes = must_read && !state.ownership.formerly_owned.is_empty();
    state.ownership.needs_lease = has_takeovers || resumes;
    // Without a lease the rows are read only once, to discover the other entries.
    let may_take_over = has_takeovers && state.lease.is_held(now);
    let last = state.ownership.read_at;
    let recent = last.is_some_and(|at| now.since(at) < MIN_READ_INTERVAL);
    let is_due = !recent && (may_take_over || must_read || last.is_none());
    if is_due {
        state.ownership.read_at = Some(now);
    }
    is_due
}

/// Returns the domains to take over, none without a lease.
fn takeovers(node: &Node) -> Vec<domain::Name> {
    let now = node.now();
    let state = node.state();
    if !state.lease.is_held(now) {
        return Vec::new();
    }
    let silence = millis(node.settings.timing.peer_silence_ms);
    Choice::new(&state, now, silence).to_take_over()
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

/// Returns the domains, and the names under which services without domains are owned so that one
/// entry issues permits for their workers.
fn scopes(state: &State) -> BTreeSet<domain::Name> {
    let plain = state.catalog.services().filter(|s| s.engine.is_none());
    let mut scopes = domains(state);
    scopes.extend(plain.filter_map(|service| service_scope(service)));
    scopes
}

/// Records from whom a domain was taken over.
fn record_takeover(state: &mut State, now: Time, name: &domain::Name) {
    let former = state.ownership.owner_rows.get(name);
    if former.is_some_and(|row| row.owner.entry != state.local.entry) {
        state.ownership.taken_over_at.insert(name.clone(), now);
    } else {
        state.ownership.taken_over_at.remove(name);
    }
}

/// Ranks the candidates for the ownership of each domain if entries or domains have changed.
fn update_candidates(state: &mut State) {
    let domains = scopes(state);
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

/// Reads the rows of all domains and records their owners.
pub(super) async fn read_owners(node: &Node) -> Result<(), Error> {
    let snapshot = store::read(node, Table::Domains).await?;
    let mut rows = BTreeMap::new();
    let mut unreadable = BTreeMap::new();
    let mut odd = Vec::new();
    for row in &snapshot.rows {
        let name = row.key.parse::<domain::Name>();
        let value = row.value.as_deref().unwrap_or_default();
        let revision = row.revision;
        match (name, serde_json::from_str::<Row>(value)) {
            (Ok(name), Ok(Row { owner })) => {
                rows.insert(name, OwnerRow { owner, revision });
            }
            (Ok(name), Err(_)) => {
                unreadable.insert(name, revision);
                odd.push(row);
            }
            (Err(_), _) => odd.push(row),
        }
    }
    let now = node.now();
    let mut state = node.state();
    let event = "domain_row_not_understood";
    state.odd_rows.record(Table::Domains, event, odd);
    state.ownership.record_rows(snapshot.as_of, rows);
    state.ownership.record_unreadable(now, unreadable);
    Ok(())
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
            let observer = &mut state.ownership.observer;
            observer.observe(now, &owner, row.revision);
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
    let revision = state.ownership.revision(name);
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
        let condition = (Table::Entries, lease_key.clone(), expired);
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
            record_takeover(&mut state, node.now(), name);
            let row = OwnerRow { owner, revision };
            state.ownership.owner_rows.insert(name.clone(), row);
            let fence = first_fence(&state, name, revision);
            let planner = Planner::new(name.clone(), fence, Default::default());
            state.ownership.planners.insert(name.clone(), planner);
            drop(state);
            node.wake_planner();
        }
        Ok(Commit::Conflict) => log::info!("event=domain_conflict domain={name}"),
        Err(error) => log::warn!("event=domain_not_taken domain={name} reason=\"{error}\""),
    }
}

/// Returns the fencing token below those of a new owner of a domain.
///
/// It rises with each revision of the store, also over eras, and is at least the highest one that
/// the workers of the domain are known to have seen.
fn first_fence(state: &State, domain: &domain::Name, revision: Revision) -> group::Fence {
    let versions = revision.era.0.saturating_mul(VERSIONS_PER_ERA);
    let versions = versions.saturating_add(revision.version);
    let fence = group::Fence(versions.saturating_mul(FENCES_PER_REVISION));
    let records = state.registry.records();
    let workers = records.filter(|record| record.instance.domain.as_ref() == Some(domain));
    let memberships = workers.filter_map(|record| record.instance.membership.as_ref());
    let fences = memberships.map(|membership| membership.fence);
    let seen = fences.filter(|fence| *fence <= MAX_SEEN_FENCE).max();
    seen.unwrap_or_default().max(fence)
}
