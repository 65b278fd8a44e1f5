//! Checks of a caller's request before it is dispatched.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_directory::team::Key;
use cyclamen_directory::{Catalog, Route, Team};
use trillium::{Conn, KnownHeaderName};

use crate::frontend::refusal::Refusal;
use crate::frontend::target::Target;
use crate::node::Node;
use crate::platform::Table;

/// The longest part of a path that is logged, in characters.
const MAX_LOGGED_PATH: usize = 1_000;

/// The id, the route, the team and the target found from the head of a request.
pub(super) struct Checked {
    pub(super) id: Arc<str>,
    pub(super) route: Arc<Route>,
    pub(super) team: Option<Arc<Team>>,
    pub(super) target: Target,
}

/// Checks the head of a request, and finds the request's id, route, team and target.
pub(super) fn check(node: &Node, catalog: &Catalog, conn: &Conn) -> Result<Checked, Refusal> {
    if !node.state().is_configured() {
        return Err(Refusal::unconfigured());
    }
    let headers = conn.request_headers();
    if cyclamen_relay::has_ambiguous_length(headers) {
        return Err(Refusal::invalid(400, "framed_twice"));
    }
    if conn.path_and_query().len() as u64 > catalog.limits().head_bytes {
        return Err(Refusal::invalid(414, "target_too_long"));
    }
    let host = conn.host().map(without_port);
    let route = host.and_then(|host| catalog.route(host, conn.path()));
    let route = route.ok_or(Refusal::invalid(404, "no_route"))?;
    let dialect = node.platform.dialect();
    let services = route
        .targets
        .iter()
        .filter_map(|target| catalog.service(&target.service));
    let target = Target::read(dialect, services, conn)?;
    let id = headers.get_str(dialect.request_id);
    let id = id.filter(|id| !id.is_empty());
    let id = id.ok_or(Refusal::invalid(400, "no_request_id"))?;
    let header = headers.get_str(KnownHeaderName::Authorization);
    let key = header.and_then(|h| h.strip_prefix(dialect.key_scheme));
    let team = key.and_then(|key| catalog.team(&Key::new(key.trim())));
    if team.is_none() && !catalog.admits_without_team(route) {
        return Err(Refusal::invalid(401, "unknown_key"));
    }
    Ok(Checked {
        id: id.into(),
        route: route.clone(),
        team: team.cloned(),
        target,
    })
}

fn without_port(host: &str) -> &str {
    host.find(':').map_or(host, |colon| &host[..colon])
}

/// Logs and counts a request that was refused because of its head.
pub(super) fn record_refused_head(node: &Node, conn: &Conn, refusal: Refusal) {
    let id = conn
        .request_headers()
        .get_str(node.platform.dialect().request_id);
    let path: String = conn.path().chars().take(MAX_LOGGED_PATH).collect();
    let now = node.now();
    let (version, age) = {
        let state = node.state();
        let age = state.table_age(now, Table::Operators);
        (state.catalog.version(), age)
    };
    node.metrics
        .record_request("none", refusal.reason, Duration::ZERO);
    log::info!(
        "event=request id={} outcome={} status={} host={:?} path={path:?} version={version} age_ms={}",
        id.unwrap_or("none"),
        refusal.reason,
        refusal.status,
        conn.host().unwrap_or_default(),
        age.as_millis()
    );
}
