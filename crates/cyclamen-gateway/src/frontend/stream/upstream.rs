//! The response stream of the worker that currently runs a request.

use std::time::Duration;

use cyclamen_dispatch::Dispatch;
use cyclamen_http::StreamingResponse;
use cyclamen_relay::EventBuffer;
use cyclamen_types::Time;

/// The delay of a first event beyond its forecast that is tolerated before the group is
/// probed.
const FORECAST_SLACK: Duration = Duration::from_millis(100);

/// How long after its first bytes a response counts as beginning.
const BEGINNING_DURATION: Duration = Duration::from_millis(500);

/// The response stream of the worker that currently runs the request.
pub(super) struct Upstream {
    pub(super) dispatch: Dispatch,
    pub(super) response: StreamingResponse,
    pub(super) events: EventBuffer,
    /// When a complete event was last received; at first, when the response head was received.
    pub(super) last_event_at: Time,
    /// When the first bytes of the body were received.
    pub(super) started_at: Option<Time>,
}

impl Upstream {
    pub(super) fn has_started(&self) -> bool {
        self.started_at.is_some()
    }

    /// Returns whether the worker has only begun to answer, so that a crash may be due to the
    /// request.
    pub(super) fn is_beginning(&self, now: Time) -> bool {
        self.started_at
            .is_none_or(|at| now.since(at) < BEGINNING_DURATION)
    }
}

/// Returns the delay of a first event after which the group of its worker is probed.
pub(super) fn first_event_probe_delay(dispatch: &Dispatch) -> Duration {
    dispatch.forecast + FORECAST_SLACK
}
