//! Admission of requests, by this entry's own domains or by other owners.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_domain::{self as domains, Decision, Ending, Grant, Owner};
use cyclamen_peer::message::Admission;
use cyclamen_peer::{AdmissionRequest, BoxFuture, Release};
use cyclamen_tables::routes::Priority;
use cyclamen_types::{Time, domain, group, pool, team};
use futures::channel::oneshot;
use smol::Timer;
use smol::future::or;

use crate::node::Node;
use crate::telemetry::Hop;

/// Domains that one request asks at the most, each once.
const ASK_LIMIT: usize = 4;
/// The time between two looks for a domain that serves.
const GAP_TICK: Duration = Duration::from_millis(100);
/// When to come back if no domain is known to serve.
const NOT_SERVING_RETRY: Duration = Duration::from_secs(5);

/// What a request needs of admission.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) pool: pool::Name,
    pub(crate) team: team::Name,
    pub(crate) share: u32,
    pub(crate) priority: Priority,
    pub(crate) deadline: Time,
    pub(crate) suspect: bool,
}

/// Why a request was not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// No group serves the pool.
    NotServing(Duration),
    /// Every place is taken.
    Busy(Duration),
    /// The deadline cannot be met.
    Late(Duration),
}

/// A granted ticket, given back when it is dropped.
pub(crate) struct Admitted {
    pub(crate) grant: Grant,
    pub(crate) domain: domain::Name,
    pub(crate) at: Time,
    ending: Ending,
    node: Arc<Node>,
}

impl Admitted {
    /// How the request ended, to be told to the owner.
    pub(crate) fn end(&mut self, ending: Ending) {
        self.ending = ending;
    }

    /// Whether the request may still be sent at this moment.
    pub(crate) fn may_start(&self, now: Time) -> bool {
        if now.since(self.at) > self.grant.start_within {
            return false;
        }
        let state = self.node.state();
        let domain = state.domains.get(&self.domain);
        let listing = domain.and_then(|d| d.listings().find(|l| l.instance == self.grant.instance));
        listing.is_none_or(|l| !state.pools.body.zones_out.contains(&l.zone))
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.node
            .release(&self.domain, self.grant.ticket, self.ending);
    }
}

/// A ticket that was asked for and may be issued; given back unless it is kept.
struct Asked {
    node: Arc<Node>,
    domain: domain::Name,
    ticket: group::Ticket,
    kept: bool,
}

impl Drop for Asked {
    fn drop(&mut self) {
        if !self.kept {
            self.node.release(&self.domain, self.ticket, Ending::Unused);
        }
    }
}

impl Node {
    /// Gives a ticket back to the domain that may have issued it.
    fn release(&self, domain: &domain::Name, ticket: group::Ticket, ending: Ending) {
        let now = self.now();
        let mut state = self.state();
        let pools = state.pools.clone();
        if let Some(own) = state.domains.get_mut(domain).filter(|d| d.is_mine()) {
            own.release(now, ticket, ending, &pools.body);
            state.wake(now, domain);
            return;
        }
        drop(state);
        let release = Release {
            domain: domain.clone(),
            ticket,
            ending,
        };
        if self.releases.try_send(release).is_err() {
            log::warn!("event=release_dropped domain={domain} ticket={ticket}");
        }
    }

    /// Has a request admitted somewhere; `tried` lists domains that refused it before.
    ///
    /// Waits out a short gap in which no domain serves the pool.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        request: &Request,
        tried: &mut BTreeSet<domain::Name>,
        hop: &Hop,
    ) -> Result<Admitted, Refusal> {
        loop {
            let admitted = self.admit_now(request, tried, hop).await;
            let now = self.now();
            match admitted {
                Ok(admitted) => {
                    self.state().gaps.record_serving(now, &request.pool);
                    return Ok(admitted);
                }
                Err(Refusal::NotServing(wait)) => {
                    let wait_for_it =
                        self.state()
                            .gaps
                            .should_wait(now, &request.pool, request.deadline);
                    if !wait_for_it {
                        return Err(Refusal::NotServing(wait));
                    }
                    tried.clear();
                    Timer::after(GAP_TICK).await;
                }
                Err(refusal) => return Err(refusal),
            }
        }
    }

    /// Has a request admitted by one of the domains that are known to serve.
    async fn admit_now(
        self: &Arc<Self>,
        request: &Request,
        tried: &mut BTreeSet<domain::Name>,
        hop: &Hop,
    ) -> Result<Admitted, Refusal> {
        let mut last = Refusal::NotServing(NOT_SERVING_RETRY);
        for attempt in 0..ASK_LIMIT {
            let Some(domain) = self.choose(&request.pool, tried) else {
                break;
            };
            let patient = attempt > 0 || self.only_choice(&request.pool, tried, &domain);
            match self.ask(request, &domain, patient, hop).await {
                Ok(admitted) => return Ok(admitted),
                Err(Refusal::Busy(wait)) if !patient => {
                    last = Refusal::Busy(wait);
                }
                Err(refusal) => {
                    tried.insert(domain);
                    last = worse(last, refusal);
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
        state.note_own_domains(now);
        state.board.choose(now, pool, tried, &mut state.rng)
    }

    fn only_choice(
        &self,
        pool: &pool::Name,
        tried: &BTreeSet<domain::Name>,
        domain: &domain::Name,
    ) -> bool {
        let now = self.now();
        let state = self.state();
        let others = state.board.fresh_summaries(now).filter(|(p, d, summary)| {
            *p == pool && *d != domain && summary.serving > 0 && !tried.contains(*d)
        });
        others.count() == 0
    }

    async fn ask(
        self: &Arc<Self>,
        request: &Request,
        domain: &domain::Name,
        patient: bool,
        hop: &Hop,
    ) -> Result<Admitted, Refusal> {
        let asked_at = self.now();
        let (ask, owner) = {
            let mut state = self.state();
            let owner = state
                .domains
                .get(domain)
                .and_then(|d| d.row().owner.clone());
            (state.ask_of(request, domain, patient, asked_at), owner)
        };
        let mut asked = Asked {
            node: self.clone(),
            domain: domain.clone(),
            ticket: ask.ticket,
            kept: false,
        };
        let mine = owner
            .as_ref()
            .is_some_and(|owner| self.state().me == *owner);
        let admission = if mine {
            self.admit_here(ask).await.admission
        } else {
            // An answer that was lost may have issued the ticket, so it is given back.
            let answered = self.admit_there(owner, ask, hop).await;
            answered.ok_or(Refusal::NotServing(NOT_SERVING_RETRY))?
        };
        asked.kept = true;
        match admission {
            Admission::Granted(grant) => Ok(Admitted {
                grant,
                domain: domain.clone(),
                at: self.now(),
                ending: Ending::Unused,
                node: self.clone(),
            }),
            Admission::NotServing | Admission::NotOwner => {
                self.state().board.remove(domain, &request.pool);
                Err(Refusal::NotServing(NOT_SERVING_RETRY))
            }
            Admission::Busy(wait) => Err(Refusal::Busy(wait)),
            Admission::Late(wait) => Err(Refusal::Late(wait)),
        }
    }

    /// Asks the owner of a domain over the network; nothing if its answer was lost.
    async fn admit_there(
        &self,
        owner: Option<Owner>,
        mut ask: AdmissionRequest,
        hop: &Hop,
    ) -> Option<Admission> {
        let address = owner.and_then(|owner| self.peer_address(&owner));
        let (Some(address), Some(peers)) = (address, self.peers()) else {
            return Some(Admission::NotOwner);
        };
        let span = hop.child("admit");
        ask.traceparent = span.traceparent();
        let pool = ask.pool.clone();
        let domain = ask.domain.clone();
        self.metrics.asked_peer();
        match peers.admit(address, ask).await {
            Ok(answer) => {
                let now = self.now();
                if let Some(notice) = answer.summary {
                    self.state().note_summary(now, &notice);
                }
                Some(answer.admission)
            }
            Err(error) => {
                span.fail(&error);
                self.state().board.remove(&domain, &pool);
                None
            }
        }
    }

    /// Decides about admission to one of this entry's domains, waiting if need be.
    pub(crate) fn admit_here(
        self: &Arc<Self>,
        ask: AdmissionRequest,
    ) -> BoxFuture<cyclamen_peer::AdmissionResponse> {
        let node = self.clone();
        Box::pin(async move {
            let now = node.now();
            let deadline = now + ask.time_left;
            let (domain, pool) = (ask.domain.clone(), ask.pool.clone());
            let decided = node.state().decide(now, ask);
            let answer = match decided {
                Ok(answer) => answer,
                Err(waiter) => node.wait(waiter, deadline).await,
            };
            let summary = node.state().notice_of(node.now(), &domain, &pool);
            cyclamen_peer::AdmissionResponse {
                admission: admission_of(answer),
                summary,
            }
        })
    }

    /// Waits for an answer from the queue; the queue itself refuses at the deadline.
    async fn wait(&self, waiter: oneshot::Receiver<Decision>, deadline: Time) -> Decision {
        let late = Decision::Refused(domains::Refusal::Late(Duration::from_secs(1)));
        let grace = deadline.since(self.now()) + Duration::from_secs(1);
        let gone = late.clone();
        let answered = async { waiter.await.unwrap_or(gone) };
        let timeout = async {
            Timer::after(grace).await;
            late
        };
        or(answered, timeout).await
    }
}

fn admission_of(answer: Decision) -> Admission {
    match answer {
        Decision::Granted(grant) => Admission::Granted(grant),
        Decision::Refused(domains::Refusal::NotServing) => Admission::NotServing,
        Decision::Refused(domains::Refusal::Busy(wait)) => Admission::Busy(wait),
        Decision::Refused(domains::Refusal::Late(wait)) => Admission::Late(wait),
        Decision::Queued(_) => Admission::Busy(Duration::from_secs(1)),
    }
}

/// The refusal that says more about when to come back.
fn worse(one: Refusal, other: Refusal) -> Refusal {
    match (one, other) {
        (Refusal::NotServing(_), other) => other,
        (one, Refusal::NotServing(_)) => one,
        (_, other) => other,
    }
}
