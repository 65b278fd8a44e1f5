//! The listeners for callers, the balancer and readers of metrics.

mod answer;
mod check;
mod job;
mod plain;
mod refusal;
mod send;
mod stream;

use std::sync::Arc;

use trillium::{Conn, Handler, KnownHeaderName};

use crate::node::Node;
use job::Job;
use refusal::Refusal;

/// Answers callers.
pub(crate) struct Callers(pub(crate) Arc<Node>);

impl Handler for Callers {
    async fn run(&self, mut conn: Conn) -> Conn {
        match answer(&self.0, &mut conn).await {
            Ok(()) => conn.halt(),
            Err(refusal) => refusal.answer(conn),
        }
    }
}

async fn answer(node: &Arc<Node>, conn: &mut Conn) -> Result<(), Refusal> {
    let job = Job::read(node, conn).await?;
    if job.route.streaming {
        stream::answer(job, conn).await
    } else {
        plain::answer(job, conn).await
    }
}

/// Tells the balancer whether this entry is ready.
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

/// Gives the metrics to whoever reads them.
pub(crate) struct Measures(pub(crate) Arc<Node>);

impl Handler for Measures {
    async fn run(&self, conn: Conn) -> Conn {
        if conn.path() != "/metrics" {
            return conn;
        }
        let conn = conn.with_response_header(KnownHeaderName::ContentType, "text/plain");
        let serving = self.0.state().target_counts();
        self.0.metrics.record_targets(&serving);
        conn.ok(self.0.metrics.text())
    }
}
