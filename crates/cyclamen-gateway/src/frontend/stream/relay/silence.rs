//! Silent workers of a stream, and the search for others that replace them.

use std::time::Duration;

use cyclamen_types::Time;

use crate::frontend::stream::relay::Relay;
use crate::node::Loss;
use crate::settings::millis;

/// The interval between searches for a worker that replaces a silent one.
const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(250);

impl Relay {
    /// Probes the groups of silent workers, and seeks a replacement if each group that runs the
    /// request may have lost a member.
    pub(super) fn check_silence(&mut self) {
        let call = self.call().clone();
        let now = call.node.now();
        let mut losses = Vec::new();
        for attempt in &self.attempts {
            let silent = now.since(attempt.last_event_at);
            if silent < millis(call.node.settings.timing.stall_ms) {
                continue;
            }
            match attempt.loss(now, silent) {
                Some(loss) if call.is_resumable() => losses.push(loss),
                _ => attempt.probe(silent),
            }
        }
        let is_lost = losses.len() == self.attempts.len();
        if let Some(loss) = losses.first().filter(|_| is_lost) {
            self.seek_replacement(now, *loss);
        }
    }

    /// Sends the request to another worker besides the silent ones, if a retry and a worker are to
    /// be had.
    fn seek_replacement(&mut self, now: Time, loss: Loss) {
        let sought_at = self.replacement_sought_at;
        let is_recent = sought_at.is_some_and(|at| now.since(at) < REPLACEMENT_INTERVAL);
        if is_recent {
            return;
        }
        self.replacement_sought_at = Some(now);
        let result = match self.start_attempt() {
            Ok(()) => "started",
            Err(refusal) => refusal.reason,
        };
        let Some(silent) = self.attempts.first() else {
            return;
        };
        log::info!(
            "event=replacement_sought id={} {} loss={} after={:?} silent_ms={} \
             result={result}",
            self.call().id,
            silent.way,
            loss.as_str(),
            self.ids.last(),
            now.since(silent.last_event_at).as_millis()
        );
    }

    /// Logs how long each worker was silent when the deadline passed.
    pub(super) fn log_deadline(&self) {
        let call = self.call();
        let now = call.node.now();
        for attempt in &self.attempts {
            log::info!(
                "event=attempt_failed id={} {} cause=Deadline after={:?} silent_ms={}",
                call.id,
                attempt.way,
                self.ids.last(),
                now.since(attempt.last_event_at).as_millis()
            );
        }
    }
}
