//! Startup and shutdown of an entry instance.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use async_signal::{Signal, Signals};
use cyclamen_claim::{Attempt, Progress};
use cyclamen_drain::Schedule;
use cyclamen_peer::{AdmissionRequest, AdmissionResponse, BoxFuture, Gossip, Release, Service};
use cyclamen_server::{Server, Shutdown, Timeouts};
use eyre::WrapErr;
use futures::StreamExt;
use smol::Timer;
use smol::future::or;
use trillium_http::HttpConfig;
use trillium_smol::async_net;

use crate::node::Node;
use crate::settings::Settings;
use crate::telemetry::Metrics;
use crate::{caller, operator, tasks};

/// How long the head of a request may take.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection may be idle, or its peer take nothing of a response.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The maximum number of connections of operators.
const OPERATOR_CONNECTIONS: usize = 64;
/// The timeout for resigning the lease.
const RESIGN_TIMEOUT: Duration = Duration::from_millis(500);

/// Serves the calls of other entries.
struct PeerService(Arc<Node>);

impl Service for PeerService {
    fn gossip(&self, received: Gossip) -> Gossip {
        tasks::handle_gossip(&self.0, received)
    }

    fn admit(&self, request: AdmissionRequest) -> BoxFuture<AdmissionResponse> {
        let span = self
            .0
            .metrics
            .start_span("peer", Some(&request.traceparent));
        let response = self.0.admit_local(request);
        Box::pin(async move {
            let response = response.await;
            drop(span);
            response
        })
    }

    fn release(&self, releases: Vec<Release>) {
        let now = self.0.now();
        let mut state = self.0.state();
        let pools = state.pools.clone();
        for release in releases {
            if let Some(domain) = state.domains.get_mut(&release.domain) {
                domain.release(now, release.ticket, release.ending, &pools.body);
                state.poll_queue(now, &release.domain);
            }
        }
    }

    fn progress(&self, attempt: Attempt) -> Progress {
        self.0.state().attempts.progress(attempt)
    }
}

/// A running entry instance.
pub struct Handle {
    node: Arc<Node>,
    tasks: Vec<smol::Task<()>>,
    callers: Server,
    operators: Server,
}

/// Starts an entry instance, which runs until the handle is drained or dropped.
///
/// Fails if the telemetry cannot be set up or a listener cannot be bound.
pub fn start(settings: Settings) -> eyre::Result<Handle> {
    let metrics = Metrics::new(settings.traces.as_deref())?;
    let bounds = settings.bounds;
    let caller_listener = bind(settings.caller_listen)?;
    let operator_listener = bind(settings.operator_listen)?;
    let options = cyclamen_peer::Options {
        listen: settings.peer_listen,
        secret: settings.peer_secret.reveal().clone(),
        allowed: cyclamen_peer::Allowed::Only(settings.peer_allowed.clone()),
    };
    let node = Node::new(settings, metrics);
    let peers = cyclamen_peer::start(options, Arc::new(PeerService(node.clone())))
        .wrap_err("peer_listen cannot be bound")?;
    node.set_peers(peers);
    register_gauges(&node);
    let http = HttpConfig::default()
        .with_head_max_len(bounds.head_bytes)
        .with_received_body_max_len(bounds.body_bytes);
    let timeouts = Arc::new(Timeouts::default());
    timeouts.set(HEAD_TIMEOUT, IDLE_TIMEOUT);
    let callers = cyclamen_server::Options {
        http,
        connections: Some(bounds.connections),
        timeouts,
    };
    let operators = cyclamen_server::Options {
        connections: Some(OPERATOR_CONNECTIONS),
        ..callers.clone()
    };
    let callers = Server::start(caller_listener, callers, caller::Api(node.clone()));
    let operators = Server::start(operator_listener, operators, operator::Api(node.clone()));
    log::info!("event=started entry={}", node.state().me);
    Ok(Handle {
        tasks: tasks::start(&node),
        node,
        callers,
        operators,
    })
}

fn bind(address: std::net::SocketAddr) -> eyre::Result<async_net::TcpListener> {
    let listener =
        TcpListener::bind(address).wrap_err_with(|| format!("{address} cannot be bound"))?;
    listener.set_nonblocking(true)?;
    Ok(listener.try_into()?)
}

fn register_gauges(node: &Arc<Node>) {
    let weak = Arc::downgrade(node);
    let traffic = move |read: fn(&cyclamen_peer::Traffic) -> u64| {
        let weak = weak.clone();
        move || {
            weak.upgrade()
                .and_then(|n| n.peers().map(|p| read(p.traffic())))
                .unwrap_or(0)
        }
    };
    node.metrics
        .register_gauge("peer_bytes_read", traffic(cyclamen_peer::Traffic::read));
    node.metrics.register_gauge(
        "peer_bytes_written",
        traffic(cyclamen_peer::Traffic::written),
    );
    let weak = Arc::downgrade(node);
    let in_progress = move || weak.upgrade().map_or(0, |n| n.state().in_progress);
    node.metrics
        .register_gauge("requests_in_progress", in_progress);
}

impl Handle {
    /// Shuts down without interrupting requests in progress, up to the drain limit.
    ///
    /// The readiness check fails first, while requests of callers are still
    /// served. The domains of this entry are handed over to other entries meanwhile,
    /// and the last requests complete.
    pub async fn drain(self) {
        // Before a request can be refused for the drain, so that the refusal says it.
        self.callers.say_close();
        let schedule = self.begin_drain();
        // Dropped at the end of the drain, whether the platform has answered or not.
        let handing_over = smol::spawn(hand_over(self.node.clone()));
        let shutdown = Shutdown {
            servers: vec![&self.callers],
            schedule,
            abortion: &self.node.abortion,
            now: || self.node.now(),
            in_progress: || self.node.state().in_progress,
        };
        let aborted = shutdown.run().await;
        drop(handing_over);
        self.resign().await;
        drop(self.operators.close());
        drop(self.tasks);
        log::info!("event=stopped requests_cut={aborted}");
    }

    /// Makes the readiness check fail, and returns when the steps of the drain are due.
    fn begin_drain(&self) -> Schedule {
        let options = self.node.settings.timing.drain();
        let schedule = Schedule::begin(self.node.now(), options);
        self.node.state().drain = Some(schedule);
        schedule
    }

    /// Deletes the lease, unless the platform takes too long.
    async fn resign(&self) {
        let resigning = async {
            if let Err(error) = tasks::resign(&self.node).await {
                log::warn!("event=lease_not_resigned reason=\"{error}\"");
            }
        };
        let timeout = async {
            Timer::after(RESIGN_TIMEOUT).await;
            log::warn!("event=lease_not_resigned reason=timeout");
        };
        or(resigning, timeout).await;
    }
}

/// Makes other entries take over the domains of this one.
async fn hand_over(node: Arc<Node>) {
    tasks::announce_drain(&node).await;
    tasks::hand_over_all(&node).await;
}

/// Runs an entry instance until SIGTERM or SIGINT drains it.
///
/// A repeated SIGTERM changes nothing, since what sends it may well repeat it; SIGINT during the drain
/// exits immediately.
pub fn run(settings: Settings) -> eyre::Result<()> {
    smol::block_on(async {
        let mut signals = Signals::new([Signal::Term, Signal::Int])?;
        let handle = start(settings)?;
        signals.next().await;
        or(handle.drain(), cyclamen_task::interrupted(signals)).await;
        Ok(())
    })
}
