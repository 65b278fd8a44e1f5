//! Reads the platform's list of instances.

use std::collections::BTreeMap;
use std::sync::Arc;

use cyclamen_domain::Domain;

use crate::node::Node;

/// Reads the list and sets the listings of each domain.
pub(crate) async fn step(node: &Arc<Node>) {
    let list = match node.platform.instances().await {
        Ok(list) => list,
        Err(error) => {
            log::warn!("event=list_failed reason=\"{error}\"");
            return;
        }
    };
    let mut by_domain: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for listing in list.instances {
        by_domain
            .entry(listing.domain.clone())
            .or_default()
            .push(listing);
    }
    let mut state = node.state();
    let options = state.domain_options;
    for name in by_domain.keys() {
        let domain = state.domains.entry(name.clone());
        domain.or_insert_with(|| Domain::new(name.clone(), options));
    }
    for (name, domain) in &mut state.domains {
        domain.set_listings(by_domain.remove(name).unwrap_or_default());
    }
}
