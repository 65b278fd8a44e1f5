//! The list of models.

use std::sync::Arc;

use cyclamen_tables::pools::Kind;
use serde_json::json;
use trillium::{Conn, KnownHeaderName};

use crate::caller::refusal::Refusal;
use crate::caller::request;
use crate::node::Node;

/// Lists the routes that lead to model engines.
pub(crate) fn handle(node: &Arc<Node>, conn: &mut Conn) -> Result<(), Refusal> {
    request::team(node, conn)?;
    let (routes, pools) = {
        let state = node.state();
        (state.routes.clone(), state.pools.clone())
    };
    let is_model = |name| pools.body.get(name).is_some_and(|p| p.kind == Kind::Model);
    let routes = routes.body.routes.iter().filter(|r| is_model(&r.pool));
    let data: Vec<_> = routes
        .map(|r| json!({"id": r.name, "object": "model", "owned_by": "cyclamenpath"}))
        .collect();
    conn.response_headers_mut()
        .insert(KnownHeaderName::ContentType, "application/json");
    conn.set_status(200);
    conn.set_body(json!({"object": "list", "data": data}).to_string());
    Ok(())
}
