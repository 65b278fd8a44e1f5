//! Gives tickets back to the owners of other domains.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_peer::Release;
use smol::Timer;

use crate::node::Node;

/// Tickets in one call.
const BATCH: usize = 256;
/// How long tickets are collected for one call.
const GATHER: Duration = Duration::from_millis(5);
/// The time before tickets are offered again after a failed call.
const RETRY: Duration = Duration::from_millis(250);

/// Sends tickets back in batches until their owners have taken them.
pub(crate) async fn run(node: Arc<Node>) {
    while let Ok(first) = node.released.recv().await {
        Timer::after(GATHER).await;
        let mut batch = vec![first];
        while batch.len() < BATCH
            && let Ok(release) = node.released.try_recv()
        {
            batch.push(release);
        }
        for (address, releases) in by_owner(&node, batch) {
            smol::spawn(send(node.clone(), address, releases)).detach();
        }
    }
}

/// Tickets of domains without a live owner need not be given back.
fn by_owner(node: &Node, batch: Vec<Release>) -> BTreeMap<SocketAddr, Vec<Release>> {
    let state = node.state();
    let mut by_owner: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for release in batch {
        let domain = state.domains.get(&release.domain);
        let owner = domain.and_then(|d| d.row().owner.as_ref());
        if let Some(entry) = owner.and_then(|owner| state.entries.get(owner)) {
            by_owner.entry(entry.peer).or_default().push(release);
        }
    }
    by_owner
}

async fn send(node: Arc<Node>, address: SocketAddr, releases: Vec<Release>) {
    let Some(peers) = node.peers() else {
        return;
    };
    if peers.release(address, releases.clone()).await.is_ok() {
        return;
    }
    Timer::after(RETRY).await;
    for release in releases {
        let _ = node.releases.try_send(release);
    }
}
