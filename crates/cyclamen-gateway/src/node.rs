//! The node: everything that this entry knows, and its clients.

mod beliefs;
mod duties;
mod peers;
mod reached;
mod state;
mod targets;

use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use cyclamen_http::Client;
use cyclamen_peer::Peers;
use cyclamen_types::Time;

use crate::clock::Clock;
use crate::edge::Platform;
use crate::metrics::Metrics;
use crate::settings::Settings;

pub(crate) use beliefs::FOLLOWED;
pub(crate) use duties::Holding;
pub(crate) use peers::Peer;
pub(crate) use state::State;
pub(crate) use targets::Serving;

/// Everything that this entry knows, and its clients.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) http: Client,
    pub(crate) metrics: Metrics,
    /// Wakes the planner; holds one wake-up at most.
    pub(crate) plan_now: async_channel::Sender<()>,
    pub(crate) plan_due: async_channel::Receiver<()>,
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
        let (plan_now, plan_due) = async_channel::bounded(1);
        Arc::new(Self {
            clock: Clock::start(),
            http: Client::new(cyclamen_http::Options::default()),
            state: Mutex::new(State::new(&settings)),
            peers: OnceLock::new(),
            settings,
            platform,
            metrics,
            plan_now,
            plan_due,
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
        let already_set = self.peers.set(peers).is_err();
        debug_assert!(!already_set, "peers are set once, at start");
    }

    /// Calls to other entries, once the peer listener is up.
    pub(crate) fn peers(&self) -> Option<&Peers> {
        self.peers.get()
    }

    /// Has the planner look at the groups of own domains soon.
    pub(crate) fn wake_planner(&self) {
        // A full channel means that a wake-up is pending already.
        let _ = self.plan_now.try_send(());
    }
}
