//! The node: the state of this entry, and its clients for calls to others.

mod activity;
mod calls;
mod canaries;
mod containment;
mod demand;
mod era;
mod history;
mod limits;
mod odd_rows;
mod ownership;
mod path;
mod peers;
mod permits;
mod proofs;
mod reach;
mod state;
mod suspicions;
mod targets;
mod timeouts;
mod updates;

use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use cyclamen_http::Client;
use cyclamen_peer::Peers;
use cyclamen_relay::{Budget, Intake};
use cyclamen_task::Abortion;
use cyclamen_types::Time;

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::platform::Platform;
use crate::settings::Settings;

pub(crate) use activity::ProbeCause;
pub(crate) use canaries::Canary;
pub(crate) use demand::GroupNeed;
pub(crate) use limits::LimitSource;
pub(crate) use ownership::OwnerRow;
pub(crate) use peers::{Knowledge, Peer};
pub(crate) use permits::{PermitSource, is_service_scope, scope, service_scope};
pub(crate) use proofs::Proof;
pub(crate) use reach::Receiver;
pub(crate) use state::State;
pub(crate) use targets::{Loss, TargetCount};
pub(crate) use updates::{FOLLOWED_TABLES, Source};

/// The timeout for connecting to workers and, to hand requests over, to other entries.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The state of this entry, and its clients for calls to workers and to other entries.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) http: Client,
    pub(crate) metrics: Metrics,
    /// The memory that the requests of callers and other entries share.
    pub(crate) request_memory: Intake,
    /// The memory that the bodies of responses and incomplete events of streams share.
    pub(crate) response_memory: Budget,
    /// Wakes the planner; the channel holds at most one wake-up.
    pub(crate) planner_wake_tx: async_channel::Sender<()>,
    pub(crate) planner_wake_rx: async_channel::Receiver<()>,
    /// Aborts the requests that remain at the limit of a drain.
    pub(crate) abortion: Abortion,
    clock: Clock,
    peers: OnceLock<Peers>,
    state: Mutex<State>,
}

impl Node {
    pub(crate) fn new(
        settings: Settings,
        platform: Arc<dyn Platform>,
        metrics: Metrics,
    ) -> Arc<Self> {
        let (planner_wake_tx, planner_wake_rx) = async_channel::bounded(1);
        Arc::new(Self {
            abortion: Abortion::default(),
            clock: Clock::start(),
            http: Client::new(cyclamen_http::Options {
                connect_timeout: CONNECT_TIMEOUT,
            }),
            request_memory: Intake::new(settings.intake()),
            response_memory: Budget::new((settings.response_memory_mib as usize) << 20),
            state: Mutex::new(State::new(&settings)),
            peers: OnceLock::new(),
            settings,
            platform,
            metrics,
            planner_wake_tx,
            planner_wake_rx,
        })
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Locks the state; the guard must not be held across an await point.
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_peers(&self, peers: Peers) {
        let already_set = self.peers.set(peers).is_err();
        debug_assert!(!already_set, "peers are set once, at start");
    }

    /// Returns the client for other entries, once the peer listener is up.
    pub(crate) fn peers(&self) -> Option<&Peers> {
        self.peers.get()
    }

    /// Wakes the planner of the groups in the domains that this entry owns.
    pub(crate) fn wake_planner(&self) {
        // A full channel already holds a pending wake-up.
        let _ = self.planner_wake_tx.try_send(());
    }
}
