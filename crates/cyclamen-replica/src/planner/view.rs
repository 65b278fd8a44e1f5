//! What a planner knows of its domain.

use std::sync::Arc;

use cyclamen_directory::Instance;
use cyclamen_directory::service::Engine;
use cyclamen_types::{Time, instance};

use crate::counts::GroupCounts;

/// A worker of the domain, as the owner of the domain sees it.
#[derive(Debug, Clone)]
pub struct Worker {
    /// The worker's instance, as last listed.
    pub instance: Arc<Instance>,
    /// Whether the worker counts as alive; a suspected worker does until it counts as failed.
    pub alive: bool,
    /// Whether the worker is listed now; false if it is only retained after its removal from the
    /// list.
    pub listed: bool,
    /// Whether the worker is suspected to have failed and should get no new work.
    pub suspected: bool,
    /// Whether the worker's availability zone accepts work.
    pub zone_active: bool,
}

/// The observed state of a domain from which a plan is computed.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The current time.
    pub now: Time,
    /// The engine of the domain's workers.
    pub engine: &'a Engine,
    /// The workers of the domain.
    pub workers: &'a [Worker],
    /// The number of groups of each model that are complete in other domains.
    pub remote_groups: &'a GroupCounts,
    /// The number of fabric domains that share the rate limit on loads of weights.
    pub domain_count: usize,
    /// The number of fabric domains that load weights, which share the weight store's bandwidth.
    pub loading_domains: usize,
}

impl View<'_> {
    pub(super) fn worker(&self, id: &instance::Id) -> Option<&Worker> {
        self.workers.iter().find(|w| w.instance.id == *id)
    }

    /// Returns whether an instance counts as lost or has no worker in the view.
    pub(super) fn is_lost(&self, instance: &Instance) -> bool {
        self.worker(&instance.id).is_none_or(|w| !w.alive)
    }
}
