//! Sends a request to a worker or another entry.

use cyclamen_dispatch::Dispatch;
use cyclamen_http::{Error, Forward, StreamingResponse};
use trillium::Headers;

use crate::frontend::call::Call;
use crate::frontend::way::Handover;
use crate::handover::{Envelope, as_millis};

/// The lowest urgency that workers accept; a larger number is less urgent.
const LEAST_URGENT: u8 = 9;

/// Sends a request to a worker and returns the response once its head is received.
///
/// `last_event_id` is the id of the last event that the caller received, if a stream is resumed.
pub(crate) async fn send(
    call: &Call,
    dispatch: &Dispatch,
    last_event_id: Option<u64>,
) -> Result<StreamingResponse, Error> {
    let outbound = Forward {
        address: dispatch.target.address,
        method: call.method,
        target: call.target.as_target(),
        headers: headers(call, dispatch, last_event_id),
        body: call.body.clone(),
        timeout: call.remaining(),
    };
    call.node.http.forward_streaming(outbound).await
}

/// Hands a request over to another entry and returns the response once its head is received.
pub(crate) async fn send_to_entry(
    call: &Call,
    handover: &Handover,
    last_event_id: Option<u64>,
) -> Result<StreamingResponse, Error> {
    let node = &call.node;
    let mut headers = call.headers.clone();
    insert_last_event_id(call, last_event_id, &mut headers);
    envelope(call, handover).write(node.settings.peer_secret.reveal(), &mut headers);
    let outbound = Forward {
        address: handover.receiver.address,
        method: call.method,
        target: call.target.as_target(),
        headers,
        body: call.body.clone(),
        timeout: call.remaining(),
    };
    node.http.forward_streaming(outbound).await
}

fn envelope(call: &Call, handover: &Handover) -> Envelope {
    let now = call.node.now();
    Envelope {
        sender: call.node.settings.name.clone(),
        route: call.route.name.clone(),
        service: call.service.name.clone(),
        team: call.team.as_ref().map(|team| team.name.clone()),
        priority: call.priority(),
        repeat: call.route.repeat.into(),
        streaming: call.route.streaming,
        goal_ms: as_millis(call.route.goal),
        waited_ms: as_millis(call.waited(now)),
        remaining_ms: as_millis(call.remaining()),
        tried: handover.tried.to_vec(),
        shed: handover.shed.to_vec(),
    }
}

fn headers(call: &Call, dispatch: &Dispatch, last_event_id: Option<u64>) -> Headers {
    let dialect = call.node.platform.dialect();
    let mut headers = call.headers.clone();
    headers.insert(
        dialect.deadline_ms,
        call.remaining().as_millis().to_string(),
    );
    headers.insert(dialect.instance, dispatch.target.instance.to_string());
    let urgency = if call.is_late() {
        LEAST_URGENT
    } else {
        call.priority().min(LEAST_URGENT - 1)
    };
    headers.insert(dialect.urgency, urgency.to_string());
    if let Some(team) = &call.team {
        headers.insert(dialect.team, team.name.to_string());
    }
    insert_last_event_id(call, last_event_id, &mut headers);
    headers
}

fn insert_last_event_id(call: &Call, last_event_id: Option<u64>, headers: &mut Headers) {
    if let Some(id) = last_event_id {
        let name = call.node.platform.dialect().last_event_id;
        headers.insert(name, id.to_string());
    }
}
