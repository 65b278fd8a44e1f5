//! Sends a request to a worker.

use cyclamen_dispatch::Dispatch;
use cyclamen_http::{Error, Request, StreamingResponse};
use trillium::Headers;

use crate::front::job::Job;

/// The least urgent rank that workers know.
const LEAST_URGENT: u8 = 9;

/// Sends a request to a worker, and gives its answer once the head is there.
///
/// `after` is the last event that the caller has, where a stream goes on.
pub(crate) async fn send(
    job: &Job,
    sent: &Dispatch,
    after: Option<u64>,
) -> Result<StreamingResponse, Error> {
    let url = format!("http://{}{}", sent.target.address, job.path);
    let request = Request {
        method: job.method,
        url: &url,
        headers: headers(job, sent, after),
        body: job.body.clone(),
        timeout: job.left(),
    };
    job.node.http.call_streaming(request).await
}

fn headers(job: &Job, sent: &Dispatch, after: Option<u64>) -> Headers {
    let dialect = job.node.platform.dialect();
    let mut headers = job.headers.clone();
    headers.insert(dialect.deadline_ms, job.left().as_millis().to_string());
    headers.insert(dialect.instance, sent.target.instance.to_string());
    let urgency = if job.is_late() {
        LEAST_URGENT
    } else {
        job.priority().min(LEAST_URGENT - 1)
    };
    headers.insert(dialect.urgency, urgency.to_string());
    if let Some(team) = &job.team {
        headers.insert(dialect.team, team.name.to_string());
    }
    if let Some(after) = after {
        headers.insert(dialect.last_event_id, after.to_string());
    }
    headers
}
