//! Startup and shutdown of a gateway.

use std::iter;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use async_signal::{Signal, Signals};
use cyclamen_drain::Schedule;
use cyclamen_peer::{Allowed, Gossip, PermitRequest, PermitResponse, Service};
use cyclamen_server::{Server, Shutdown};
use eyre::WrapErr;
use futures::StreamExt;
use smol::future::or;
use trillium_http::HttpConfig;
use trillium_smol::async_net;

use crate::descriptors::Shares;
use crate::metrics::Metrics;
use crate::node::{FOLLOWED_TABLES, Node};
use crate::platform::{Platform, poll};
use crate::settings::Settings;
use crate::{frontend, tasks};

/// The maximum size of the head of a request, in bytes, at which the server closes the connection.
///
/// The operators' own limit, which may change while the server runs, is not enforced.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Responds to the calls of other entries.
struct PeerService(Arc<Node>);

impl Service for PeerService {
    fn gossip(&self, received: Gossip) -> Gossip {
        tasks::respond_gossip(&self.0, received)
    }

    fn permit(&self, request: PermitRequest) -> PermitResponse {
        let now = self.0.now();
        self.0.state().respond_permit(now, request)
    }
}

/// A running gateway.
pub struct Handle {
    node: Arc<Node>,
    tasks: Vec<smol::Task<()>>,
    caller_server: Server,
    /// The server of requests that are handed over.
    handover_server: Option<Server>,
    /// The servers of readiness checks and metrics.
    internal_servers: Vec<Server>,
}

/// Starts a gateway; it runs until the handle is drained or dropped.
pub fn start(settings: Settings, platform: Arc<dyn Platform>) -> eyre::Result<Handle> {
    let caller_listener = bind(settings.caller_listen)?;
    let ready_listener = bind(settings.ready_listen)?;
    let metrics_listener = bind(settings.metrics_listen)?;
    let handover_listener = settings.handover_listen.map(bind).transpose()?;
    let options = cyclamen_peer::Options {
        listen: settings.peer_listen,
        secret: settings.peer_secret.reveal().clone(),
        allowed: Allowed::Anyone,
    };
    let node = Node::new(settings, platform, Metrics::new()?);
    let peers = cyclamen_peer::start(options, Arc::new(PeerService(node.clone())))
        .wrap_err("peer_listen cannot be bound")?;
    node.set_peers(peers);
    let local = node.state().local.clone();
    log::info!(
        "event=started entry={local} version={}",
        env!("CARGO_PKG_VERSION")
    );
    warn_of_short_freshness(&node);
    let shares = Shares::of(&node.settings.machine);
    let timeouts = node.state().timeouts.clone();
    let options = |connections| cyclamen_server::Options {
        http: HttpConfig::default().with_head_max_len(MAX_HEAD_BYTES),
        connections,
        timeouts: timeouts.clone(),
    };
    let receiver = frontend::Receiver(node.clone());
    let handover_server = handover_listener
        .map(|listener| Server::start(listener, options(shares.handovers), receiver));
    let readiness = frontend::Readiness(node.clone());
    let metrics = frontend::Metrics(node.clone());
    let servers = [
        Server::start(ready_listener, options(shares.operators), readiness),
        Server::start(metrics_listener, options(shares.operators), metrics),
    ];
    let callers = frontend::Proxy(node.clone());
    Ok(Handle {
        tasks: tasks::start(&node),
        caller_server: Server::start(caller_listener, options(shares.callers), callers),
        handover_server,
        internal_servers: servers.into(),
        node,
    })
}

/// Logs each followed table of which changes cannot be known as soon as the settings ask for.
fn warn_of_short_freshness(node: &Node) {
    for table in FOLLOWED_TABLES {
        let polls = node.settings.timing.polls(table);
        let shortest = poll::Options::min_freshness(polls.timeout);
        if polls.freshness < shortest {
            log::warn!(
                "event=freshness_not_kept table={} freshness_ms={} shortest_ms={}",
                table.as_str(),
                polls.freshness.as_millis(),
                shortest.as_millis()
            );
        }
    }
}

fn bind(address: SocketAddr) -> eyre::Result<async_net::TcpListener> {
    let listener =
        TcpListener::bind(address).wrap_err_with(|| format!("{address} cannot be bound"))?;
    listener.set_nonblocking(true)?;
    Ok(listener.try_into()?)
}

impl Handle {
    /// Shuts down gracefully: requests in progress may complete until the drain limit.
    ///
    /// The readiness check fails first, while callers are still served. The lease
    /// and the fabric domains are released to other entries meanwhile, and the remaining
    /// requests complete.
    pub async fn drain(self) {
        // Before a request can be refused for the drain, so that the refusal says it.
        self.caller_server.say_close();
        let schedule = self.begin_drain();
        // Dropped at the end of the drain, whether the store has answered or not.
        let resigning = smol::spawn(tasks::resign(self.node.clone()));
        let shutdown = Shutdown {
            servers: iter::once(&self.caller_server)
                .chain(&self.handover_server)
                .collect(),
            schedule,
            abortion: &self.node.abortion,
            now: || self.node.now(),
            in_progress: || self.node.state().in_progress,
        };
        let aborted = shutdown.run().await;
        for server in &self.internal_servers {
            drop(server.close());
        }
        drop(resigning);
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
}

/// Runs a gateway until a termination signal drains it.
///
/// A repeated SIGTERM changes nothing, since what sends it may well repeat it; SIGINT during the drain
/// exits immediately. `reload` reads the settings again; it is called on SIGHUP.
pub fn run(
    settings: Settings,
    platform: Arc<dyn Platform>,
    reload: impl Fn() -> eyre::Result<Settings>,
) -> eyre::Result<()> {
    smol::block_on(async {
        let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
        let handle = start(settings, platform)?;
        while let Some(signal) = signals.next().await {
            if signal? != Signal::Hup {
                break;
            }
            handle.reload(&reload);
        }
        or(handle.drain(), cyclamen_task::interrupted(signals)).await;
        Ok(())
    })
}

impl Handle {
    /// Logs whether the settings have changed; changes take effect only at the next start.
    fn reload(&self, read: impl Fn() -> eyre::Result<Settings>) {
        match read() {
            Ok(settings) if settings == self.node.settings => {
                log::info!("event=reloaded changed=false");
            }
            Ok(_) => log::warn!("event=reloaded changed=true effect=\"at the next start\""),
            Err(error) => log::warn!("event=reload_refused reason=\"{error}\""),
        }
    }
}
