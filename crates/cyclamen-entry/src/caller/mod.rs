//! The listener for callers.

mod claim;
mod completion;
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

/// Answers callers.
pub(crate) struct Api(pub(crate) Arc<Node>);

impl Handler for Api {
    async fn run(&self, mut conn: Conn) -> Conn {
        let answered = match (conn.method(), conn.path()) {
            (Method::Post, COMPLETIONS) => completion::answer(&self.0, &mut conn).await,
            (Method::Get, MODELS) => models::answer(&self.0, &mut conn),
            _ => plain::answer(&self.0, &mut conn).await,
        };
        match answered {
            Ok(()) => conn.halt(),
            Err(refusal) => refusal.answer(conn),
        }
    }
}
