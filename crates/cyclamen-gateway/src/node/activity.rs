//! What this entry does besides serving requests, counted for the log.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Why a worker is probed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ProbeCause {
    /// A request that it runs was silent, or failed.
    Request,
    /// Another entry suspects it.
    Report,
    /// It is suspected, and may be back.
    Suspected,
    /// It left the list, but is a member of a group of an owned domain.
    Departed,
    /// The path to its service is in doubt.
    Path,
    /// The path to its service is back.
    PathBack,
    /// It did not answer an order.
    Order,
    /// A request may have crashed it.
    Crash,
    /// It named a rate limit a while ago.
    Limit,
}

impl ProbeCause {
    /// Returns the name in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Report => "report",
            Self::Suspected => "suspected",
            Self::Departed => "departed",
            Self::Path => "path",
            Self::PathBack => "path_back",
            Self::Order => "order",
            Self::Crash => "crash",
            Self::Limit => "limit",
        }
    }
}

/// The probes of one cause.
#[derive(Debug, Clone, Copy, Default)]
struct Probes {
    sent: u64,
    failed: u64,
}

/// What this entry did since the last report, besides serving requests.
#[derive(Debug, Clone, Default)]
pub(crate) struct Activity {
    probes: BTreeMap<ProbeCause, Probes>,
    gossip_bytes: u64,
    /// The longest time between the moment at which a timer was due and the one at which it ran.
    timer_delay: Duration,
}

impl Activity {
    /// Records a probe and whether the worker responded.
    pub(crate) fn record_probe(&mut self, cause: ProbeCause, responds: bool) {
        let probes = self.probes.entry(cause).or_default();
        probes.sent += 1;
        probes.failed += u64::from(!responds);
    }

    /// Records bytes that were exchanged with other entries.
    pub(crate) fn record_gossip(&mut self, bytes: u64) {
        self.gossip_bytes += bytes;
    }

    /// Records how much later than it was due a timer ran.
    pub(crate) fn record_timer_delay(&mut self, delay: Duration) {
        self.timer_delay = self.timer_delay.max(delay);
    }
}

/// Writes the keys and values of log lines.
impl fmt::Display for Activity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            probes,
            gossip_bytes,
            timer_delay,
        } = self;
        let delay = timer_delay.as_millis();
        write!(f, "gossip_bytes={gossip_bytes} timer_delay_ms={delay}")?;
        for (cause, Probes { sent, failed }) in probes {
            let cause = cause.as_str();
            write!(f, " probes_{cause}={sent} failed_{cause}={failed}")?;
        }
        Ok(())
    }
}
