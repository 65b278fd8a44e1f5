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
    /// The name of this instance.
    pub name: entry::Name,
    /// Its availability zone.
    pub zone: zone::Name,
    /// Where callers connect.
    pub caller_listen: SocketAddr,
    /// Where operators and probes connect.
    pub operator_listen: SocketAddr,
    /// Where other entries connect.
    pub peer_listen: SocketAddr,
    /// The addresses from which other entries connect.
    pub peer_allowed: Vec<IpAddr>,
    /// The secret that entries share.
    pub peer_secret: Secret,
    /// The token of operators.
    pub operator_token: Secret,
    /// The platform's table service and instance list.
    pub platform: SocketAddr,
    /// Where traces go, as the URL of an OTLP collector that takes JSON over HTTP.
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
    /// How long a renewal of the lease lasts.
    pub lease_ms: u64,
    /// The time between two renewals.
    pub renew_every_ms: u64,
    /// The time between two reads of the shared rows.
    pub sync_every_ms: u64,
    /// The time between two reads of the instance list.
    pub list_every_ms: u64,
    /// The time between two exchanges of news.
    pub gossip_every_ms: u64,
    /// The time between two reports of a worker.
    pub probe_every_ms: u64,
    /// A worker that has not answered for this long is missing.
    pub silence_ms: u64,
    /// The time between two plans of a fabric domain.
    pub plan_every_ms: u64,
    /// The time that a worker takes to load its part of a model.
    pub load_ms: u64,
    /// The time between failing the readiness check and refusing connections.
    pub drain_notice_ms: u64,
    /// The time that requests in progress have to end at shutdown.
    pub drain_limit_ms: u64,
    /// The time for one call to the platform.
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

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// The largest request body, in bytes.
    pub body_bytes: u64,
    /// The largest request head, in bytes.
    pub head_bytes: usize,
    /// The time to read a request body, in milliseconds.
    pub body_ms: u64,
    /// Connections of callers at a time.
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
    /// Every fault that the types do not rule out.
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
            ("bounds.body_bytes", "is zero", self.bounds.body_bytes == 0),
        ];
        cyclamen_settings::faults(rules)
    }
}

pub(crate) fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}
