//! Sends a request to a worker.

use cyclamen_dispatch::Dispatch;
use cyclamen_http::{Error, StreamingResponse};
use trillium::Headers;

use crate::frontend::request::Request;

/// The lowest urgency that workers accept; a larger number is less urgent.
const LEAST_URGENT: u8 = 9;

/// Sends a request to a worker and returns the response once its head is received.
///
/// `last_event_id` is the id of the last event that the caller received, if a stream is resumed.
pub(crate) async fn send(
    request: &Request,
    dispatch: &Dispatch,
    last_event_id: Option<u64>,
) -> Result<StreamingResponse, Error> {
    let url = format!("http://{}{}", dispatch.target.address, request.path);
    let outbound = cyclamen_http::Request {
        method: request.method,
        url: &url,
        headers: headers(request, dispatch, last_event_id),
        body: request.body.clone(),
        timeout: request.remaining(),
    };
    request.node.http.call_streaming(outbound).await
}

fn headers(request: &Request, dispatch: &Dispatch, last_event_id: Option<u64>) -> Headers {
    let dialect = request.node.platform.dialect();
    let mut headers = request.headers.clone();
    headers.insert(
        dialect.deadline_ms,
        request.remaining().as_millis().to_string(),
    );
    headers.insert(dialect.instance, dispatch.target.instance.to_string());
    let urgency = if request.is_late() {
        LEAST_URGENT
    } else {
        request.priority().min(LEAST_URGENT - 1)
    };
    headers.insert(dialect.urgency, urgency.to_string());
    if let Some(team) = &request.team {
        headers.insert(dialect.team, team.name.to_string());
    }
    if let Some(id) = last_event_id {
        headers.insert(dialect.last_event_id, id.to_string());
    }
    headers
}
