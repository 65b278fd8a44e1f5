//! The listener for operators and health probes.

mod status;
mod tables;

use std::sync::Arc;

use cyclamen_server::Reader;
use subtle::ConstantTimeEq;
use trillium::{Conn, Handler, KnownHeaderName, Method};

use crate::node::Node;

pub use status::Status;

/// The HTTP handler for operators and health probes.
pub(crate) struct Api(pub(crate) Arc<Node>);

impl Handler for Api {
    async fn run(&self, conn: Conn) -> Conn {
        match (conn.method(), conn.path()) {
            (Method::Get, "/livez") => conn.ok("live\n"),
            (Method::Get, "/readyz") => self.readiness(conn),
            (Method::Get, "/metrics") => {
                let text = self.0.metrics.text();
                conn.ok(text)
            }
            _ if !self.is_operator(&conn) => conn.with_status(401).halt(),
            // On the heap, as the futures of callers' requests.
            _ => Box::pin(self.handle_operator(conn)).await,
        }
    }
}

impl Api {
    fn readiness(&self, conn: Conn) -> Conn {
        if self.0.state().is_ready() {
            conn.ok("ready\n")
        } else {
            conn.with_status(503).with_body("not ready\n").halt()
        }
    }

    fn is_operator(&self, conn: &Conn) -> bool {
        let header = conn
            .request_headers()
            .get_str(KnownHeaderName::Authorization);
        let token = header.and_then(|h| h.strip_prefix("Bearer "));
        let expected = self.0.settings.operator_token.reveal();
        token.is_some_and(|token| token.as_bytes().ct_eq(expected.as_bytes()).into())
    }

    async fn read_body(&self, conn: &mut Conn) -> Result<Vec<u8>, trillium_http::Error> {
        let limit = self.0.settings.bounds.body_bytes;
        Reader::new(conn, limit).read_to_end().await
    }

    async fn handle_operator(&self, mut conn: Conn) -> Conn {
        let path: Arc<str> = conn.path().into();
        let segments: Vec<_> = path.trim_matches('/').split('/').collect();
        let node = &self.0;
        let response = match (conn.method(), segments.as_slice()) {
            (Method::Get, ["status"]) => status::read(node),
            (Method::Get, ["tables", table]) => tables::read(node, table).await,
            (Method::Get, ["tables", table, "history"]) => tables::history(node, table).await,
            (Method::Post, ["tables", table]) => match self.read_body(&mut conn).await {
                Ok(body) => Box::pin(tables::apply(node, table, &body)).await,
                Err(error) => {
                    log::warn!("event=edit_not_read table={table} reason=\"{error}\"");
                    if cyclamen_server::is_too_long(&error) {
                        tables::Response::error(413, "the body is too large")
                    } else {
                        tables::Response::error(400, "the body could not be read")
                    }
                }
            },
            (Method::Post, ["zones", zone, "out"]) => tables::set_zone_out(node, zone, true).await,
            (Method::Post, ["zones", zone, "in"]) => tables::set_zone_out(node, zone, false).await,
            _ => tables::Response::error(404, "no such resource"),
        };
        conn.with_status(response.status)
            .with_response_header(KnownHeaderName::ContentType, "application/json")
            .with_body(response.body.to_string())
            .halt()
    }
}
