//! The settings of a gateway, in JSON.

mod timing;

use std::net::SocketAddr;

use cyclamen_relay::intake;
pub use cyclamen_settings::{Fault, Secret};
use cyclamen_types::{entry, zone};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

pub use timing::Timing;
pub(crate) use timing::millis;

/// The settings of a gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of this instance.
    pub name: entry::Name,
    /// Its availability zone.
    pub zone: zone::Name,
    /// The address on which callers connect.
    pub caller_listen: SocketAddr,
    /// The address on which the load balancer checks readiness.
    pub ready_listen: SocketAddr,
    /// The address on which other entries connect.
    pub peer_listen: SocketAddr,
    /// The address on which metrics are exported.
    pub metrics_listen: SocketAddr,
    /// The address on which this instance takes requests that other entries hand over, because
    /// they do not reach the workers; without it, it takes none.
    #[serde(default)]
    pub handover_listen: Option<SocketAddr>,
    /// The secret that entries share.
    pub peer_secret: Secret,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// Timeouts and intervals.
    #[serde(default)]
    pub timing: Timing,
    /// The retry budget of each service.
    #[serde(default)]
    pub retries: Retries,
    /// The parts of the gateway that are off unless they are asked for.
    ///
    /// Settings that are written leave it out if all are off: earlier builds do not know it.
    #[serde(default, skip_serializing_if = "is_default")]
    pub features: Features,
    /// The memory that the bodies of responses and incomplete events of streams share, in MiB.
    ///
    /// A body that finds no room fails its request, and an event its stream; a body of more than
    /// 8 MiB and an event of more than 1 MiB always do.
    #[serde(default = "default_response_memory")]
    pub response_memory_mib: u32,
    /// The memory that the requests of callers and other entries share until they end, in MiB; without it, a
    /// part of the memory of the machine.
    ///
    /// When it is short, requests that do not come on are refused first, then those that begin. A request that
    /// is alone is always taken.
    #[serde(default, skip_serializing_if = "is_default")]
    pub caller_memory_mib: Option<u32>,
    /// What the machine allows this process.
    #[serde(default, skip_serializing_if = "is_default")]
    pub machine: Machine,
}

/// What a machine allows a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Machine {
    /// The memory, in MB; without it, that of the smallest machine that is supported.
    pub memory_mb: Option<u32>,
    /// The number of descriptors; without it, the limit of the process.
    pub max_fds: Option<u32>,
}

/// The memory of the smallest machine that is supported, in MB.
const LEAST_MACHINE_MB: u32 = 160;
/// The memory that the process needs for itself, in MB.
const OWN_MEMORY_MB: u32 = 48;
/// The least memory that requests share: a body of the usual limit, with room for others.
const LEAST_CALLER_MEMORY_MIB: u32 = 16;
/// One in this many bytes of the memory of requests is kept for small ones.
const SMALL_REQUESTS_PART: usize = 8;

/// Room for four bodies of the maximum size; buffers that grow may take twice as much.
const DEFAULT_RESPONSE_MEMORY_MIB: u32 = 32;

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

fn default_response_memory() -> u32 {
    DEFAULT_RESPONSE_MEMORY_MIB
}

/// The parts of a gateway that are off unless they are asked for.
///
/// Entries with and without each of them can run side by side.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Features {
    /// The number of groups of each model follows the demand for it; otherwise the shares of the
    /// configuration.
    pub follow_demand: bool,
    /// Requests that cannot be served in time make room for those that can, and teams that ask for
    /// more than their fair share of scarce room make room for the others.
    pub overload_control: bool,
    /// Workers are chosen by the loads and speeds that entries observe and tell each other.
    pub observed_loads: bool,
    /// Long and short prompts prefer different workers of a model.
    pub split_prompts: bool,
    /// An entry asks the store for changes only if no other entry has told it lately what has changed.
    pub shared_following: bool,
}

/// The retry budget of a service, shared by all entries.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Retries {
    /// Retries allowed for each request in the window.
    pub ratio: f64,
    /// Retries allowed in the window in addition, independent of the number of requests.
    pub reserve: f64,
    /// The length of the window, in milliseconds.
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
    /// Returns the bounds on what requests hold.
    pub(crate) fn intake(&self) -> intake::Options {
        let mib = self.caller_memory_mib.unwrap_or_else(|| {
            let memory_mb = self.machine.memory_mb.unwrap_or(LEAST_MACHINE_MB);
            let rest = memory_mb.saturating_sub(OWN_MEMORY_MB + self.response_memory_mib);
            (rest / 2).max(LEAST_CALLER_MEMORY_MIB)
        });
        let limit = (mib as usize) << 20;
        intake::Options {
            limit,
            reserve: limit / SMALL_REQUESTS_PART,
            ..Default::default()
        }
    }

    /// Returns all invalid values that the types do not rule out.
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
                "handover_listen",
                "is the address of another listener",
                self.handover_listen.is_some_and(|address| {
                    let others = [self.caller_listen, self.ready_listen, self.metrics_listen];
                    others.contains(&address) || address == self.peer_listen
                }),
            ),
            (
                "handover_listen",
                "is not an address that other entries can use",
                self.handover_listen
                    .is_some_and(|address| address.ip().is_unspecified()),
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
            (
                "timing.operators_freshness_ms",
                "is zero",
                timing.operators_freshness_ms == 0,
            ),
            (
                "timing.instances_freshness_ms",
                "is zero",
                timing.instances_freshness_ms == 0,
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
