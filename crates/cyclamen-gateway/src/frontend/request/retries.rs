//! Retries of a request, which its service's budget allows.

use crate::frontend::request::Request;

impl Request {
    /// Returns whether the request may be sent to another worker; if so, spends a retry of the
    /// service's budget.
    pub(crate) fn try_spend_retry(&mut self) -> bool {
        let granted = self.try_reserve_retry();
        if granted {
            self.call.node.metrics.record_retry();
        }
        granted
    }

    /// Does the same, but does not count the retry, which may be returned.
    pub(crate) fn try_reserve_retry(&mut self) -> bool {
        let call = &self.call;
        if self.sent >= call.route.attempts || call.remaining().is_zero() {
            return false;
        }
        let now = call.node.now();
        let mut state = call.node.state();
        // An entry that knows no others has no part of the reserve.
        let parts = state.members.parts(now).unwrap_or(usize::MAX);
        let granted = state
            .retry_budget(call.service_name())
            .try_spend(now, parts);
        drop(state);
        if !granted {
            log::info!(
                "event=retry_denied id={} service={} parts={parts}",
                call.id,
                call.service.name
            );
        }
        granted
    }

    /// Returns a reserved retry with which the request was not sent.
    pub(crate) fn return_retry(&mut self) {
        let call = &self.call;
        let mut state = call.node.state();
        state.retry_budget(call.service_name()).put_back();
    }
}
