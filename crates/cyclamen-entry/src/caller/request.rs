//! Reads the parts of a caller's request.

use std::sync::Arc;

use cyclamen_endpoint::OWN_PATHS;
use cyclamen_http::Target;
use cyclamen_server::Reader;
use cyclamen_tables::{Route, Team};
use rand::Rng;
use smol::Timer;
use smol::future::or;
use trillium::{Conn, KnownHeaderName, Method};

use crate::caller::drain;
use crate::caller::refusal::Refusal;
use crate::node::Node;
use crate::settings::millis;

/// Maximum length of a request id set by the caller, in bytes.
const MAX_ID_BYTES: usize = 128;

/// Returns the team whose API key the caller presents.
pub(crate) fn team(node: &Node, conn: &Conn) -> Result<Team, Refusal> {
    let header = conn
        .request_headers()
        .get_str(KnownHeaderName::Authorization);
    let key = header.and_then(|h| h.strip_prefix("Bearer "));
    let routes = node.state().routes.clone();
    let team = key.and_then(|key| routes.body.team_of_key(key)).cloned();
    team.ok_or_else(|| Refusal::invalid(401, "invalid_api_key", "no team has this API key"))
}

/// Returns the route with this name.
pub(crate) fn route(node: &Node, name: &str) -> Result<Route, Refusal> {
    let routes = node.state().routes.clone();
    let route = routes.body.get(name).cloned();
    route.ok_or_else(|| Refusal::invalid(404, "unknown_route", "no route has this name"))
}

/// Reads the target of a call, which keeps its bytes and which no endpoint can take for a call of the
/// system's own.
pub(crate) fn target(conn: &Conn) -> Result<Target, Refusal> {
    let target: Option<Target> = conn.path_and_query().parse().ok();
    let refusal = match target.filter(|_| conn.method() != Method::Connect) {
        None => Refusal::invalid(400, "invalid_target", "the target is invalid"),
        Some(target) if OWN_PATHS.iter().any(|path| target.may_be_read_as(path)) => {
            Refusal::invalid(404, "own_call", "the path is reserved")
        }
        Some(target) => return Ok(target),
    };
    log::info!(
        "event=target_refused outcome={} status={} target={:?}",
        refusal.code,
        refusal.status,
        conn.path_and_query()
    );
    Err(refusal)
}

/// Reads the complete body; fails if it exceeds the bounds of size or time.
pub(crate) async fn body(node: &Node, conn: &mut Conn) -> Result<Vec<u8>, Refusal> {
    let bounds = node.settings.bounds;
    let reading = async {
        let body = Reader::new(conn, bounds.body_bytes);
        body.read_to_end().await.map_err(|error| {
            if cyclamen_server::is_too_long(&error) {
                Refusal::invalid(413, "too_large", "the body is too large")
            } else {
                Refusal::invalid(400, "bad_body", "the body cannot be read")
            }
        })
    };
    let timeout = async {
        Timer::after(millis(bounds.body_ms)).await;
        Err(Refusal::invalid(408, "slow_body", "the body took too long"))
    };
    let read = node.abortion.or_aborted(or(reading, timeout)).await;
    read.unwrap_or_else(|| Err(drain::not_run()))
}

/// Returns the request id set by the caller, or a new random one.
pub(crate) fn id(node: &Node, conn: &Conn) -> Arc<str> {
    let given = conn
        .request_headers()
        .get_str(cyclamen_endpoint::REQUEST_ID_HEADER);
    let usable = |id: &&str| !id.is_empty() && id.len() <= MAX_ID_BYTES && id.is_ascii();
    match given.filter(usable) {
        Some(id) => id.into(),
        None => format!("{:032x}", node.state().rng.random::<u128>()).into(),
    }
}

/// Returns the caller's trace context.
pub(crate) fn traceparent(conn: &Conn) -> Option<&str> {
    conn.request_headers().get_str("traceparent")
}
