//! Admission of requests: queueing, granting and releasing of tickets.

use std::time::Duration;

use cyclamen_tables::Pools;
use cyclamen_types::{Time, group, pool};

use super::{Domain, limits_of, saturating_u32};
use crate::admission::{Decision, Ending, Grant, Refusal, Request};
use crate::load::{IssuedTicket, Load};
use crate::queue::QueueId;

/// The inverse weight of a new sample in the exponential moving average of the service time.
const SERVICE_TIME_WINDOW: u32 = 16;

impl Domain {
    /// Decides on a request for admission; `lease_held` is whether the owner's lease is valid.
    ///
    /// Without a valid lease only groups at their full warm limit get requests.
    pub fn admit(
        &mut self,
        now: Time,
        request: Request,
        pools: &Pools,
        lease_held: bool,
    ) -> Decision {
        self.refresh(now, pools);
        if !self.serves(&request.pool) {
            return Decision::Refused(Refusal::NotServing);
        }
        let ahead = self.queue.count_ahead(&request);
        if ahead == 0
            && let Some(grant) = self.try_grant(now, &request, pools, lease_held)
        {
            return Decision::Granted(grant);
        }
        let wait = self.expected_wait(now, &request.pool, ahead, pools);
        if now + wait > request.deadline {
            return Decision::Refused(Refusal::Late(wait));
        }
        if !request.may_queue || self.queue.len() >= self.max_queue_len(&request.pool, pools) {
            return Decision::Refused(Refusal::Busy(wait));
        }
        Decision::Queued(self.queue.push(request))
    }

    /// Removes the queued requests that can be granted or must be refused, and returns the
    /// decisions.
    pub fn poll_queue(
        &mut self,
        now: Time,
        pools: &Pools,
        lease_held: bool,
    ) -> Vec<(QueueId, Decision)> {
        self.refresh(now, pools);
        let mut queue = std::mem::take(&mut self.queue);
        let decisions = queue.drain(|request| {
            if now >= request.deadline {
                return Some(Decision::Refused(Refusal::Late(self.service_time)));
            }
            if !self.serves(&request.pool) {
                return Some(Decision::Refused(Refusal::NotServing));
            }
            self.try_grant(now, request, pools, lease_held)
                .map(Decision::Granted)
        });
        self.queue = queue;
        decisions
    }

    /// Releases a ticket, whether it was issued or its request is still queued.
    pub fn release(&mut self, now: Time, ticket: group::Ticket, ending: Ending, pools: &Pools) {
        self.queue.retain(|request| request.ticket != ticket);
        for (id, load) in &mut self.loads {
            let Some(issued) = load.tickets.remove(&ticket) else {
                continue;
            };
            let Some(group) = self.row.group(id) else {
                return;
            };
            match ending {
                Ending::Complete(first_byte) => {
                    if first_byte > limits_of(pools, &group.pool).slow_start() {
                        load.start_cold(now);
                    }
                    let sample = now.since(issued.at);
                    self.service_time = smoothed(self.service_time, sample);
                }
                Ending::Failed => self.monitor.invalidate_reports(now, group),
                Ending::Unused => {}
            }
            return;
        }
    }

    /// Issues a ticket for the fitting group with the most free slots, if there is one.
    fn try_grant(
        &mut self,
        now: Time,
        request: &Request,
        pools: &Pools,
        lease_held: bool,
    ) -> Option<Grant> {
        let limits = limits_of(pools, &request.pool);
        let fits = |load: &Load| {
            let is_warm = load.limit(now, &limits) >= limits.warm;
            let suspect_fits = !request.suspect || !load.has_suspect();
            load.free(now, &limits) > 0 && (lease_held || is_warm) && suspect_fits
        };
        let loads = self
            .groups_of(&request.pool)
            .filter_map(|g| Some((g, self.loads.get(&g.id)?)));
        let fitting = loads.filter(|(_, load)| fits(load));
        let (group, _) = fitting.max_by_key(|(_, load)| load.free(now, &limits))?;
        let first = group.members.first()?;
        let grant = Grant {
            ticket: request.ticket,
            group: group.id.clone(),
            fence: group.fence,
            instance: first.instance.clone(),
            address: self.monitor.listing(&first.instance)?.address,
            start_within: self.options.start_within,
        };
        let issued = IssuedTicket {
            at: now,
            holder: request.holder.clone(),
            suspect: request.suspect,
        };
        self.loads
            .get_mut(&grant.group)?
            .tickets
            .insert(grant.ticket, issued);
        Some(grant)
    }

    pub(super) fn expected_wait(
        &self,
        now: Time,
        pool: &pool::Name,
        ahead: usize,
        pools: &Pools,
    ) -> Duration {
        if ahead == 0 && self.free_in_pool(now, pool, pools) > 0 {
            return Duration::ZERO;
        }
        let limits = limits_of(pools, pool);
        let loads = self.groups_of(pool).filter_map(|g| self.loads.get(&g.id));
        let limits = loads.map(|load| load.limit(now, &limits));
        let capacity = limits.fold(0_u32, u32::saturating_add);
        self.service_time
            .saturating_mul(saturating_u32(ahead.saturating_add(1)))
            / capacity.max(1)
    }

    fn max_queue_len(&self, pool: &pool::Name, pools: &Pools) -> usize {
        let groups = saturating_u32(self.groups_of(pool).count());
        let running = limits_of(pools, pool).warm.saturating_mul(groups);
        let max_len = running.saturating_mul(self.options.queue_factor);
        usize::try_from(max_len).unwrap_or(usize::MAX)
    }
}

/// Returns the limits of a pool, or the defaults if the pool no longer exists and so gets no
/// requests.
fn smoothed(mean: Duration, sample: Duration) -> Duration {
    (mean * (SERVICE_TIME_WINDOW - 1) + sample) / SERVICE_TIME_WINDOW
}
