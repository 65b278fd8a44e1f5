//! The settings of a gateway, in JSON.

use std::net::SocketAddr;
use std::time::Duration;

pub use cyclamen_settings::{Fault, Secret};
use cyclamen_types::{entry, zone};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The settings of a gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of this instance.
    pub name: entry::Name,
    /// Its availability zone.
    pub zone: zone::Name,
    /// Where callers connect.
    pub caller_listen: SocketAddr,
    /// Where the balancer asks whether this instance is ready.
    pub ready_listen: SocketAddr,
    /// Where other entries connect.
    pub peer_listen: SocketAddr,
    /// Where metrics are read.
    pub metrics_listen: SocketAddr,
    /// The secret that entries share.
    pub peer_secret: Secret,
    /// The platform's store.
    pub store: SocketAddr,
    /// Durations.
    #[serde(default)]
    pub timing: Timing,
    /// The retries that a service may get.
    #[serde(default)]
    pub retries: Retries,
}

/// Durations of a gateway, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// How long a renewal of the lease lasts.
    pub lease_ms: u64,
    /// The time between two renewals.
    pub renew_every_ms: u64,
    /// How long the store may hold a question for changes.
    pub follow_wait_ms: u64,
    /// The time for one call to the store, beside what it may hold it.
    pub store_timeout_ms: u64,
    /// The time between two exchanges of news with each entry of another availability zone.
    pub news_every_ms: u64,
    /// The time between two exchanges of news with each entry of the own availability zone.
    pub near_news_every_ms: u64,
    /// Another entry that was not heard of for this long is taken as gone.
    pub peer_silence_ms: u64,
    /// The time between two looks at the groups of own domains.
    pub plan_every_ms: u64,
    /// A pause of all streams of a group after which its members are asked.
    pub stall_ms: u64,
    /// The time for a worker's report.
    pub report_timeout_ms: u64,
    /// The time between failing the readiness check and refusing connections.
    pub drain_notice_ms: u64,
    /// The time from the signal to the end.
    pub drain_limit_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease_ms: 3_000,
            renew_every_ms: 1_000,
            follow_wait_ms: 4_000,
            store_timeout_ms: 700,
            news_every_ms: 250,
            near_news_every_ms: 60,
            peer_silence_ms: 1_200,
            plan_every_ms: 100,
            stall_ms: 220,
            report_timeout_ms: 120,
            drain_notice_ms: 3_000,
            drain_limit_ms: 7_500,
        }
    }
}

/// The retries that a service may get, from all entries together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Retries {
    /// Retries for each request of the window.
    pub ratio: f64,
    /// Retries beside these in a window.
    pub reserve: f64,
    /// The window, in milliseconds.
    pub window_ms: u64,
}

impl Default for Retries {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            reserve: 100.0,
            window_ms: 10_000,
        }
    }
}

impl Settings {
    /// Every fault that the types do not rule out.
    pub fn faults(&self) -> Vec<Fault> {
        let Self {
            timing, retries, ..
        } = self;
        let rules = [
            (
                "ready_listen",
                "is the address of caller_listen",
                self.ready_listen == self.caller_listen,
            ),
            (
                "peer_listen",
                "is the address of another listener",
                [self.caller_listen, self.ready_listen, self.metrics_listen]
                    .contains(&self.peer_listen),
            ),
            (
                "peer_listen",
                "is not an address that other entries can use",
                self.peer_listen.ip().is_unspecified(),
            ),
            (
                "peer_secret",
                "has fewer than 16 bytes",
                self.peer_secret.is_short(),
            ),
            (
                "timing.lease_ms",
                "is less than twice timing.renew_every_ms",
                timing.lease_ms < 2 * timing.renew_every_ms,
            ),
            (
                "timing.peer_silence_ms",
                "is less than twice timing.news_every_ms",
                timing.peer_silence_ms < 2 * timing.news_every_ms,
            ),
            ("timing.news_every_ms", "is zero", timing.news_every_ms == 0),
            (
                "timing.near_news_every_ms",
                "is zero",
                timing.near_news_every_ms == 0,
            ),
            ("timing.plan_every_ms", "is zero", timing.plan_every_ms == 0),
            (
                "timing.drain_limit_ms",
                "is less than timing.drain_notice_ms",
                timing.drain_limit_ms < timing.drain_notice_ms,
            ),
            (
                "retries.ratio",
                "is not between 0 and 1",
                !(0.0..=1.0).contains(&retries.ratio),
            ),
            ("retries.window_ms", "is zero", retries.window_ms == 0),
        ];
        cyclamen_settings::faults(rules)
    }
}

pub(crate) fn span(millis: u64) -> Duration {
    Duration::from_millis(millis)
}
