//! Admission of requests by domains of this entry or of other owners.

mod ticket;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_domain::{self as domains, Decision, Ending, Owner};
use cyclamen_peer::message::Admission;
use cyclamen_peer::{AdmissionRequest, BoxFuture};
use cyclamen_tables::routes::Priority;
use cyclamen_types::{Time, domain, pool, team};
use futures::channel::oneshot;
use smol::Timer;
use smol::future::or;

pub(crate) use ticket::Admitted;
use ticket::RequestedTicket;

use crate::node::Node;
use crate::telemetry::Span;

/// The maximum number of admission requests in one pass over the domains.
///
/// A domain gets a second one only if it was busy and the first could not queue.
const MAX_ADMISSION_REQUESTS: usize = 4;
/// The interval between attempts to find a serving domain during an outage.
const OUTAGE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The retry delay if no domain is known to serve the pool.
const NOT_SERVING_RETRY_DELAY: Duration = Duration::from_secs(5);

/// The properties of a request that admission depends on.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) pool: pool::Name,
    pub(crate) team: team::Name,
    pub(crate) share: u32,
    pub(crate) priority: Priority,
    pub(crate) deadline: Time,
    pub(crate) suspect: bool,
}

/// The reason why a request was not admitted; each variant holds the retry delay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// No group serves the pool.
    NotServing(Duration),
    /// Every slot is in use.
    Busy(Duration),
    /// The deadline cannot be met.
    Late(Duration),
}

impl Node {
    /// Obtains admission from any domain; `tried` holds the domains that have refused the
    /// request.
    ///
    /// Retries during a short outage in which no domain serves the pool.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        request: &Request,
        tried: &mut BTreeSet<domain::Name>,
        parent: &Span,
    ) -> Result<Admitted, Refusal> {
        loop {
            let admitted = self.try_admit(request, tried, parent).await;
            let now = self.now();
            match admitted {
                Ok(admitted) => {
                    self.state().outages.record_serving(now, &request.pool);
                    return Ok(admitted);
                }
                Err(Refusal::NotServing(wait)) => {
                    let should_wait =
                        self.state()
                            .outages
                            .should_wait(now, &request.pool, request.deadline);
                    if !should_wait {
                        return Err(Refusal::NotServing(wait));
                    }
                    tried.clear();
                    Timer::after(OUTAGE_POLL_INTERVAL).await;
                }
                Err(refusal) => return Err(refusal),
            }
        }
    }

    /// Tries to obtain admission from the domains that are known to serve.
    async fn try_admit(
        self: &Arc<Self>,
        request: &Request,
        tried: &mut BTreeSet<domain::Name>,
        parent: &Span,
    ) -> Result<Admitted, Refusal> {
        let mut last = Refusal::NotServing(NOT_SERVING_RETRY_DELAY);
        for attempt in 0..MAX_ADMISSION_REQUESTS {
            let Some(domain) = self.choose(&request.pool, tried) else {
                break;
            };
            let may_queue = attempt > 0 || self.is_only_choice(&request.pool, tried, &domain);
            match self
                .request_admission(request, &domain, may_queue, parent)
                .await
            {
                Ok(admitted) => return Ok(admitted),
                Err(Refusal::Busy(wait)) if !may_queue => {
                    last = Refusal::Busy(wait);
                }
                Err(refusal) => {
                    tried.insert(domain);
                    last = more_informative(last, refusal);
                }
            }
            if request.deadline <= self.now() {
                break;
            }
        }
        Err(last)
    }

    fn choose(&self, pool: &pool::Name, tried: &BTreeSet<domain::Name>) -> Option<domain::Name> {
        let now = self.now();
        let mut guard = self.state();
        let state = &mut *guard;
        state.record_own_summaries(now);
        state.balancer.choose(now, pool, tried, &mut state.rng)
    }

    fn is_only_choice(
        &self,
        pool: &pool::Name,
        tried: &BTreeSet<domain::Name>,
        domain: &domain::Name,
    ) -> bool {
        let now = self.now();
        let state = self.state();
        let others = state
            .balancer
            .fresh_summaries(now)
            .filter(|(p, d, summary)| {
                *p == pool && *d != domain && summary.serving > 0 && !tried.contains(*d)
            });
        others.count() == 0
    }

    async fn request_admission(
        self: &Arc<Self>,
        request: &Request,
        domain: &domain::Name,
        may_queue: bool,
        parent: &Span,
    ) -> Result<Admitted, Refusal> {
        let requested_at = self.now();
        let (message, owner) = {
            let mut state = self.state();
            let owner = state
                .domains
                .get(domain)
                .and_then(|d| d.row().owner.clone());
            (
                state.admission_request(request, domain, may_queue, requested_at),
                owner,
            )
        };
        let mut requested = RequestedTicket {
            node: self.clone(),
            domain: domain.clone(),
            ticket: message.ticket,
            kept: false,
        };
        let mine = owner
            .as_ref()
            .is_some_and(|owner| self.state().me == *owner);
        let admission = if mine {
            self.admit_local(message).await.admission
        } else {
            // If the response is lost the ticket may have been issued, so it is released.
            let admission = self.admit_remote(owner, message, parent).await;
            admission.ok_or(Refusal::NotServing(NOT_SERVING_RETRY_DELAY))?
        };
        requested.kept = true;
        match admission {
            Admission::Granted(grant) => Ok(Admitted {
                grant,
                domain: domain.clone(),
                granted_at: self.now(),
                ending: Ending::Unused,
                node: self.clone(),
            }),
            Admission::NotServing | Admission::NotOwner => {
                self.state().balancer.remove(domain, &request.pool);
                Err(Refusal::NotServing(NOT_SERVING_RETRY_DELAY))
            }
            Admission::Busy(wait) => Err(Refusal::Busy(wait)),
            Admission::Late(wait) => Err(Refusal::Late(wait)),
        }
    }

    /// Requests admission from the owner of a domain over the network; returns `None` if the
    /// call failed.
    async fn admit_remote(
        &self,
        owner: Option<Owner>,
        mut message: AdmissionRequest,
        parent: &Span,
    ) -> Option<Admission> {
        let address = owner.and_then(|owner| self.peer_address(&owner));
        let (Some(address), Some(peers)) = (address, self.peers()) else {
            return Some(Admission::NotOwner);
        };
        let span = parent.child("admit");
        message.traceparent = span.traceparent();
        let pool = message.pool.clone();
        let domain = message.domain.clone();
        self.metrics.record_peer_admission();
        match peers.admit(address, message).await {
            Ok(response) => {
                let now = self.now();
                if let Some(pool_summary) = response.summary {
                    self.state().record_summary(now, &pool_summary);
                }
                Some(response.admission)
            }
            Err(error) => {
                span.set_error(&error);
                self.state().balancer.remove(&domain, &pool);
                None
            }
        }
    }

    /// Decides on admission to one of this entry's domains; a queued request waits for the
    /// decision.
    pub(crate) fn admit_local(
        self: &Arc<Self>,
        message: AdmissionRequest,
    ) -> BoxFuture<cyclamen_peer::AdmissionResponse> {
        let node = self.clone();
        Box::pin(async move {
            let now = node.now();
            let deadline = now + message.remaining;
            let (domain, pool) = (message.domain.clone(), message.pool.clone());
            let result = node.state().decide(now, message);
            let decision = match result {
                Ok(decision) => decision,
                Err(receiver) => node.await_decision(receiver, deadline).await,
            };
            let summary = node.state().pool_summary(node.now(), &domain, &pool);
            cyclamen_peer::AdmissionResponse {
                admission: admission_of(decision),
                summary,
            }
        })
    }

    /// Waits for the decision on a queued request; the queue itself refuses it at the deadline.
    async fn await_decision(
        &self,
        receiver: oneshot::Receiver<Decision>,
        deadline: Time,
    ) -> Decision {
        let late = Decision::Refused(domains::Refusal::Late(Duration::from_secs(1)));
        let timeout = deadline.since(self.now()) + Duration::from_secs(1);
        let cancelled = late.clone();
        let decided = async { receiver.await.unwrap_or(cancelled) };
        let timed_out = async {
            Timer::after(timeout).await;
            late
        };
        or(decided, timed_out).await
    }
}

fn admission_of(decision: Decision) -> Admission {
    match decision {
        Decision::Granted(grant) => Admission::Granted(grant),
        Decision::Refused(domains::Refusal::NotServing) => Admission::NotServing,
        Decision::Refused(domains::Refusal::Busy(wait)) => Admission::Busy(wait),
        Decision::Refused(domains::Refusal::Late(wait)) => Admission::Late(wait),
        Decision::Queued(_) => Admission::Busy(Duration::from_secs(1)),
    }
}

/// Returns the refusal with the more informative retry delay; `NotServing` is the least
/// informative.
fn more_informative(one: Refusal, other: Refusal) -> Refusal {
    match (one, other) {
        (Refusal::NotServing(_), other) => other,
        (one, Refusal::NotServing(_)) => one,
        (_, other) => other,
    }
}
