//! Confirms crashes of workers and records strikes against the requests that may have caused
//! them.

use std::sync::Arc;

use cyclamen_dispatch::Target;
use cyclamen_route::containment::{Crash, Fingerprint, Strike};
use cyclamen_types::group::Fence;

use crate::node::Node;
use crate::tasks::gossip_now;
use crate::tasks::probe::{INITIAL_PROBES, responds};

/// Records a strike against a request whose worker closed the connection before any part of its
/// response could be forwarded, if the worker fails its probes.
pub(crate) fn confirm(
    node: &Arc<Node>,
    target: &Target,
    request: &Arc<str>,
    fingerprint: &Fingerprint,
) {
    let Some(crash) = crash(target) else {
        log::warn!(
            "event=crash_not_counted id={request} instance={} reason=\"no valid domain or group name\"",
            target.instance
        );
        return;
    };
    let fingerprint = fingerprint.clone();
    let strike = Strike { fingerprint, crash };
    let node = node.clone();
    let target = target.clone();
    let request = request.clone();
    let confirming = async move {
        if responds(&node, target.address, INITIAL_PROBES).await {
            return;
        }
        log::info!(
            "event=worker_crashed id={request} instance={} incarnation={} fingerprint={}",
            target.instance,
            target.incarnation,
            strike.fingerprint
        );
        let now = node.now();
        let is_new = node.state().strikes.record(now, strike);
        if is_new {
            node.metrics.record_crash();
            gossip_now(&node);
        }
    };
    smol::spawn(confirming).detach();
}

/// Returns the crash of one incarnation of a worker, recorded as a crash of a group that
/// consists of this worker only; `None` if there are no valid names for it.
fn crash(target: &Target) -> Option<Crash> {
    let domain = match &target.domain {
        Some(domain) => domain.clone(),
        None => target.zone.as_str().parse().ok()?,
    };
    Some(Crash {
        domain,
        group: target.instance.as_str().parse().ok()?,
        fence: Fence(target.incarnation.0),
    })
}
