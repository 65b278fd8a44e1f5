//! Decisions about admission to the domains of this entry.

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
    /// The message that asks a domain's owner for admission.
    pub(crate) fn ask_of(
        &mut self,
        request: &Request,
        domain: &domain::Name,
        patient: bool,
        now: Time,
    ) -> AdmissionRequest {
        AdmissionRequest {
            ticket: group::Ticket(self.rng.random()),
            domain: domain.clone(),
            pool: request.pool.clone(),
            team: request.team.clone(),
            share: request.share,
            priority: request.priority,
            time_left: request.deadline.since(now),
            suspect: request.suspect,
            may_queue: patient,
            holder: self.me.clone(),
            traceparent: "".into(),
        }
    }

    /// Decides at once, or gives what to wait for.
    pub(crate) fn decide(
        &mut self,
        now: Time,
        ask: AdmissionRequest,
    ) -> Result<Decision, oneshot::Receiver<Decision>> {
        let holds = self.lease.is_held(now);
        let name = ask.domain;
        let ask = domains::Request {
            ticket: ask.ticket,
            pool: ask.pool,
            team: ask.team,
            share: ask.share,
            priority: ask.priority,
            deadline: now + ask.time_left,
            suspect: ask.suspect,
            may_queue: ask.may_queue,
            holder: ask.holder,
        };
        let Some(domain) = self.domains.get_mut(&name).filter(|d| d.is_mine()) else {
            return Ok(Decision::Refused(domains::Refusal::NotServing));
        };
        match domain.admit(now, ask, &self.pools.body, holds) {
            Decision::Queued(waiting) => {
                let (sender, receiver) = oneshot::channel();
                self.waiters.insert((name, waiting), sender);
                Err(receiver)
            }
            answer => Ok(answer),
        }
    }

    /// Puts the exact state of this entry's own domains on the board.
    pub(crate) fn note_own_domains(&mut self, now: Time) {
        let Self {
            domains,
            board,
            gaps,
            pools,
            ..
        } = self;
        board.remove_own();
        for (name, domain) in domains.iter_mut().filter(|(_, d)| d.is_mine()) {
            for summary in domain.summaries(now, &pools.body) {
                gaps.record_serving(now, &summary.pool);
                board.record_summary(now, name, &summary.pool, board_summary(&summary), true);
            }
        }
    }

    /// The exact state of one pool in a domain of this entry.
    pub(crate) fn notice_of(
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
            summary: board_summary(summary),
        })
    }
}

fn board_summary(summary: &domains::Summary) -> balancer::Summary {
    balancer::Summary {
        serving: summary.serving,
        free: summary.free,
        wait_ms: u64::try_from(summary.wait.as_millis()).unwrap_or(u64::MAX),
    }
}
