//! Confirms crashes of workers and records strikes against the requests that may have caused
//! them.

use std::sync::Arc;

use cyclamen_dispatch::Target;
use cyclamen_replica::Start;
use cyclamen_route::containment::{Crash, Fingerprint, Part, Strike};
use cyclamen_types::group::Fence;

use crate::node::{Canary, Node, ProbeCause};
use crate::tasks::gossip_now;
use crate::tasks::probe::{INITIAL_PROBES, responds};

/// A request whose worker closed the connection before its response or at the beginning of it.
pub(crate) struct Suspect {
    pub(crate) id: Arc<str>,
    pub(crate) fingerprint: Fingerprint,
    /// The parts of its prompt that other requests may share.
    pub(crate) parts: Arc<[Part]>,
    /// Set if it is a canary, which it stays until the strike is recorded.
    pub(crate) canary: Option<Arc<Canary>>,
}

/// Records a strike against a request if its worker fails its probes.
pub(crate) fn confirm(node: &Arc<Node>, target: &Target, suspect: Suspect) {
    let Some(crash) = crash(target) else {
        log::warn!(
            "event=crash_not_counted id={} instance={} reason=\"no valid domain or group name\"",
            suspect.id,
            target.instance
        );
        return;
    };
    let node = node.clone();
    let target = target.clone();
    let confirming = async move {
        let worker = Start {
            instance: target.instance.clone(),
            incarnation: target.incarnation,
        };
        let worker = (&worker, target.address);
        let responds = responds(&node, worker, ProbeCause::Crash, INITIAL_PROBES).await;
        log(&target, &suspect, responds);
        if responds {
            return;
        }
        let now = node.now();
        let strike = Strike {
            fingerprint: suspect.fingerprint,
            crash,
            parts: suspect.parts,
        };
        let is_new = node.state().record_strikes(now, [strike]);
        if is_new {
            node.metrics.record_crash();
            gossip_now(&node);
        }
        drop(suspect.canary);
    };
    smol::spawn(confirming).detach();
}

/// Logs whether a worker that closed a connection has crashed.
fn log(target: &Target, suspect: &Suspect, responds: bool) {
    let event = if responds {
        "crash_not_confirmed"
    } else {
        "worker_crashed"
    };
    let parts: Vec<&str> = suspect.parts.iter().map(Part::as_str).collect();
    log::info!(
        "event={event} id={} instance={} incarnation={} fingerprint={} parts={}",
        suspect.id,
        target.instance,
        target.incarnation,
        suspect.fingerprint,
        parts.join(",")
    );
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
