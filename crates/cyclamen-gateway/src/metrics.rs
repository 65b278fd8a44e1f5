//! Counters and latency histograms.

use std::time::Duration;

use cyclamen_cache::Era;
use cyclamen_dispatch::Outcome;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;

use crate::node::{GroupNeed, ProbeCause, TargetCount};
use crate::platform::Table;

const SCOPE_NAME: &str = "cyclamenpath";
/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 6.0, 10.0,
];

/// The metrics of a gateway and the registry from which they are exported.
pub(crate) struct Metrics {
    registry: prometheus::Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    retries: Counter<u64>,
    resumes: Counter<u64>,
    orders: Counter<u64>,
    store_calls: Counter<u64>,
    table_proofs: Counter<u64>,
    probes: Counter<u64>,
    timer_delay: Histogram<f64>,
    crashes: Counter<u64>,
    handovers: Counter<u64>,
    served_handovers: Counter<u64>,
    handover_duration: Histogram<f64>,
    targets: Gauge<u64>,
    table_age: Gauge<f64>,
    contained_parts: Gauge<u64>,
    owned_domains: Gauge<u64>,
    cut_off_services: Gauge<u64>,
    limited_workers: Gauge<u64>,
    held_back: Counter<u64>,
    refused_share: Gauge<f64>,
    store_era: Gauge<u64>,
    demanded_requests: Gauge<f64>,
    needed_groups: Gauge<f64>,
    first_byte: Histogram<f64>,
    duration: Histogram<f64>,
}

impl Metrics {
    pub(crate) fn new() -> eyre::Result<Self> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter();
        let exporter = exporter.with_registry(registry.clone()).build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter(SCOPE_NAME);
        let latency_histogram = |name: &'static str| {
            let histogram = meter.f64_histogram(name).with_unit("s");
            histogram
                .with_boundaries(LATENCY_BUCKETS_S.to_vec())
                .build()
        };
        Ok(Self {
            requests: meter.u64_counter("requests").build(),
            retries: meter.u64_counter("retries").build(),
            resumes: meter.u64_counter("resumed_streams").build(),
            orders: meter.u64_counter("orders").build(),
            store_calls: meter.u64_counter("store_calls").build(),
            table_proofs: meter.u64_counter("table_proofs").build(),
            probes: meter.u64_counter("probes").build(),
            timer_delay: latency_histogram("timer_delay"),
            crashes: meter.u64_counter("worker_crashes").build(),
            handovers: meter.u64_counter("handovers").build(),
            served_handovers: meter.u64_counter("served_handovers").build(),
            handover_duration: latency_histogram("handover_duration"),
            targets: meter.u64_gauge("targets").build(),
            contained_parts: meter.u64_gauge("contained_parts").build(),
            owned_domains: meter.u64_gauge("owned_domains").build(),
            cut_off_services: meter.u64_gauge("cut_off_services").build(),
            held_back: meter.u64_counter("requests_held_back").build(),
            limited_workers: meter.u64_gauge("limited_workers").build(),
            refused_share: meter.f64_gauge("refused_share").build(),
            store_era: meter.u64_gauge("store_era").build(),
            demanded_requests: meter.f64_gauge("demanded_requests").build(),
            needed_groups: meter.f64_gauge("needed_groups").build(),
            table_age: meter.f64_gauge("table_age").with_unit("s").build(),
            first_byte: latency_histogram("first_byte"),
            duration: latency_histogram("request_duration"),
            registry,
            _provider: provider,
        })
    }

    /// Records the outcome and the duration of a request that has ended.
    pub(crate) fn record_request(&self, service: &str, outcome: &'static str, took: Duration) {
        let service = KeyValue::new("service", service.to_string());
        self.duration
            .record(took.as_secs_f64(), std::slice::from_ref(&service));
        self.requests
            .add(1, &[service, KeyValue::new("outcome", outcome)]);
    }

    pub(crate) fn record_first_byte(&self, service: &str, wait: Duration) {
        let labels = [KeyValue::new("service", service.to_string())];
        self.first_byte.record(wait.as_secs_f64(), &labels);
    }

    pub(crate) fn record_retry(&self) {
        self.retries.add(1, &[]);
    }

    pub(crate) fn record_resumed_stream(&self) {
        self.resumes.add(1, &[]);
    }

    pub(crate) fn record_order(&self, kind: &'static str, outcome: &'static str) {
        let labels = [
            KeyValue::new("kind", kind),
            KeyValue::new("answer", outcome),
        ];
        self.orders.add(1, &labels);
    }

    pub(crate) fn record_store_call(&self, call: &'static str, table: Table, ok: bool) {
        let labels = [
            KeyValue::new("call", call),
            KeyValue::new("table", table.as_str()),
            KeyValue::new("ok", ok),
        ];
        self.store_calls.add(1, &labels);
    }

    /// Counts a response of another entry that proved that all of a table is known.
    pub(crate) fn record_table_proof(&self, table: Table) {
        let labels = [KeyValue::new("table", table.as_str())];
        self.table_proofs.add(1, &labels);
    }

    /// Counts a probe of a worker.
    pub(crate) fn record_probe(&self, cause: ProbeCause, responds: bool) {
        let labels = [
            KeyValue::new("cause", cause.as_str()),
            KeyValue::new("responds", responds),
        ];
        self.probes.add(1, &labels);
    }

    /// Records how much later than it was due a timer ran.
    pub(crate) fn record_timer_delay(&self, delay: Duration) {
        self.timer_delay.record(delay.as_secs_f64(), &[]);
    }

    /// Counts a worker that crashed before any part of its response could be forwarded.
    pub(crate) fn record_crash(&self) {
        self.crashes.add(1, &[]);
    }

    /// Records how a request that was handed over to another entry ended, and after which time.
    pub(crate) fn record_handover(&self, outcome: Outcome, took: Duration) {
        let outcome = match outcome {
            Outcome::Complete => "complete",
            Outcome::Shed => "not_run",
            Outcome::Failed => "failed",
            Outcome::Cancelled => "cancelled",
        };
        let labels = [KeyValue::new("outcome", outcome)];
        self.handover_duration.record(took.as_secs_f64(), &labels);
        self.handovers.add(1, &labels);
    }

    /// Counts a request that another entry handed over.
    pub(crate) fn record_served_handover(&self, outcome: &'static str) {
        let labels = [KeyValue::new("outcome", outcome)];
        self.served_handovers.add(1, &labels);
    }

    /// Records how many workers or groups currently take requests.
    pub(crate) fn record_targets(&self, counts: &[TargetCount]) {
        for target in counts {
            let labels = [
                KeyValue::new("service", target.service.to_string()),
                KeyValue::new("model", target.model.clone()),
            ];
            self.targets.record(target.count, &labels);
        }
    }

    /// Records the time since the store last delivered a followed table.
    pub(crate) fn record_table_age(&self, table: Table, age: Duration) {
        let labels = [KeyValue::new("table", table.as_str())];
        self.table_age.record(age.as_secs_f64(), &labels);
    }

    /// Records how many parts of prompts are contained.
    pub(crate) fn record_contained_parts(&self, count: usize) {
        self.contained_parts.record(count as u64, &[]);
    }

    /// Records how many fabric domains this entry owns.
    pub(crate) fn record_owned_domains(&self, count: usize) {
        self.owned_domains.record(count as u64, &[]);
    }

    /// Records from how many services this entry is cut off.
    pub(crate) fn record_cut_off_services(&self, count: usize) {
        self.cut_off_services.record(count as u64, &[]);
    }

    /// Counts a request for which no permit for a limited worker was to be had.
    pub(crate) fn record_held_back(&self) {
        self.held_back.add(1, &[]);
    }

    /// Records how many workers name a rate limit.
    pub(crate) fn record_limited_workers(&self, count: usize) {
        self.limited_workers.record(count as u64, &[]);
    }

    /// Records the demand for a model at all entries, and the groups that it needs.
    pub(crate) fn record_group_need(&self, need: &GroupNeed) {
        let labels = [
            KeyValue::new("service", need.service.to_string()),
            KeyValue::new("model", need.model.to_string()),
        ];
        self.demanded_requests
            .record(need.requests_per_second, &labels);
        self.needed_groups.record(need.groups, &labels);
    }

    /// Records what part of the recent requests for a service and model was refused for want of room.
    pub(crate) fn record_refused_share(&self, service: String, model: String, share: f64) {
        let labels = [
            KeyValue::new("service", service),
            KeyValue::new("model", model),
        ];
        self.refused_share.record(share, &labels);
    }

    /// Records the highest era of the store that this entry knows of.
    pub(crate) fn record_store_era(&self, era: Era) {
        self.store_era.record(era.0, &[]);
    }

    /// Returns the metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        let encoder = prometheus::TextEncoder::new();
        match encoder.encode_to_string(&self.registry.gather()) {
            Ok(text) => text,
            Err(error) => {
                log::warn!("event=metrics_not_encoded reason=\"{error}\"");
                String::new()
            }
        }
    }
}
