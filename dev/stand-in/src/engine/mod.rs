//! Model engines: the workers of one fabric domain.
//!
//! Every worker has a listener of its own. The first member of a group answers
//! requests; it needs every other member, and it falls over if it gets more
//! work than it bears while it is cold.

mod api;
mod worker;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cyclamen_domain::Listing;
use cyclamen_domain::listing::Status;
use cyclamen_types::{domain, instance, pool, zone};

use crate::registration;
use crate::server::{self, Server};

pub use api::{CRASH_MARK, token};
pub use worker::{Faults, Worker};

/// The workers of one fabric domain.
#[derive(Debug, Clone)]
pub struct Options {
    /// The platform's label of the workers.
    pub service: pool::Service,
    /// Their availability zone.
    pub zone: zone::Name,
    /// Their fabric domain.
    pub domain: domain::Name,
    /// How many workers there are.
    pub workers: usize,
    /// The address of the first listener; the others follow, or take free ports for zero.
    pub listen: SocketAddr,
    /// Whether workers refuse obsolete orders.
    pub checks_fence: bool,
    /// The time to load a part of the model.
    pub load: Duration,
    /// The time between two tokens.
    pub token: Duration,
    /// The time from loading to being warm.
    pub warm_up: Duration,
    /// Requests that a cold group bears.
    pub cold_limit: u32,
    /// How late the reported load is.
    pub report_lag: Duration,
}

impl Options {
    /// Quick workers on free ports of loopback.
    pub fn quick(service: pool::Service, zone: zone::Name, domain: domain::Name) -> Self {
        Self {
            service,
            zone,
            domain,
            workers: 4,
            listen: SocketAddr::new(IpAddr::from([127, 0, 0, 1]), 0),
            checks_fence: true,
            load: Duration::from_millis(300),
            token: Duration::from_millis(5),
            warm_up: Duration::from_millis(500),
            cold_limit: 4,
            report_lag: Duration::from_millis(200),
        }
    }
}

/// What went wrong in the workers of a fabric domain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Violations {
    /// Requests that a group took while a member was missing.
    pub incomplete: u64,
    /// Times that a cold group got more than it bears.
    pub overloaded: u64,
    /// Crashes by a marked request.
    pub crashes: u64,
}

/// The running workers of one fabric domain.
pub struct Domain {
    /// The workers.
    pub workers: Vec<Arc<Worker>>,
    _servers: Vec<Server>,
    _registering: smol::Task<()>,
}

/// What the workers of a domain share: members see each other over the fabric.
#[derive(Debug, Default)]
pub(crate) struct Fabric {
    workers: Mutex<BTreeMap<instance::Id, Arc<Worker>>>,
    violations: Mutex<Violations>,
}

impl Fabric {
    pub(crate) fn workers(&self) -> Vec<Arc<Worker>> {
        let workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        workers.values().cloned().collect()
    }

    pub(crate) fn violations(&self) -> MutexGuard<'_, Violations> {
        self.violations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts the workers and keeps them on the platform's list.
pub fn start(options: &Options, platform: SocketAddr) -> std::io::Result<Domain> {
    let fabric = Arc::new(Fabric::default());
    let mut workers = Vec::new();
    let mut servers = Vec::new();
    let mut addresses = Vec::new();
    for index in 0..options.workers {
        let mut listen = options.listen;
        if listen.port() > 0 {
            listen.set_port(listen.port() + u16::try_from(index).unwrap_or(0));
        }
        let name = format!("{}-w{index}", options.domain);
        let id: instance::Id = name.parse().map_err(std::io::Error::other)?;
        let worker = Arc::new(Worker::new(id.clone(), options.clone(), fabric.clone()));
        let server = server::listen(listen, api::Api(worker.clone()))?;
        addresses.push(server.address);
        servers.push(server);
        let mut shared = fabric
            .workers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        shared.insert(id, worker.clone());
        workers.push(worker);
    }
    let listings = listings(options, &workers, &addresses);
    let listed = workers.clone();
    let present = move || {
        let pairs = listings.iter().zip(&listed).filter(|(_, w)| w.is_alive());
        pairs
            .map(|(listing, worker)| Listing {
                status: if worker.is_leaving() {
                    Status::Leaving
                } else {
                    Status::Live
                },
                ..listing.clone()
            })
            .collect()
    };
    Ok(Domain {
        workers,
        _servers: servers,
        _registering: smol::spawn(registration::run(platform, present)),
    })
}

fn listings(options: &Options, workers: &[Arc<Worker>], addresses: &[SocketAddr]) -> Vec<Listing> {
    let pairs = workers.iter().zip(addresses);
    pairs
        .map(|(worker, address)| Listing {
            instance: worker.id().clone(),
            service: options.service.clone(),
            zone: options.zone.clone(),
            domain: options.domain.clone(),
            address: *address,
            status: Status::Live,
        })
        .collect()
}
