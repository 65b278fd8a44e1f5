//! Requests whose answer is read whole before it is passed on.

use std::io;
use std::time::Duration;

use cyclamen_dispatch::{Dispatch, Outcome};
use cyclamen_http::{Error, StreamingResponse};
use futures::AsyncReadExt;
use smol::Timer;
use smol::future::or;
use trillium::{Conn, Headers};

use crate::front::answer::{Verdict, judge};
use crate::front::job::Job;
use crate::front::refusal::Refusal;
use crate::front::send::send;
use crate::tasks;

/// The largest answer that is kept in memory, in bytes.
const ANSWER_LIMIT: u64 = 8 << 20;

/// The time after which callers may come back when no worker could be reached.
const RECONNECT_WAIT: Duration = Duration::from_millis(300);

/// A whole answer of a worker.
struct Whole {
    status: u16,
    headers: Headers,
    body: Vec<u8>,
}

/// Why one try has no answer to pass on.
enum Failure {
    /// No connection was made.
    NotSent,
    /// The worker did not run the request.
    NotRun,
    /// The worker failed the request, and said so.
    Failed(Box<Whole>),
    /// The worker closed the connection; the request may have run.
    Closed,
    /// The request may have run.
    Unknown,
    /// The deadline has passed.
    Late,
}

/// Answers a request whose answer is read whole.
pub(crate) async fn answer(mut job: Job, conn: &mut Conn) -> Result<(), Refusal> {
    let answered = conn.cancel_on_disconnect(run(&mut job)).await;
    let Some(answered) = answered else {
        job.end("caller_gone", 0, None);
        return Err(Refusal::failed("caller_gone"));
    };
    let (whole, sent) = answered.map_err(|refusal| job.refused(refusal))?;
    job.end("answered", whole.status, Some(&sent));
    conn.set_status(whole.status);
    conn.response_headers_mut().append_all(whole.headers);
    conn.set_body(whole.body);
    Ok(())
}

async fn run(job: &mut Job) -> Result<(Whole, Dispatch), Refusal> {
    loop {
        let sent = job.choose()?;
        match attempt(job, &sent).await {
            Ok(whole) => {
                job.answered_whole();
                return Ok((whole, sent));
            }
            Err(Failure::NotSent) => {
                tasks::check_target(&job.node, &sent.target);
                if !job.not_connected(&sent) {
                    return Err(Refusal::not_now("not_connected", RECONNECT_WAIT));
                }
            }
            Err(Failure::NotRun) => {
                job.tried.push(sent.target.instance.clone());
                if !job.may_retry() {
                    return Err(Refusal::retries_spent());
                }
            }
            Err(Failure::Failed(whole)) => {
                job.tried.push(sent.target.instance.clone());
                job.may_have_run = true;
                if !job.is_repeatable() || !job.may_retry() {
                    return Ok((*whole, sent));
                }
            }
            Err(failure @ (Failure::Closed | Failure::Unknown)) => {
                if matches!(failure, Failure::Closed) {
                    job.cut_off(&sent);
                }
                job.tried.push(sent.target.instance.clone());
                job.may_have_run = true;
                if !job.is_repeatable() || !job.may_retry() {
                    return Err(Refusal::failed("outcome_unknown"));
                }
            }
            Err(Failure::Late) => return Err(Refusal::late()),
        }
    }
}

/// Sends the request once.
async fn attempt(job: &Job, sent: &Dispatch) -> Result<Whole, Failure> {
    let mut counted = Counted {
        job,
        sent,
        end: Outcome::Cancelled,
    };
    let result = exchange(job, sent).await;
    counted.end = match &result {
        Ok(_) => Outcome::Complete,
        Err(Failure::NotRun) => Outcome::Shed,
        Err(Failure::Late) => Outcome::Cancelled,
        Err(_) => Outcome::Failed,
    };
    result
}

/// Takes the request off its worker again, also if the caller goes away.
struct Counted<'a> {
    job: &'a Job,
    sent: &'a Dispatch,
    end: Outcome,
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.job.release(self.sent, self.end, false);
    }
}

async fn exchange(job: &Job, sent: &Dispatch) -> Result<Whole, Failure> {
    let answer = send(job, sent, None).await.map_err(|error| match error {
        Error::NotSent => Failure::NotSent,
        Error::TimedOut => Failure::Late,
        Error::Closed => Failure::Closed,
        Error::Malformed => Failure::Unknown,
    })?;
    let verdict = judge(job, &answer);
    match verdict {
        Verdict::NotRun => return Err(Failure::NotRun),
        Verdict::Foreign => return Err(Failure::Unknown),
        Verdict::Answered | Verdict::Failed => {}
    }
    let whole = read(job, answer).await?;
    if verdict == Verdict::Failed {
        return Err(Failure::Failed(Box::new(whole)));
    }
    Ok(whole)
}

async fn read(job: &Job, mut answer: StreamingResponse) -> Result<Whole, Failure> {
    let mut body = Vec::new();
    let reading = async {
        let mut limited = (&mut answer.body).take(ANSWER_LIMIT);
        limited.read_to_end(&mut body).await
    };
    let late = async {
        Timer::after(job.left()).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    match or(reading, late).await {
        Ok(_) => Ok(Whole {
            status: answer.status,
            headers: cyclamen_relay::end_to_end(&answer.headers),
            body,
        }),
        Err(error) if error.kind() == io::ErrorKind::TimedOut => Err(Failure::Late),
        Err(_) => Err(Failure::Closed),
    }
}
