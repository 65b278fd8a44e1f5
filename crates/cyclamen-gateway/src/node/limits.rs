//! The rate limits that workers named.

use std::fmt;

use cyclamen_quota::{Change, Naming, Rate};
use cyclamen_replica::Start;
use cyclamen_types::Time;

use crate::node::State;

/// Where a limit was learned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LimitSource {
    /// The response to a request of a caller.
    Response,
    /// The response to a probe.
    Probe,
    /// The response to an order.
    Order,
}

/// Writes the name in log lines.
impl fmt::Display for LimitSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Response => f.write_str("response"),
            Self::Probe => f.write_str("probe"),
            Self::Order => f.write_str("order"),
        }
    }
}

impl State {
    /// Records what a worker says of its limit in the response to a request that was sent at
    /// `sent_at`; returns whether the limit has changed.
    pub(crate) fn record_limit(
        &mut self,
        now: Time,
        sent_at: Time,
        worker: &Start,
        naming: Naming,
        source: LimitSource,
    ) -> bool {
        let key = (&worker.instance, worker.incarnation);
        let change = self.limits.record_response(now, sent_at, key, naming);
        log_change(worker, change, source);
        change.is_some()
    }
}

/// Logs a change of a limit and where it was learned.
fn log_change(worker: &Start, change: Option<Change>, source: LimitSource) {
    let (event, from, to) = match change {
        None => return,
        Some(Change::Named(rate)) => ("limit_named", None, Some(rate)),
        Some(Change::Changed { from, to }) => ("limit_changed", Some(from), Some(to)),
        Some(Change::Lifted(rate)) => ("limit_lifted", Some(rate), None),
    };
    let text =
        |rate: Option<Rate>| rate.map_or_else(|| "none".to_string(), |rate| rate.to_string());
    log::info!(
        "event={event} instance={} incarnation={} limit={} former={} source={source}",
        worker.instance,
        worker.incarnation,
        text(to),
        text(from)
    );
}
