//! Sends a request to a worker.

use cyclamen_dispatch::Dispatch;
use cyclamen_http::{Error, StreamingResponse};
use trillium::Headers;

use crate::frontend::call::Call;

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
    let url = format!("http://{}{}", dispatch.target.address, call.path);
    let outbound = cyclamen_http::Request {
        method: call.method,
        url: &url,
        headers: headers(call, dispatch, last_event_id),
        body: call.body.clone(),
        timeout: call.remaining(),
    };
    call.node.http.call_streaming(outbound).await
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
    if let Some(id) = last_event_id {
        headers.insert(dialect.last_event_id, id.to_string());
    }
    headers
}
