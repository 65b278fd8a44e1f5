//! HTTP handlers for callers, the readiness check and metrics.

mod body;
mod buffered;
mod call;
mod check;
mod containment;
mod handover;
mod permit;
mod refusal;
mod request;
mod response;
mod send;
mod stream;
mod target;
mod way;

use std::sync::Arc;

use trillium::{Conn, Handler, KnownHeaderName};

use crate::node::{FOLLOWED_TABLES, Node, is_service_scope};
pub(crate) use handover::Receiver;
use refusal::Refusal;
use request::Request;

/// Forwards callers' requests to workers.
pub(crate) struct Proxy(pub(crate) Arc<Node>);

impl Handler for Proxy {
    async fn run(&self, mut conn: Conn) -> Conn {
        match forward(&self.0, &mut conn).await {
            Ok(()) => conn.halt(),
            Err(refusal) => refusal.respond(conn),
        }
    }
}

async fn forward(node: &Arc<Node>, conn: &mut Conn) -> Result<(), Refusal> {
    let request = Request::read(node, conn).await?;
    run(request, conn).await
}

/// Runs a request on a worker and responds with the worker's response.
async fn run(request: Request, conn: &mut Conn) -> Result<(), Refusal> {
    if request.call.route.streaming {
        stream::forward(request, conn).await
    } else {
        buffered::forward(request, conn).await
    }
}

/// Serves the readiness check of the load balancer in front of the entries.
pub(crate) struct Readiness(pub(crate) Arc<Node>);

impl Handler for Readiness {
    async fn run(&self, conn: Conn) -> Conn {
        if conn.path() != self.0.platform.dialect().ready_path {
            return conn;
        }
        if self.0.state().is_ready() {
            conn.ok("ready")
        } else {
            conn.with_status(503).with_body("not ready").halt()
        }
    }
}

/// Serves the metrics.
pub(crate) struct Metrics(pub(crate) Arc<Node>);

impl Handler for Metrics {
    async fn run(&self, conn: Conn) -> Conn {
        if conn.path() != "/metrics" {
            return conn;
        }
        let conn = conn.with_response_header(KnownHeaderName::ContentType, "text/plain");
        let now = self.0.now();
        let state = self.0.state();
        let targets = state.target_counts();
        let ages = FOLLOWED_TABLES.map(|table| (table, state.table_age(now, table)));
        let contained = state.strikes.contained().len();
        let owned = state.ownership.planners.keys();
        let owned_domains = owned.filter(|name| !is_service_scope(name)).count();
        let limited_workers = state.limits.count();
        let era = state.era;
        let needs = state.group_needs();
        let shares = state.dispatcher.refused_shares(now);
        let shares: Vec<_> = shares
            .map(|(service, model, share)| {
                let model = model.map_or_else(String::new, ToString::to_string);
                (service.to_string(), model, share)
            })
            .collect();
        drop(state);
        for need in &needs {
            self.0.metrics.record_group_need(need);
        }
        for (service, model, share) in shares {
            self.0.metrics.record_refused_share(service, model, share);
        }
        self.0.metrics.record_targets(&targets);
        self.0.metrics.record_contained_parts(contained);
        self.0.metrics.record_owned_domains(owned_domains);
        self.0.metrics.record_limited_workers(limited_workers);
        self.0.metrics.record_store_era(era);
        for (table, age) in ages {
            self.0.metrics.record_table_age(table, age);
        }
        conn.ok(self.0.metrics.text())
    }
}
