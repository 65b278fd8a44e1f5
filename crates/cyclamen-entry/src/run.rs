//! Startup and shutdown of an entry instance.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_claim::{Attempt, Progress};
use cyclamen_peer::{AdmissionRequest, AdmissionResponse, BoxFuture, Gossip, Release, Service};
use eyre::WrapErr;
use futures::StreamExt;
use smol::Timer;
use trillium_http::HttpConfig;
use trillium_smol::async_net;

use crate::node::Node;
use crate::settings::{Settings, millis};
use crate::telemetry::Metrics;
use crate::{caller, operator, tasks};

/// The interval between checks for requests in progress during shutdown.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The time allowed for connections to close after the last request.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

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
    callers: trillium_server_common::ServerHandle,
    operators: trillium_server_common::ServerHandle,
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
    let callers = trillium_smol::config()
        .without_signals()
        .with_nodelay()
        .with_max_connections(Some(bounds.connections))
        .with_http_config(http)
        .with_prebound_server(caller_listener)
        .spawn(caller::Api(node.clone()));
    let operators = trillium_smol::config()
        .without_signals()
        .with_http_config(http)
        .with_prebound_server(operator_listener)
        .spawn(operator::Api(node.clone()));
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
    /// served; then the domains of this entry are handed over to other entries,
    /// and the last requests complete.
    pub async fn drain(self) {
        let timing = self.node.settings.timing;
        self.node.state().draining = true;
        log::info!("event=draining");
        tasks::announce_drain(&self.node).await;
        tasks::hand_over_all(&self.node).await;
        Timer::after(millis(timing.drain_notice_ms)).await;
        let limit = self.node.now() + millis(timing.drain_limit_ms);
        while self.node.state().in_progress > 0 && self.node.now() < limit {
            Timer::after(DRAIN_POLL_INTERVAL).await;
        }
        let closing = async {
            self.callers.shut_down().await;
        };
        smol::future::or(closing, async {
            Timer::after(CLOSE_TIMEOUT).await;
        })
        .await;
        let remaining = self.node.state().in_progress;
        if let Err(error) = tasks::resign(&self.node).await {
            log::warn!("event=lease_not_resigned reason=\"{error}\"");
        }
        self.operators.shut_down();
        drop(self.tasks);
        log::info!("event=stopped requests_cut={remaining}");
    }
}

/// Runs an entry instance until it receives SIGTERM or SIGINT.
///
/// The first signal drains the instance; a second one stops it immediately.
pub fn run(settings: Settings) -> eyre::Result<()> {
    smol::block_on(async {
        let mut signals =
            async_signal::Signals::new([async_signal::Signal::Term, async_signal::Signal::Int])?;
        let handle = start(settings)?;
        signals.next().await;
        let second = async {
            signals.next().await;
            log::warn!("event=second_signal");
        };
        smol::future::or(handle.drain(), second).await;
        Ok(())
    })
}
