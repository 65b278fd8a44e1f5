//! The node: the state of this entry and the decisions based on it.

mod admission;
mod decide;
mod merge;
mod record;
mod state;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use cyclamen_domain::Owner;
use cyclamen_peer::{Peers, Release};
use cyclamen_task::Abortion;
use cyclamen_types::Time;

use crate::clock::Clock;
use crate::settings::{Settings, millis};
use crate::telemetry::Metrics;

pub(crate) use admission::{Admitted, Refusal, Request};
pub(crate) use record::{Entry, Lease};
pub(crate) use state::State;

/// The maximum number of releases queued for sending to domain owners.
const MAX_QUEUED_RELEASES: usize = 65_536;

/// The settings, clients and state of this entry.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) platform: cyclamen_platform::Client,
    pub(crate) workers: cyclamen_endpoint::Client,
    pub(crate) http: cyclamen_http::Client,
    pub(crate) metrics: Metrics,
    pub(crate) release_sender: async_channel::Sender<Release>,
    pub(crate) release_receiver: async_channel::Receiver<Release>,
    /// Aborts the requests that remain at the limit of a drain.
    pub(crate) abortion: Abortion,
    peers: OnceLock<Peers>,
    state: Mutex<State>,
}

impl Node {
    pub(crate) fn new(settings: Settings, metrics: Metrics) -> Arc<Self> {
        let http = cyclamen_http::Client::new(cyclamen_http::Options::default());
        let platform = cyclamen_platform::Options {
            address: settings.platform,
            timeout: millis(settings.timing.platform_timeout_ms),
        };
        let (release_sender, release_receiver) = async_channel::bounded(MAX_QUEUED_RELEASES);
        Arc::new(Self {
            clock: Clock::start(),
            platform: cyclamen_platform::Client::new(http.clone(), platform),
            workers: cyclamen_endpoint::Client::new(http.clone(), Default::default()),
            http,
            metrics,
            release_sender,
            release_receiver,
            abortion: Abortion::default(),
            peers: OnceLock::new(),
            state: Mutex::new(State::new(&settings)),
            settings,
        })
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Locks the state for one decision; the guard must not be held across an `await`.
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_peers(&self, peers: Peers) {
        let _ = self.peers.set(peers);
    }

    /// Returns the client for other entries, or `None` until the peer listener is up.
    pub(crate) fn peers(&self) -> Option<&Peers> {
        self.peers.get()
    }

    /// Returns the address on which another entry listens for its peers.
    pub(crate) fn peer_address(&self, owner: &Owner) -> Option<SocketAddr> {
        self.state().entries.get(owner).map(|e| e.peer)
    }
}
