//! The rate limits that workers named.

use std::fmt;

use cyclamen_quota::{Change, Naming, Rate, Report};
use cyclamen_replica::Start;
use cyclamen_types::{Time, entry};

use crate::node::State;

/// The maximum number of limits in a gossip message.
const MAX_REPORTS: usize = 64;

/// Where a limit was learned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LimitSource<'a> {
    /// The response to a request of a caller.
    Response,
    /// The response to a probe.
    Probe,
    /// The response to an order.
    Order,
    /// Gossip of another entry.
    Gossip(&'a entry::Name),
}

/// Writes the name in log lines.
impl fmt::Display for LimitSource<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Response => f.write_str("response"),
            Self::Probe => f.write_str("probe"),
            Self::Order => f.write_str("order"),
            Self::Gossip(entry) => write!(f, "{entry}"),
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
        source: LimitSource<'_>,
    ) -> bool {
        let key = (&worker.instance, worker.incarnation);
        let change = self.limits.record_response(now, sent_at, key, naming);
        self.apply_change(now, worker, change, source)
    }

    /// Records the limits that another entry knows of.
    pub(crate) fn record_limit_reports(
        &mut self,
        now: Time,
        entry: &entry::Name,
        reports: impl IntoIterator<Item = Report>,
    ) {
        for report in reports {
            let change = self.limits.record_report(now, &report);
            let worker = Start {
                instance: report.instance,
                incarnation: report.incarnation,
            };
            self.apply_change(now, &worker, change, LimitSource::Gossip(entry));
        }
    }

    /// Returns the limits of which other entries are told.
    pub(crate) fn limits_to_gossip(&self, now: Time) -> Vec<Report> {
        // A generator of its own: gossip is built from a state that is shared.
        self.limits.to_gossip(now, MAX_REPORTS, &mut rand::rng())
    }

    /// Forgets the limits of workers that are no longer known.
    pub(crate) fn expire_limits(&mut self) {
        let registry = &self.registry;
        self.limits.retain(|id, incarnation| {
            let record = registry.get(id);
            record.is_some_and(|record| record.instance.incarnation == incarnation)
        });
    }

    /// Logs and applies a change of a limit; returns whether there is one.
    fn apply_change(
        &mut self,
        now: Time,
        worker: &Start,
        change: Option<Change>,
        source: LimitSource<'_>,
    ) -> bool {
        log_change(worker, change, source);
        if change.is_some() {
            self.refresh_targets(now);
        }
        change.is_some()
    }
}

/// Logs a change of a limit and where it was learned.
fn log_change(worker: &Start, change: Option<Change>, source: LimitSource<'_>) {
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
