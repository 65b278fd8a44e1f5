//! Takes requests that other entries hand over, and sends each to one worker.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use cyclamen_directory::catalog::Access;
use cyclamen_directory::route::Priority;
use cyclamen_directory::{Catalog, Route, Team};
use trillium::{Conn, Handler, Headers, KnownHeaderName};

use crate::frontend::call::{Call, Prompt};
use crate::frontend::refusal::Refusal;
use crate::frontend::request::Request;
use crate::frontend::run;
use crate::frontend::target::Target;
use crate::handover::{Envelope, Reply};
use crate::node::Node;

/// The maximum number of requests in progress with which more are taken.
const MAX_IN_PROGRESS: u64 = 1_000;
/// The retry delay of requests that are not taken.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Takes requests that other entries hand over.
pub(crate) struct Receiver(pub(crate) Arc<Node>);

impl Handler for Receiver {
    async fn run(&self, mut conn: Conn) -> Conn {
        // The response is the worker's, to which the sender adds its own.
        conn.response_headers_mut().remove(KnownHeaderName::Server);
        let request = match receive(&self.0, &mut conn).await {
            Ok(request) => request,
            Err(refusal) => return with_reply(refusal.respond(conn), refusal.reply_unsent()),
        };
        match run(request, &mut conn).await {
            Ok(()) => with_reply(conn, Reply::Answered).halt(),
            Err(refusal) => with_reply(refusal.respond(conn), refusal.reply()),
        }
    }
}

fn with_reply(mut conn: Conn, reply: Reply) -> Conn {
    reply.write(conn.response_headers_mut());
    conn
}

/// Reads a request, which no worker gets if this fails.
async fn receive(node: &Arc<Node>, conn: &mut Conn) -> Result<Request, Refusal> {
    let mut headers = cyclamen_relay::end_to_end(conn.request_headers());
    let envelope = Envelope::take(node.settings.peer_secret.reveal(), &mut headers);
    let envelope = envelope.ok_or(Refusal::invalid(403, "no_envelope"))?;
    if node.state().in_progress >= MAX_IN_PROGRESS {
        return Err(Refusal::retry_later("busy", BUSY_RETRY_DELAY));
    }
    let limit = node.state().catalog.limits().body_bytes;
    let (avoided, shed) = (envelope.tried.clone(), envelope.shed.clone());
    let mut request = Request::new(call(node, conn, envelope, headers)?);
    request.avoided = avoided;
    request.tried = shed;
    request
        .check_drain()
        .map_err(|refusal| request.record_refusal(refusal))?;
    request.read_body(conn, limit).await?;
    Ok(request)
}

/// Returns the request as it is sent to a worker.
fn call(
    node: &Arc<Node>,
    conn: &Conn,
    envelope: Envelope,
    headers: Headers,
) -> Result<Call, Refusal> {
    let now = node.now();
    let catalog = node.state().catalog.clone();
    let service = catalog.service(&envelope.service);
    let service = service.ok_or(Refusal::unconfigured())?.clone();
    check_access(&catalog, &envelope)?;
    let dialect = node.platform.dialect();
    let target = Target::read(dialect, [&service], conn)?;
    let id = headers.get_str(dialect.request_id);
    let id = id.ok_or(Refusal::invalid(400, "no_request_id"))?;
    let prompt = Prompt::read(dialect, &headers, &service);
    let remaining = Duration::from_millis(envelope.remaining_ms);
    Ok(Call {
        node: node.clone(),
        id: id.into(),
        team: envelope.team.clone().map(|name| {
            let priority = Some(Priority(envelope.priority));
            Arc::new(Team { name, priority })
        }),
        model: prompt.model,
        parts: prompt.parts,
        tokens: prompt.tokens,
        method: conn.method(),
        target,
        body: Arc::default(),
        arrived_at: now - Duration::from_millis(envelope.waited_ms),
        deadline: now + remaining,
        fingerprint: OnceLock::new(),
        service,
        route: Arc::new(route(&envelope, remaining)),
        sender: Some(envelope.sender),
        headers,
    })
}

/// Refuses a request that belongs to no team where this entry knows that its route asks for one:
/// entries of earlier builds admit all callers while no team holds a key.
fn check_access(catalog: &Catalog, envelope: &Envelope) -> Result<(), Refusal> {
    let mut routes = catalog.routes().filter(|r| r.name == envelope.route);
    let is_admitted = envelope.team.is_some()
        || catalog.access() == Access::Open
        || routes.any(|route| catalog.admits_without_team(route));
    if is_admitted {
        Ok(())
    } else {
        Err(Refusal::retry_later("no_team", BUSY_RETRY_DELAY))
    }
}

/// Returns the route by which the sender got the request; it is sent to one worker.
fn route(envelope: &Envelope, timeout: Duration) -> Route {
    Route {
        name: envelope.route.clone(),
        host: "".into(),
        prefix: "/".into(),
        repeat: envelope.repeat.into(),
        streaming: envelope.streaming,
        timeout,
        goal: Duration::from_millis(envelope.goal_ms),
        priority: Priority(envelope.priority),
        attempts: 1,
        anonymous: true,
        targets: Vec::new(),
    }
}
