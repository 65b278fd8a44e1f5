//! The node: everything that this entry knows and may decide.

mod admission;
mod decide;
mod follow;
mod record;
mod state;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use cyclamen_domain::Owner;
use cyclamen_peer::{Peers, Release};
use cyclamen_types::Time;

use crate::clock::Clock;
use crate::settings::{Settings, span};
use crate::telemetry::Metrics;

pub(crate) use admission::{Admitted, Refusal, Request};
pub(crate) use record::{Entry, Lease};
pub(crate) use state::State;

/// Releases that may wait to be sent to owners of domains.
const RELEASE_LIMIT: usize = 65_536;

/// Everything that this entry knows, and its clients.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) platform: cyclamen_platform::Client,
    pub(crate) workers: cyclamen_endpoint::Client,
    pub(crate) http: cyclamen_http::Client,
    pub(crate) metrics: Metrics,
    pub(crate) releases: async_channel::Sender<Release>,
    pub(crate) released: async_channel::Receiver<Release>,
    peers: OnceLock<Peers>,
    state: Mutex<State>,
}

impl Node {
    pub(crate) fn new(settings: Settings, metrics: Metrics) -> Arc<Self> {
        let http = cyclamen_http::Client::new(cyclamen_http::Options::default());
        let platform = cyclamen_platform::Options {
            address: settings.platform,
            timeout: span(settings.timing.platform_timeout_ms),
        };
        let (releases, released) = async_channel::bounded(RELEASE_LIMIT);
        Arc::new(Self {
            clock: Clock::start(),
            platform: cyclamen_platform::Client::new(http.clone(), platform),
            workers: cyclamen_endpoint::Client::new(http.clone(), Default::default()),
            http,
            metrics,
            releases,
            released,
            peers: OnceLock::new(),
            state: Mutex::new(State::new(&settings)),
            settings,
        })
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// The state; held only for a decision, never across a wait.
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_peers(&self, peers: Peers) {
        let _ = self.peers.set(peers);
    }

    /// Calls to other entries, once the peer listener is up.
    pub(crate) fn peers(&self) -> Option<&Peers> {
        self.peers.get()
    }

    /// Where another entry listens for its peers.
    pub(crate) fn peer_address(&self, owner: &Owner) -> Option<SocketAddr> {
        self.state().entries.get(owner).map(|e| e.peer)
    }
}
