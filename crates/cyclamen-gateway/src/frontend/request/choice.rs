//! The ways by which a request goes to a worker, and what became of it there.

use std::time::Duration;

use cyclamen_dispatch::{Dispatch, Reason};
use cyclamen_types::Time;

use crate::frontend::refusal::Refusal;
use crate::frontend::request::Request;
use crate::frontend::way::{Handover, Way};
use crate::tasks;

/// Number of failed connections to workers at which a request is refused.
const MAX_FAILED_CONNECTS: u32 = 3;
/// The time after which a request whose connections failed is rather handed over than sent to
/// another worker.
const SLOW_CONNECT: Duration = Duration::from_millis(100);
/// Number of entries to which a request is handed over at most.
const MAX_HANDOVERS: usize = 3;
/// The retry delay sent to callers when no worker could be reached.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(300);

impl Request {
    /// Chooses a worker, or an entry that reaches one if this entry does not, and counts the request
    /// as in progress there.
    pub(crate) fn choose(&mut self) -> Result<Way, Refusal> {
        self.call.check_containment()?;
        self.check_drain()?;
        self.begin_canary()?;
        let way = self.choose_way()?;
        self.sent += 1;
        match &way {
            Way::Worker(dispatch) => self.tried.push(dispatch.target.instance.clone()),
            Way::Entry(handover) => self.tried_entries.push(handover.receiver.entry.clone()),
        }
        Ok(way)
    }

    fn choose_way(&mut self) -> Result<Way, Refusal> {
        let call = self.call.clone();
        let now = call.node.now();
        let is_slow = self.failed_connects > 0 && call.waited(now) >= SLOW_CONNECT;
        let is_cut_off = call.node.state().is_cut_off(now, call.service_name());
        if is_cut_off || is_slow {
            let reason = if is_cut_off {
                "cut_off"
            } else {
                "slow_connect"
            };
            if let Some(handover) = self.hand_over(now, reason) {
                return Ok(Way::Entry(handover));
            }
        }
        if self.failed_connects >= MAX_FAILED_CONNECTS {
            let handover = self.hand_over(now, "not_connected").map(Way::Entry);
            return handover.ok_or(Refusal::retry_later("not_connected", CONNECT_RETRY_DELAY));
        }
        match self.choose_worker() {
            Ok(dispatch) => Ok(Way::Worker(dispatch)),
            Err(refusal) if refusal.reason == Reason::NoWorker.as_str() => {
                let handover = self.hand_over(now, refusal.reason).map(Way::Entry);
                handover.ok_or(refusal)
            }
            Err(refusal) => Err(refusal),
        }
    }

    fn choose_worker(&self) -> Result<Dispatch, Refusal> {
        let exclude = [&self.tried[..], &self.avoided].concat();
        match self.call.choose_worker(&exclude) {
            Err(refusal)
                if refusal.reason == Reason::NoWorker.as_str() && !self.avoided.is_empty() =>
            {
                self.call.choose_worker(&self.tried)
            }
            result => result,
        }
    }

    /// Chooses an entry that reaches workers for the request, unless it was handed over itself.
    fn hand_over(&self, now: Time, reason: &'static str) -> Option<Handover> {
        let call = &self.call;
        if call.sender.is_some() || self.tried_entries.len() >= MAX_HANDOVERS {
            return None;
        }
        let mut state = call.node.state();
        let wanted = call.capability();
        let Some(receiver) = state.choose_receiver(now, &wanted, &self.tried_entries) else {
            let receivers = state.receivers(now, &wanted, &self.tried_entries);
            drop(state);
            log::info!(
                "event=not_handed_over id={} reason={reason} {receivers}",
                call.id
            );
            return None;
        };
        drop(state);
        log::info!(
            "event=handed_over id={} peer={} reason={reason} waited_ms={} failed_connects={}",
            call.id,
            receiver.entry,
            call.waited(now).as_millis(),
            self.failed_connects
        );
        Some(Handover {
            receiver,
            chosen_at: now,
            tried: self.tried.as_slice().into(),
            shed: self.shed.as_slice().into(),
        })
    }

    /// Records that the request did not get to a worker by a way that was chosen.
    pub(crate) fn record_unsent(&mut self, way: &Way) {
        self.sent = self.sent.saturating_sub(1);
        if let Way::Worker(dispatch) = way {
            self.failed_connects += 1;
            tasks::probe_group(&self.call.node, &dispatch.target);
        }
    }

    /// Records that the worker that was chosen, by this entry or another one, did not run the request.
    pub(crate) fn record_shed(&mut self, way: &Way) {
        self.not_run += 1;
        if let Way::Worker(dispatch) = way {
            self.shed.push(dispatch.target.instance.clone());
        }
    }

    /// Records that no permit for the chosen worker was to be had; it may be chosen again later.
    pub(crate) fn record_held(&mut self, way: &Way) {
        self.sent = self.sent.saturating_sub(1);
        if let Way::Worker(dispatch) = way {
            self.tried.retain(|id| *id != dispatch.target.instance);
        }
    }
}
