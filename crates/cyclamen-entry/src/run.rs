//! Start and shutdown of an entry instance.

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
use crate::settings::{Settings, span};
use crate::telemetry::Metrics;
use crate::{caller, operator, tasks};

/// The time between two looks at requests in progress during shutdown.
const DRAIN_TICK: Duration = Duration::from_millis(50);
/// The time that connections get to close after the last request.
const CLOSE_LIMIT: Duration = Duration::from_secs(2);

/// Answers other entries.
struct Answers(Arc<Node>);

impl Service for Answers {
    fn gossip(&self, news: Gossip) -> Gossip {
        tasks::answer_news(&self.0, news)
    }

    fn admit(&self, ask: AdmissionRequest) -> BoxFuture<AdmissionResponse> {
        let hop = self.0.metrics.hop("peer", Some(&ask.traceparent));
        let answer = self.0.admit_here(ask);
        Box::pin(async move {
            let answer = answer.await;
            drop(hop);
            answer
        })
    }

    fn release(&self, releases: Vec<Release>) {
        let now = self.0.now();
        let mut state = self.0.state();
        let pools = state.pools.clone();
        for release in releases {
            if let Some(domain) = state.domains.get_mut(&release.domain) {
                domain.release(now, release.ticket, release.ending, &pools.body);
                state.wake(now, &release.domain);
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

/// Starts an entry instance; it runs until the handle is drained or dropped.
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
    let peers = cyclamen_peer::start(options, Arc::new(Answers(node.clone())))
        .wrap_err("peer_listen cannot be bound")?;
    node.set_peers(peers);
    watch_numbers(&node);
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

fn watch_numbers(node: &Arc<Node>) {
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
        .watch("peer_bytes_read", traffic(cyclamen_peer::Traffic::read));
    node.metrics.watch(
        "peer_bytes_written",
        traffic(cyclamen_peer::Traffic::written),
    );
    let weak = Arc::downgrade(node);
    let in_progress = move || weak.upgrade().map_or(0, |n| n.state().in_progress);
    node.metrics.watch("requests_in_progress", in_progress);
}

impl Handle {
    /// Shuts down without cutting a request in progress.
    ///
    /// The readiness check fails first, while callers are still answered; then
    /// the domains of this entry go to others, and the last requests end.
    pub async fn drain(self) {
        let timing = self.node.settings.timing;
        self.node.state().draining = true;
        log::info!("event=draining");
        tasks::announce_drain(&self.node).await;
        tasks::hand_over_all(&self.node).await;
        Timer::after(span(timing.drain_notice_ms)).await;
        let limit = self.node.now() + span(timing.drain_limit_ms);
        while self.node.state().in_progress > 0 && self.node.now() < limit {
            Timer::after(DRAIN_TICK).await;
        }
        let closing = async {
            self.callers.shut_down().await;
        };
        smol::future::or(closing, async {
            Timer::after(CLOSE_LIMIT).await;
        })
        .await;
        let left = self.node.state().in_progress;
        if let Err(error) = tasks::resign(&self.node).await {
            log::warn!("event=lease_not_resigned reason=\"{error}\"");
        }
        self.operators.shut_down();
        drop(self.tasks);
        log::info!("event=stopped requests_cut={left}");
    }
}

/// Runs an entry instance until a signal; the first one drains, a second one ends at once.
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
