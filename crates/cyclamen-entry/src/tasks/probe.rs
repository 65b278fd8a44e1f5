//! Probes the workers of this entry's domains.

use std::sync::Arc;

use cyclamen_domain::Listing;
use cyclamen_tables::pools::Kind;

use crate::node::Node;
use crate::tasks::own_domains;

/// Sends one probe to every worker of this entry's domains.
pub(crate) async fn step(node: &Arc<Node>) {
    let workers: Vec<_> = {
        let state = node.state();
        let own = own_domains(&state).into_iter();
        let domains = own.filter_map(|name| state.domains.get(&name));
        let listings = domains.flat_map(|d| d.listings().cloned());
        let targets = listings.filter_map(|l| {
            let pool = state.pools.body.of_service(&l.service)?;
            Some((l, pool.kind))
        });
        targets.collect()
    };
    for (listing, kind) in workers {
        smol::spawn(probe(node.clone(), listing, kind)).detach();
    }
}

async fn probe(node: Arc<Node>, listing: Listing, kind: Kind) {
    let probed_at = node.now();
    let report = match kind {
        Kind::Model => node.workers.report(listing.address).await,
        Kind::Plain => node.workers.health(listing.address).await,
    };
    let Ok(report) = report else {
        return;
    };
    let now = node.now();
    let mut state = node.state();
    if let Some(domain) = state.domains.get_mut(&listing.domain) {
        domain.record_report(probed_at, &listing.instance, report);
    }
    state.poll_queue(now, &listing.domain);
}
