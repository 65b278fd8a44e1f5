//! Crashes that requests may have caused, and answers that clear the parts of their prompts.

use cyclamen_route::containment::{Answer, Strike};
use cyclamen_types::Time;

use crate::node::State;

impl State {
    /// Records crashes of workers during requests; returns whether one is new.
    pub(crate) fn record_strikes(
        &mut self,
        now: Time,
        strikes: impl IntoIterator<Item = Strike>,
    ) -> bool {
        let is_new = self.strikes.record_all(now, strikes);
        self.log_verdicts();
        is_new
    }

    /// Records that requests with these parts in their prompts were answered.
    pub(crate) fn record_answers(&mut self, now: Time, answers: impl IntoIterator<Item = Answer>) {
        self.strikes.record_answers(now, answers);
        self.log_verdicts();
    }

    /// Logs which parts of prompts are contained or released since the last call.
    pub(super) fn log_verdicts(&mut self) {
        for verdict in self.strikes.take_verdicts() {
            log::warn!("{verdict}");
        }
    }
}
