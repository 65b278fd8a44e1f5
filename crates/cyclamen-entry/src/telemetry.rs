//! Metrics and traces.

use std::collections::HashMap;
use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use cyclamen_http::{Client, Request};
use opentelemetry::metrics::{Counter, Histogram, MeterProvider, ObservableGauge};
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::{SpanKind, Status, TraceContextExt, Tracer, TracerProvider};
use opentelemetry::{Context, KeyValue};
use opentelemetry_http::{Bytes, HttpClient, HttpError, Response};
use opentelemetry_otlp::{Protocol, WithExportConfig, WithHttpConfig};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{SdkTracer, SdkTracerProvider};
use trillium_http::Method;

const SCOPE_NAME: &str = "cyclamenpath";
const TRACEPARENT: &str = "traceparent";
const EXPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Upper bounds of the buckets of waiting times, in seconds.
const WAIT_BUCKETS_S: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 5.0, 30.0];

/// The metrics of an entry, with the registry that they are read from, and its tracer.
pub(crate) struct Metrics {
    registry: prometheus::Registry,
    provider: SdkMeterProvider,
    requests: Counter<u64>,
    retries: Counter<u64>,
    resumed_streams: Counter<u64>,
    peer_admissions: Counter<u64>,
    first_byte: Histogram<f64>,
    tracer: SdkTracer,
}

impl Metrics {
    pub(crate) fn new(traces: Option<&str>) -> eyre::Result<Self> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter();
        let exporter = exporter.with_registry(registry.clone()).build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter(SCOPE_NAME);
        Ok(Self {
            requests: meter.u64_counter("requests").build(),
            retries: meter.u64_counter("retries").build(),
            resumed_streams: meter.u64_counter("resumed_streams").build(),
            peer_admissions: meter.u64_counter("admissions_asked_of_peers").build(),
            first_byte: meter
                .f64_histogram("first_byte")
                .with_unit("s")
                .with_boundaries(WAIT_BUCKETS_S.to_vec())
                .build(),
            tracer: tracer(traces)?,
            registry,
            provider,
        })
    }

    /// Records a request that has ended.
    pub(crate) fn record_request(&self, route: &str, outcome: &'static str) {
        let labels = [
            KeyValue::new("route", route.to_string()),
            KeyValue::new("outcome", outcome),
        ];
        self.requests.add(1, &labels);
    }

    pub(crate) fn record_first_byte(&self, route: &str, wait: Duration) {
        let labels = [KeyValue::new("route", route.to_string())];
        self.first_byte.record(wait.as_secs_f64(), &labels);
    }

    pub(crate) fn record_retry(&self) {
        self.retries.add(1, &[]);
    }

    pub(crate) fn record_resumed_stream(&self) {
        self.resumed_streams.add(1, &[]);
    }

    pub(crate) fn record_peer_admission(&self) {
        self.peer_admissions.add(1, &[]);
    }

    /// Registers a gauge whose value is read on each export of the metrics.
    pub(crate) fn register_gauge(
        &self,
        name: &'static str,
        read: impl Fn() -> u64 + Send + Sync + 'static,
    ) -> ObservableGauge<u64> {
        let meter = self.provider.meter(SCOPE_NAME);
        let gauge = meter.u64_observable_gauge(name);
        gauge
            .with_callback(move |observer| observer.observe(read(), &[]))
            .build()
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

    /// Starts the span of a request received with this trace context.
    pub(crate) fn start_span(&self, name: &'static str, traceparent: Option<&str>) -> Span {
        let carrier: HashMap<String, String> = traceparent
            .map(|text| (TRACEPARENT.to_string(), text.to_string()))
            .into_iter()
            .collect();
        let parent = TraceContextPropagator::new().extract(&carrier);
        Span::start(self.tracer.clone(), name, SpanKind::Server, &parent)
    }
}

/// A span of the trace of a request; ends when it is dropped.
pub(crate) struct Span {
    tracer: SdkTracer,
    context: Context,
}

impl Span {
    fn start(tracer: SdkTracer, name: &'static str, kind: SpanKind, parent: &Context) -> Self {
        let span = tracer
            .span_builder(name)
            .with_kind(kind)
            .start_with_context(&tracer, parent);
        Self {
            context: parent.with_span(span),
            tracer,
        }
    }

    /// Starts the client span of a call made on behalf of this one.
    pub(crate) fn child(&self, name: &'static str) -> Self {
        Self::start(self.tracer.clone(), name, SpanKind::Client, &self.context)
    }

    /// Returns the trace context to send with the call.
    pub(crate) fn traceparent(&self) -> Arc<str> {
        let mut carrier = HashMap::new();
        TraceContextPropagator::new().inject_context(&self.context, &mut carrier);
        carrier.remove(TRACEPARENT).unwrap_or_default().into()
    }

    pub(crate) fn set_attribute(&self, key: &'static str, value: impl Display) {
        let attribute = KeyValue::new(key, value.to_string());
        self.context.span().set_attribute(attribute);
    }

    /// Marks the span as failed.
    pub(crate) fn set_error(&self, error: &impl Display) {
        self.context
            .span()
            .set_status(Status::error(error.to_string()));
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        self.context.span().end();
    }
}

fn tracer(traces: Option<&str>) -> eyre::Result<SdkTracer> {
    let builder = SdkTracerProvider::builder();
    let Some(url) = traces else {
        return Ok(builder.build().tracer(SCOPE_NAME));
    };
    let exporter = opentelemetry_otlp::SpanExporter::builder()
        .with_http()
        .with_http_client(ExportClient(Client::new(cyclamen_http::Options::default())))
        .with_protocol(Protocol::HttpJson)
        .with_endpoint(url)
        .build()?;
    Ok(builder
        .with_batch_exporter(exporter)
        .build()
        .tracer(SCOPE_NAME))
}

/// The HTTP client of the trace exporter.
#[derive(Debug)]
struct ExportClient(Client);

#[async_trait]
impl HttpClient for ExportClient {
    async fn send_bytes(
        &self,
        request: opentelemetry_http::Request<Bytes>,
    ) -> Result<Response<Bytes>, HttpError> {
        let mut headers = trillium_http::Headers::new();
        for (name, value) in request.headers() {
            headers.insert(name.to_string(), value.as_bytes().to_vec());
        }
        let url = request.uri().to_string();
        let call = Request {
            method: Method::Post,
            url: &url,
            headers,
            body: request.into_body().to_vec(),
            timeout: EXPORT_TIMEOUT,
        };
        let response = self.0.call(call).await?;
        Ok(Response::builder()
            .status(response.status)
            .body(response.body.into())?)
    }
}
