//! The status of an entry.

use std::sync::Arc;

use cyclamen_cache::Revision;
use cyclamen_domain::Health;
use cyclamen_tables::Version;
use cyclamen_types::{domain, group, instance, pool, zone};
use serde::Serialize;

use crate::node::{Node, State};
use crate::operator::tables::Response;

/// The status of an entry.
#[derive(Debug, Serialize)]
pub struct Status {
    entry: Arc<str>,
    zone: zone::Name,
    ready: bool,
    lease: bool,
    requests_in_progress: u64,
    revision: Revision,
    store_read_ms_ago: Option<u64>,
    routes: Version,
    pools: Version,
    zones_out: Vec<zone::Name>,
    entries: Vec<Arc<str>>,
    domains: Vec<Domain>,
}

/// One fabric domain and the groups in its row; their health is `unknown` unless this entry
/// owns the domain.
#[derive(Debug, Serialize)]
struct Domain {
    name: domain::Name,
    owner: Option<Arc<str>>,
    mine: bool,
    waiting: usize,
    groups: Vec<Group>,
}

/// One replica group.
#[derive(Debug, Serialize)]
struct Group {
    id: group::Id,
    pool: pool::Name,
    fence: group::Fence,
    health: Arc<str>,
    in_progress: u32,
    limit: u32,
    members: Vec<instance::Id>,
}

pub(crate) fn read(node: &Node) -> Response {
    let now = node.now();
    let state = node.state();
    let status = Status {
        entry: state.me.to_string().into(),
        zone: state.zone.clone(),
        ready: state.is_ready(),
        lease: state.lease.is_held(now),
        requests_in_progress: state.in_progress,
        revision: state.cache.as_of(),
        store_read_ms_ago: state
            .synced_at
            .map(|at| (now.as_millis()).saturating_sub(at.as_millis())),
        routes: state.routes.version,
        pools: state.pools.version,
        zones_out: state.pools.body.zones_out.iter().cloned().collect(),
        entries: state
            .entries
            .keys()
            .map(|owner| owner.to_string().into())
            .collect(),
        domains: domains(&state, now),
    };
    Response::of(200, &status)
}

fn domains(state: &State, now: cyclamen_types::Time) -> Vec<Domain> {
    let pools = &state.pools.body;
    let domains = state.domains.iter();
    domains
        .map(|(name, domain)| Domain {
            name: name.clone(),
            owner: domain
                .row()
                .owner
                .as_ref()
                .map(|owner| owner.to_string().into()),
            mine: domain.is_mine(),
            waiting: domain.queue_len(),
            groups: domain
                .row()
                .groups
                .iter()
                .map(|group| Group {
                    id: group.id.clone(),
                    pool: group.pool.clone(),
                    fence: group.fence,
                    health: health(domain.is_mine(), domain.health(now, group, pools)).into(),
                    in_progress: domain.in_progress(&group.id),
                    limit: domain.limit(now, group, pools),
                    members: group.members.iter().map(|m| m.instance.clone()).collect(),
                })
                .collect(),
        })
        .collect()
}

fn health(mine: bool, health: Health) -> &'static str {
    match health {
        _ if !mine => "unknown",
        Health::Serving => "serving",
        Health::Draining => "draining",
        Health::Incomplete => "incomplete",
    }
}
