//! Admission decisions of the domains of this entry.

use cyclamen_domain::{self as domains, Decision};
use cyclamen_peer::AdmissionRequest;
use cyclamen_peer::message::PoolSummary;
use cyclamen_route::balancer;
use cyclamen_types::{Time, domain, group, pool};
use futures::channel::oneshot;
use rand::Rng;

use crate::node::State;
use crate::node::admission::Request;

impl State {
    /// Creates the request for admission to send to a domain's owner.
    pub(crate) fn admission_request(
        &mut self,
        request: &Request,
        domain: &domain::Name,
        may_queue: bool,
        now: Time,
    ) -> AdmissionRequest {
        AdmissionRequest {
            ticket: group::Ticket(self.rng.random()),
            domain: domain.clone(),
            pool: request.pool.clone(),
            team: request.team.clone(),
            share: request.share,
            priority: request.priority,
            remaining: request.deadline.since(now),
            suspect: request.suspect,
            may_queue,
            holder: self.me.clone(),
            traceparent: "".into(),
        }
    }

    /// Decides immediately, or queues the request and returns the receiver of the decision.
    pub(crate) fn decide(
        &mut self,
        now: Time,
        message: AdmissionRequest,
    ) -> Result<Decision, oneshot::Receiver<Decision>> {
        let lease_held = self.lease.is_held(now);
        let name = message.domain;
        let request = domains::Request {
            ticket: message.ticket,
            pool: message.pool,
            team: message.team,
            share: message.share,
            priority: message.priority,
            deadline: now + message.remaining,
            suspect: message.suspect,
            may_queue: message.may_queue,
            holder: message.holder,
        };
        let Some(domain) = self.domains.get_mut(&name).filter(|d| d.is_mine()) else {
            return Ok(Decision::Refused(domains::Refusal::NotServing));
        };
        match domain.admit(now, request, &self.pools.body, lease_held) {
            Decision::Queued(id) => {
                let (sender, receiver) = oneshot::channel();
                self.queued.insert((name, id), sender);
                Err(receiver)
            }
            decision => Ok(decision),
        }
    }

    /// Records the exact state of this entry's own domains in the balancer.
    pub(crate) fn record_own_summaries(&mut self, now: Time) {
        let Self {
            domains,
            balancer,
            outages,
            pools,
            ..
        } = self;
        balancer.remove_own();
        for (name, domain) in domains.iter_mut().filter(|(_, d)| d.is_mine()) {
            for summary in domain.summaries(now, &pools.body) {
                outages.record_serving(now, &summary.pool);
                balancer.record_summary(now, name, &summary.pool, balancer_summary(&summary), true);
            }
        }
    }

    /// Returns the exact state of one pool in a domain of this entry.
    pub(crate) fn pool_summary(
        &mut self,
        now: Time,
        name: &domain::Name,
        pool: &pool::Name,
    ) -> Option<PoolSummary> {
        let domain = self.domains.get_mut(name).filter(|d| d.is_mine())?;
        let summaries = domain.summaries(now, &self.pools.body);
        let summary = summaries.iter().find(|s| s.pool == *pool)?;
        Some(PoolSummary {
            pool: pool.clone(),
            domain: name.clone(),
            summary: balancer_summary(summary),
        })
    }
}

fn balancer_summary(summary: &domains::Summary) -> balancer::Summary {
    balancer::Summary {
        serving: summary.serving,
        free: summary.free,
        wait_ms: u64::try_from(summary.wait.as_millis()).unwrap_or(u64::MAX),
    }
}
