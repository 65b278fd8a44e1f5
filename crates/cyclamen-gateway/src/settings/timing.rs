//! Timeouts and intervals of a gateway.

use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::platform::{Table, poll};

/// The time that a process needs after the drain limit to tell callers of it and to end.
const END_MARGIN: Duration = Duration::from_millis(500);

/// Timeouts and intervals of a gateway, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// How long a renewal of the lease is valid.
    pub lease_ms: u64,
    /// The interval between renewals of the lease while this instance owns fabric domains or takes
    /// them over.
    pub renew_every_ms: u64,
    /// How long the store may hold a request for changes open at most.
    pub follow_wait_ms: u64,
    /// The timeout of a call to the store that is not held open.
    pub store_timeout_ms: u64,
    /// The time within which this instance has to know a change of the operators' tables while
    /// the store can be reached. It bounds the requests for changes; a time too short for their
    /// timeouts is logged at start and not kept.
    pub operators_freshness_ms: u64,
    /// The same for a change of the list of workers.
    pub instances_freshness_ms: u64,
    /// The interval between gossip rounds with entries outside this instance's cell.
    ///
    /// A cell consists of entries and fabric domains of one availability zone; its entries prefer
    /// its domains. In a small fleet the cell is the whole zone.
    pub news_every_ms: u64,
    /// The interval between gossip rounds with entries of this instance's cell.
    pub near_news_every_ms: u64,
    /// How long after its last gossip another entry counts as alive.
    pub peer_silence_ms: u64,
    /// The longest interval between plans for the fabric domains that this entry owns.
    pub plan_every_ms: u64,
    /// How long a stream may receive nothing from its worker before the members of the worker's
    /// group are probed. Before the first event, they are probed only if it is also later than
    /// forecast.
    pub stall_ms: u64,
    /// The timeout of a probe of a worker.
    pub report_timeout_ms: u64,
    /// How long a draining instance accepts connections, from the shutdown signal on; its readiness
    /// check fails from the start.
    pub drain_notice_ms: u64,
    /// The time from the shutdown signal until remaining requests are aborted.
    pub drain_limit_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease_ms: 3_000,
            renew_every_ms: 1_000,
            follow_wait_ms: 4_000,
            store_timeout_ms: 700,
            operators_freshness_ms: 2_000,
            instances_freshness_ms: 2_000,
            news_every_ms: 250,
            near_news_every_ms: 60,
            peer_silence_ms: 1_200,
            plan_every_ms: 100,
            stall_ms: 220,
            report_timeout_ms: 120,
            drain_notice_ms: 2_500,
            drain_limit_ms: 7_500,
        }
    }
}

impl Timing {
    /// Returns these times with a drain that ends before the process is killed, a time after the
    /// shutdown signal.
    pub fn within_grace(self, grace: Duration) -> Self {
        let limit = grace.saturating_sub(END_MARGIN).as_millis();
        let drain_limit_ms = u64::try_from(limit).unwrap_or(u64::MAX);
        Self {
            drain_limit_ms,
            drain_notice_ms: self.drain_notice_ms.min(drain_limit_ms),
            ..self
        }
    }

    /// Returns the times of the steps of a shutdown.
    pub(crate) fn drain(&self) -> cyclamen_drain::Options {
        cyclamen_drain::Options {
            notice: millis(self.drain_notice_ms),
            limit: millis(self.drain_limit_ms),
        }
    }

    /// Returns the options for polls of a table.
    pub(crate) fn polls(&self, table: Table) -> poll::Options {
        let freshness = match table {
            Table::Instances => self.instances_freshness_ms,
            Table::Operators
            | Table::Entries
            | Table::Domains
            | Table::Parts
            | Table::Combinations => self.operators_freshness_ms,
        };
        poll::Options {
            freshness: millis(freshness),
            max_hold: millis(self.follow_wait_ms),
            timeout: millis(self.store_timeout_ms),
        }
    }
}

pub(crate) fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
