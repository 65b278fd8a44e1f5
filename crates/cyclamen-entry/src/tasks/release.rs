//! Sends releases of tickets to the owners of other domains.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_peer::Release;
use smol::Timer;

use crate::node::Node;

/// The maximum number of releases in one call.
const MAX_BATCH_SIZE: usize = 256;
/// How long releases are collected for one call.
const BATCH_DELAY: Duration = Duration::from_millis(5);
/// The time before releases are queued again after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Sends releases in batches and retries failed calls.
pub(crate) async fn run(node: Arc<Node>) {
    while let Ok(first) = node.release_receiver.recv().await {
        Timer::after(BATCH_DELAY).await;
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH_SIZE
            && let Ok(release) = node.release_receiver.try_recv()
        {
            batch.push(release);
        }
        for (address, releases) in by_owner(&node, batch) {
            smol::spawn(send(node.clone(), address, releases)).detach();
        }
    }
}

/// Groups releases by the address of the domain's owner.
///
/// Tickets of domains without a live owner need not be released.
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
    Timer::after(RETRY_DELAY).await;
    for release in releases {
        let _ = node.release_sender.try_send(release);
    }
}
