//! Model engines: the workers of one fabric domain.
//!
//! Every worker has its own listener. The head of a group serves requests;
//! it depends on every other member, and it crashes if its load exceeds the cold
//! limit while it is cold.

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

pub use api::{CRASH_MARKER, token};
pub use worker::{Faults, Worker};

/// Options of the workers of one fabric domain.
#[derive(Debug, Clone)]
pub struct Options {
    /// The service that the workers belong to.
    pub service: pool::Service,
    /// The availability zone of the workers.
    pub zone: zone::Name,
    /// The fabric domain of the workers.
    pub domain: domain::Name,
    /// The number of workers.
    pub workers: usize,
    /// The address of the first worker; the others use the following ports, or free ports for
    /// port zero.
    pub listen: SocketAddr,
    /// Whether the workers refuse obsolete orders.
    pub checks_fence: bool,
    /// The time that a worker takes to load its part of the model.
    pub load_time: Duration,
    /// The interval between two tokens.
    pub token_interval: Duration,
    /// The time from the end of loading until the worker is warm.
    pub warm_up: Duration,
    /// The maximum number of requests in progress that a cold group can take.
    pub cold_limit: u32,
    /// The maximum age of the load that a worker reports.
    pub report_lag: Duration,
}

impl Options {
    /// Returns options for workers with short delays on free ports of loopback.
    pub fn quick(service: pool::Service, zone: zone::Name, domain: domain::Name) -> Self {
        Self {
            service,
            zone,
            domain,
            workers: 4,
            listen: SocketAddr::new(IpAddr::from([127, 0, 0, 1]), 0),
            checks_fence: true,
            load_time: Duration::from_millis(300),
            token_interval: Duration::from_millis(5),
            warm_up: Duration::from_millis(500),
            cold_limit: 4,
            report_lag: Duration::from_millis(200),
        }
    }
}

/// The number of failures of the workers of a fabric domain, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Violations {
    /// Requests that a group received while a member was missing.
    pub incomplete: u64,
    /// Crashes of cold groups whose load exceeded their limit.
    pub overloaded: u64,
    /// Crashes caused by a request with the crash marker.
    pub crashes: u64,
}

/// The running workers of one fabric domain.
pub struct Domain {
    /// The workers.
    pub workers: Vec<Arc<Worker>>,
    _servers: Vec<Server>,
    _registration: smol::Task<()>,
}

/// State shared by the workers of a domain, through which members reach each other.
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

/// Starts the workers and keeps them registered with the platform.
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
        let mut fabric_workers = fabric
            .workers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        fabric_workers.insert(id, worker.clone());
        workers.push(worker);
    }
    let listings = listings(options, &workers, &addresses);
    let registered = workers.clone();
    let current_listings = move || {
        let pairs = listings
            .iter()
            .zip(&registered)
            .filter(|(_, w)| w.is_alive());
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
        _registration: smol::spawn(registration::run(platform, current_listings)),
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
