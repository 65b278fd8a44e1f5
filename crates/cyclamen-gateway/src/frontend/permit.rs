//! Asks for permits to send requests to limited workers.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_dispatch::{Dispatch, Target};
use cyclamen_peer::message::{PermitRequest, PermitResponse};
use cyclamen_quota::{Ask, Decision, PERMIT_LIFETIME, Permit, Rate};
use cyclamen_types::{Time, domain};

use crate::frontend::call::Call;
use crate::node::{Node, PermitSource, scope};

/// The timeout of a request for a permit to another entry.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
/// How long this entry waits before it asks again if no entry decided.
const UNDECIDED_WAIT: Duration = Duration::from_millis(200);
/// The shortest time for which this entry waits before it asks again.
const MIN_WAIT: Duration = Duration::from_millis(5);

/// No permit is to be had for the chosen worker now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Held;

/// Gets a permit to send a request to the chosen worker; `None` if it has no rate limit.
pub(super) async fn acquire(call: &Call, dispatch: &Dispatch) -> Result<Option<Permit>, Held> {
    let node = &call.node;
    let target = &dispatch.target;
    let asked_at = node.now();
    let Some(rate) = target.rate_limit(asked_at) else {
        return Ok(None);
    };
    {
        let mut state = node.state();
        let dispatcher = &mut state.dispatcher;
        let unused = dispatcher.take_permit(asked_at, target);
        if unused.is_some() {
            return Ok(unused);
        }
        dispatcher.record_ask(asked_at, target, call.priority());
    }
    let decision = decide(call, target, rate, asked_at).await;
    let now = node.now();
    let is_current = now.since(asked_at) < PERMIT_LIFETIME;
    let wait = match decision {
        Decision::Issued if is_current => {
            return Ok(Some(Permit {
                instance: target.instance.clone(),
                incarnation: target.incarnation,
                expires_at: asked_at + PERMIT_LIFETIME,
            }));
        }
        Decision::Issued => MIN_WAIT,
        Decision::Denied(wait) => wait.max(MIN_WAIT),
    };
    node.metrics.record_held_back();
    log::debug!(
        "event=held_back id={} instance={} limit={rate} wait_ms={}",
        call.id,
        target.instance,
        wait.as_millis()
    );
    let mut state = node.state();
    state
        .dispatcher
        .record_hold(now, target, call.priority(), wait);
    Err(Held)
}

/// Returns the decision of the entry that issues the worker's permits.
async fn decide(call: &Call, target: &Target, rate: Rate, now: Time) -> Decision {
    let Some(scope) = scope(&call.service, target.domain.as_ref()) else {
        return Decision::Denied(UNDECIDED_WAIT);
    };
    let node = &call.node;
    let ask = Ask {
        instance: target.instance.clone(),
        incarnation: target.incarnation,
        rate,
        priority: call.priority(),
    };
    let source = node.state().permit_source(now, &scope);
    let undecided = match &source {
        PermitSource::Local => {
            let request = PermitRequest {
                scope: scope.clone(),
                ask,
            };
            match node.state().respond_permit(now, request) {
                PermitResponse::Decided(decision) => return decision,
                PermitResponse::NotIssuer => "not_issuer",
            }
        }
        PermitSource::Parts(parts) => {
            let rate = rate.share(1.0 / (*parts).max(1) as f64);
            return node.state().part_issuer.issue(now, &Ask { rate, ..ask });
        }
        PermitSource::Peer { entry, address } => {
            let request = PermitRequest {
                scope: scope.clone(),
                ask,
            };
            match ask_peer(node, *address, request).await {
                Ok(decision) => {
                    let mut state = node.state();
                    state.issuers.insert(scope, entry.clone());
                    return decision;
                }
                Err(reason) => {
                    node.state().issuers.remove(&scope);
                    reason
                }
            }
        }
        PermitSource::Unknown => "no_issuer",
    };
    log_undecided(&scope, target, &source, undecided);
    Decision::Denied(UNDECIDED_WAIT)
}

async fn ask_peer(
    node: &Node,
    address: SocketAddr,
    request: PermitRequest,
) -> Result<Decision, &'static str> {
    let peers = node.peers().ok_or("not_started")?;
    match peers.permit(address, request, ASK_TIMEOUT).await {
        Ok(PermitResponse::Decided(decision)) => Ok(decision),
        Ok(PermitResponse::NotIssuer) => Err("not_issuer"),
        Err(_) => Err("unreachable"),
    }
}

fn log_undecided(scope: &domain::Name, target: &Target, source: &PermitSource, reason: &str) {
    let peer = match source {
        PermitSource::Peer { entry, .. } => entry.as_str(),
        _ => "none",
    };
    log::info!(
        "event=permit_undecided instance={} scope={scope} peer={peer} reason={reason}",
        target.instance
    );
}
