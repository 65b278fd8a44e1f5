//! Validation of the two tables, each alone and both together.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use crate::pools::{Kind, Pools};
use crate::routes::Routes;

/// A fault found in a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The path of the field, such as `routes[2].pool`.
    pub path: Arc<str>,
    /// What is wrong with the field.
    pub reason: Arc<str>,
}

impl Fault {
    fn new(path: impl Into<Arc<str>>, reason: impl Into<Arc<str>>) -> Self {
        Self {
            path: path.into(),
            reason: reason.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

/// Returns every fault of the two tables, checked together.
pub fn tables(routes: &Routes, pools: &Pools) -> Vec<Fault> {
    let mut faults = Vec::new();
    check_pools(pools, &mut faults);
    check_routes(routes, pools, &mut faults);
    check_teams(routes, &mut faults);
    faults
}

fn check_pools(pools: &Pools, faults: &mut Vec<Fault>) {
    let mut names = BTreeSet::new();
    let mut services = BTreeSet::new();
    for (i, pool) in pools.pools.iter().enumerate() {
        let at = |field: &str| format!("pools[{i}].{field}");
        if !names.insert(&pool.name) {
            faults.push(Fault::new(at("name"), "stands twice"));
        }
        if !services.insert(&pool.service) {
            faults.push(Fault::new(at("service"), "belongs to another pool"));
        }
        if pool.group_size == 0 {
            faults.push(Fault::new(at("group_size"), "is zero"));
        }
        if pool.kind == Kind::Plain && pool.group_size != 1 {
            faults.push(Fault::new(at("group_size"), "is not 1 for a plain service"));
        }
        if pool.limits.cold == 0 || pool.limits.cold > pool.limits.warm {
            faults.push(Fault::new(
                at("limits.cold"),
                "is not between 1 and limits.warm",
            ));
        }
    }
}

fn check_routes(routes: &Routes, pools: &Pools, faults: &mut Vec<Fault>) {
    let mut names = BTreeSet::new();
    for (i, route) in routes.routes.iter().enumerate() {
        let at = |field: &str| format!("routes[{i}].{field}");
        if !names.insert(&route.name) {
            faults.push(Fault::new(at("name"), "stands twice"));
        }
        if pools.get(&route.pool).is_none() {
            faults.push(Fault::new(at("pool"), "names no pool"));
        }
        if route.deadline_ms == 0 {
            faults.push(Fault::new(at("deadline_ms"), "is zero"));
        }
    }
}

fn check_teams(routes: &Routes, faults: &mut Vec<Fault>) {
    let mut names = BTreeSet::new();
    let mut keys = BTreeSet::new();
    for (i, team) in routes.teams.iter().enumerate() {
        let at = |field: &str| format!("teams[{i}].{field}");
        if !names.insert(&team.name) {
            faults.push(Fault::new(at("name"), "stands twice"));
        }
        if team.contract.share == 0 {
            faults.push(Fault::new(at("contract.share"), "is zero"));
        }
        for (j, key) in team.keys.iter().enumerate() {
            if !keys.insert(key.to_string()) {
                faults.push(Fault::new(at(&format!("keys[{j}]")), "stands twice"));
            }
        }
    }
}
