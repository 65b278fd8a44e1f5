//! Start and shutdown of a gateway.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use async_signal::{Signal, Signals};
use cyclamen_peer::{Allowed, Gossip, Service};
use eyre::WrapErr;
use futures::StreamExt;
use smol::Timer;
use trillium_server_common::ServerHandle;
use trillium_smol::async_net;

use crate::edge::Platform;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::settings::{Settings, span};
use crate::{front, tasks};

/// The time between two looks at requests in progress during shutdown.
const DRAIN_TICK: Duration = Duration::from_millis(50);
/// The time for giving up the lease.
const RESIGN_TIME: Duration = Duration::from_millis(500);

/// Answers other entries.
struct Answers(Arc<Node>);

impl Service for Answers {
    fn gossip(&self, news: Gossip) -> Gossip {
        tasks::answer_news(&self.0, news)
    }
}

/// A running gateway.
pub struct Handle {
    node: Arc<Node>,
    tasks: Vec<smol::Task<()>>,
    callers: ServerHandle,
    others: [ServerHandle; 2],
}

/// Starts a gateway; it runs until the handle is drained or dropped.
pub fn start(settings: Settings, platform: Arc<dyn Platform>) -> eyre::Result<Handle> {
    let callers = bind(settings.caller_listen)?;
    let balancer = bind(settings.ready_listen)?;
    let readers = bind(settings.metrics_listen)?;
    let options = cyclamen_peer::Options {
        listen: settings.peer_listen,
        secret: settings.peer_secret.reveal().clone(),
        allowed: Allowed::Anyone,
    };
    let node = Node::new(settings, platform, Metrics::new()?);
    let peers = cyclamen_peer::start(options, Arc::new(Answers(node.clone())))
        .wrap_err("peer_listen cannot be bound")?;
    node.set_peers(peers);
    let me = node.state().me.clone();
    log::info!(
        "event=started entry={me} version={}",
        env!("CARGO_PKG_VERSION")
    );
    Ok(Handle {
        tasks: tasks::start(&node),
        callers: serve(callers, front::Callers(node.clone())),
        others: [
            serve(balancer, front::Readiness(node.clone())),
            serve(readers, front::Measures(node.clone())),
        ],
        node,
    })
}

fn serve(listener: async_net::TcpListener, handler: impl trillium::Handler) -> ServerHandle {
    trillium_smol::config()
        .without_signals()
        .with_nodelay()
        .with_prebound_server(listener)
        .spawn(handler)
}

fn bind(address: SocketAddr) -> eyre::Result<async_net::TcpListener> {
    let listener =
        TcpListener::bind(address).wrap_err_with(|| format!("{address} cannot be bound"))?;
    listener.set_nonblocking(true)?;
    Ok(listener.try_into()?)
}

impl Handle {
    /// Shuts down without cutting a request in progress.
    ///
    /// The readiness check fails first, while callers are still answered; the
    /// fabric domains go to others, and the last requests end.
    pub async fn drain(self) {
        let timing = self.node.settings.timing;
        let limit = self.node.now() + span(timing.drain_limit_ms);
        self.node.state().draining = true;
        log::info!("event=draining");
        let resigning = tasks::resign(&self.node);
        smol::future::or(resigning, async {
            Timer::after(RESIGN_TIME).await;
        })
        .await;
        Timer::after(span(timing.drain_notice_ms)).await;
        let closing = self.callers.shut_down();
        while self.node.state().in_progress > 0 && self.node.now() < limit {
            Timer::after(DRAIN_TICK).await;
        }
        let late = async {
            Timer::after(DRAIN_TICK).await;
        };
        smol::future::or(closing, late).await;
        let left = self.node.state().in_progress;
        for other in self.others {
            other.shut_down();
        }
        drop(self.tasks);
        log::info!("event=stopped requests_cut={left}");
    }
}

/// Runs a gateway until a signal; the first one drains, a second one ends at once.
///
/// `reload` gives the settings anew when they may have changed.
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
        let second = async {
            while let Some(signal) = signals.next().await {
                if !matches!(signal, Ok(Signal::Hup)) {
                    log::warn!("event=second_signal");
                    return;
                }
            }
        };
        smol::future::or(handle.drain(), second).await;
        Ok(())
    })
}

impl Handle {
    /// Compares changed settings with those in force; none can change while it runs.
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
