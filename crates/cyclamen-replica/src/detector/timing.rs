//! Timeouts and intervals of a failure detector.

use std::time::Duration;

/// Timeouts and intervals of a failure detector.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// How long a successful probe overrides suspicions reported by other entries.
    pub alive_ttl: Duration,
    /// How long a worker that responded counts as reached until a probe fails: a successful probe
    /// is reported to other entries, and a suspicion that these report does not take work from the
    /// worker while it is probed. Longer than `alive_ttl`, after which it is probed again.
    pub contact_ttl: Duration,
    /// How long another entry's report that it reaches a worker is valid; longer than that entry
    /// takes to probe the worker again and to report the response.
    pub reached_ttl: Duration,
    /// How long a worker has to be suspected before it counts as failed if no
    /// other entry suspects it.
    pub single_observer_timeout: Duration,
    /// How long a suspicion lasts after the last failed probe or report that confirmed it.
    pub suspicion_ttl: Duration,
    /// The interval between probes of a newly suspected worker.
    pub fast_probe_interval: Duration,
    /// How long a suspicion counts as new.
    pub fast_probe_window: Duration,
    /// The interval between probes of a worker whose suspicion is no longer new.
    pub slow_probe_interval: Duration,
    /// How long after a failed probe the suspicion is reported to other entries;
    /// longer than `slow_probe_interval`.
    pub report_window: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            alive_ttl: Duration::from_secs(1),
            contact_ttl: Duration::from_secs(2),
            reached_ttl: Duration::from_millis(500),
            single_observer_timeout: Duration::from_millis(600),
            suspicion_ttl: Duration::from_secs(3),
            fast_probe_interval: Duration::from_millis(250),
            fast_probe_window: Duration::from_secs(1),
            slow_probe_interval: Duration::from_secs(1),
            report_window: Duration::from_millis(1_600),
        }
    }
}
