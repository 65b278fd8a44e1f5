//! The settings of an entry instance, in JSON.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

pub use cyclamen_settings::{Fault, Secret};
use cyclamen_types::{entry, zone};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The settings of an entry instance.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of this entry instance.
    pub name: entry::Name,
    /// The availability zone of this instance.
    pub zone: zone::Name,
    /// The address of the listener for callers.
    pub caller_listen: SocketAddr,
    /// The address of the listener for operators and probes.
    pub operator_listen: SocketAddr,
    /// The address of the listener for other entries.
    pub peer_listen: SocketAddr,
    /// The addresses from which other entries may connect.
    pub peer_allowed: Vec<IpAddr>,
    /// The secret shared by all entries.
    pub peer_secret: Secret,
    /// The bearer token of operators.
    pub operator_token: Secret,
    /// The address of the platform's table service and instance list.
    pub platform: SocketAddr,
    /// The URL of the OTLP collector that traces are exported to, as JSON over HTTP.
    #[serde(default)]
    pub traces: Option<Arc<str>>,
    /// Durations.
    #[serde(default)]
    pub timing: Timing,
    /// Bounds on what callers may send.
    #[serde(default)]
    pub bounds: Bounds,
}

/// Durations of an entry instance, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// How long the lease is valid after a renewal.
    pub lease_ms: u64,
    /// The interval between renewals of the lease.
    pub renew_every_ms: u64,
    /// The interval between reads of the shared rows.
    pub sync_every_ms: u64,
    /// The interval between reads of the instance list.
    pub list_every_ms: u64,
    /// The interval between gossip exchanges.
    pub gossip_every_ms: u64,
    /// The interval between probes of a worker.
    pub probe_every_ms: u64,
    /// The time after which a worker is missing, counted from the sending of the last probe
    /// that it answered.
    pub silence_ms: u64,
    /// The interval between plans of a fabric domain.
    pub plan_every_ms: u64,
    /// The time that a worker takes to load its part of a model.
    pub load_ms: u64,
    /// How long a draining instance accepts connections, from the shutdown signal on; its readiness
    /// check fails from the start.
    pub drain_notice_ms: u64,
    /// The time from the shutdown signal until remaining requests are aborted.
    pub drain_limit_ms: u64,
    /// The timeout of one call to the platform.
    pub platform_timeout_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease_ms: 4_000,
            renew_every_ms: 1_000,
            sync_every_ms: 500,
            list_every_ms: 2_000,
            gossip_every_ms: 1_000,
            probe_every_ms: 500,
            silence_ms: 1_500,
            plan_every_ms: 500,
            load_ms: 60_000,
            drain_notice_ms: 5_000,
            drain_limit_ms: 600_000,
            platform_timeout_ms: 1_500,
        }
    }
}

impl Timing {
    /// Returns the times of the steps of a shutdown.
    pub(crate) fn drain(&self) -> cyclamen_drain::Options {
        cyclamen_drain::Options {
            notice: millis(self.drain_notice_ms),
            limit: millis(self.drain_limit_ms),
        }
    }
}

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// The maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// The maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// The timeout for reading a request body, in milliseconds.
    pub body_ms: u64,
    /// The maximum number of concurrent connections of callers.
    pub connections: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            head_bytes: 16 << 10,
            body_ms: 10_000,
            connections: 10_000,
        }
    }
}

impl Settings {
    /// Returns every invalid setting that the types do not rule out.
    pub fn faults(&self) -> Vec<Fault> {
        let rules = [
            (
                "operator_listen",
                "is the address of caller_listen",
                self.operator_listen == self.caller_listen,
            ),
            (
                "peer_listen",
                "is the address of another listener",
                self.peer_listen == self.caller_listen || self.peer_listen == self.operator_listen,
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
                "operator_token",
                "has fewer than 16 bytes",
                self.operator_token.is_short(),
            ),
            (
                "timing.lease_ms",
                "is less than twice timing.renew_every_ms",
                self.timing.lease_ms < 2 * self.timing.renew_every_ms,
            ),
            (
                "timing.silence_ms",
                "is less than twice timing.probe_every_ms",
                self.timing.silence_ms < 2 * self.timing.probe_every_ms,
            ),
            (
                "timing.drain_limit_ms",
                "is less than timing.drain_notice_ms",
                self.timing.drain_limit_ms < self.timing.drain_notice_ms,
            ),
            ("bounds.body_bytes", "is zero", self.bounds.body_bytes == 0),
        ];
        cyclamen_settings::faults(rules)
    }
}

pub(crate) fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
