//! Orders that were sent, and when they are sent again.

use cyclamen_types::Time;

use crate::order::{Command, Order};
use crate::planner::Planner;

/// The maximum number of times that a resend interval is doubled.
const MAX_RESEND_DOUBLINGS: u32 = 8;

/// An order that was sent to a worker.
#[derive(Debug)]
pub(super) struct Sent {
    pub(super) order: Order,
    at: Time,
    /// How often it was sent again.
    repetitions: u32,
    /// Whether the worker has accepted it.
    pub(super) accepted: bool,
}

impl Planner {
    /// Returns whether the order differs from the worker's last one or its resend interval has
    /// passed.
    pub(super) fn is_due(&self, now: Time, command: &Command) -> bool {
        let last = self.sent.get(&command.instance);
        let Some(last) = last.filter(|last| last.order == command.order) else {
            return true;
        };
        let factor = 1 << last.repetitions.min(MAX_RESEND_DOUBLINGS);
        let interval = self.options.resend_interval * factor;
        let interval = interval.min(self.options.max_resend_interval);
        let interval = if last.accepted {
            interval.max(self.options.accepted_resend_interval)
        } else {
            interval
        };
        now.since(last.at) >= interval
    }

    /// Records that an order is sent now.
    pub(super) fn record_sent(&mut self, now: Time, command: &Command) {
        let last = self.sent.get(&command.instance);
        let same = last.filter(|last| last.order == command.order);
        let sent = Sent {
            order: command.order.clone(),
            at: now,
            repetitions: same.map_or(0, |last| last.repetitions.saturating_add(1)),
            accepted: false,
        };
        self.sent.insert(command.instance.clone(), sent);
    }
}
