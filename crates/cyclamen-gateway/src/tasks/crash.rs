//! Crashes of workers, and the requests that may have caused them.

use std::sync::Arc;

use cyclamen_dispatch::Target;
use cyclamen_route::containment::{Crash, Fingerprint, Strike};
use cyclamen_types::group::Fence;

use crate::node::Node;
use crate::tasks::probe::{FIRST_QUESTIONS, answers};
use crate::tasks::tell_all;

/// Counts a strike against a request whose worker closed the connection before it
/// answered, if the worker is gone.
pub(crate) fn note(
    node: &Arc<Node>,
    target: &Target,
    request: &Arc<str>,
    fingerprint: &Fingerprint,
) {
    let Some(crash) = crash(target) else {
        log::warn!(
            "event=crash_not_counted id={request} instance={} reason=\"no name for it\"",
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
        if answers(&node, target.address, FIRST_QUESTIONS).await {
            return;
        }
        log::info!(
            "event=worker_crashed id={request} instance={} incarnation={} fingerprint={}",
            target.instance,
            target.incarnation,
            strike.fingerprint
        );
        let now = node.now();
        let is_news = node.state().suspects.record(now, strike);
        if is_news {
            node.metrics.crashed();
            tell_all(&node);
        }
    };
    smol::spawn(confirming).detach();
}

/// The crash of one start of a worker, which stands for a group of its own.
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
