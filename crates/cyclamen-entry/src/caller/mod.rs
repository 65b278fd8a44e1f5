//! The listener for callers.

mod claim;
mod completion;
mod drain;
mod guard;
mod models;
mod plain;
mod refusal;
mod request;
mod retry;

use std::sync::Arc;

use trillium::{Conn, Handler, Method};

use crate::node::Node;

const COMPLETIONS: &str = "/v1/chat/completions";
const MODELS: &str = "/v1/models";

/// The HTTP handler for callers.
pub(crate) struct Api(pub(crate) Arc<Node>);

impl Handler for Api {
    // The futures of requests are boxed: the server polls through many layers, each
    // of which would hold a copy on a thread's stack.
    async fn run(&self, mut conn: Conn) -> Conn {
        let node = &self.0;
        let result = match (conn.method(), conn.path()) {
            (Method::Post, COMPLETIONS) => Box::pin(completion::handle(node, &mut conn)).await,
            (Method::Get, MODELS) => models::handle(node, &mut conn),
            _ => Box::pin(plain::handle(node, &mut conn)).await,
        };
        match result {
            Ok(()) => conn.halt(),
            Err(refusal) => refusal.respond(conn),
        }
    }
}
