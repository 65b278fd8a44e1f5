//! Finds a worker that begins to answer a request for a stream.

use std::time::Duration;

use cyclamen_dispatch::{Dispatch, Outcome};
use cyclamen_http::{Error, StreamingResponse};
use cyclamen_relay::EventBuffer;
use smol::Timer;
use smol::future::or;

use crate::front::answer::{Verdict, judge};
use crate::front::refusal::Refusal;
use crate::front::send::send;
use crate::front::stream::{Begun, Open, Part, Relay, SILENCE_TICK, first_event_due};
use crate::settings::span;
use crate::tasks;

/// The time after which callers may come back when no worker took their stream.
const RECONNECT_WAIT: Duration = Duration::from_millis(300);

/// Why a worker does not answer a request.
enum Miss {
    /// No connection was made; another worker may be tried.
    Unconnected,
    /// Another worker may be tried, as far as the retry budget allows.
    Again(Refusal),
    /// No other worker may be tried.
    Final(Refusal),
}

impl Relay {
    /// Sends the request to workers until one begins to answer.
    pub(super) async fn connect(&mut self) -> Result<Begun, Refusal> {
        loop {
            let sent = self.job.choose()?;
            match self.open(sent).await {
                Ok(head) => return Ok(head),
                Err(Miss::Final(refusal)) => return Err(refusal),
                Err(Miss::Unconnected) if self.job.left().is_zero() => {
                    return Err(Refusal::late());
                }
                Err(Miss::Unconnected) => {}
                Err(Miss::Again(_)) if self.job.may_retry() => {}
                Err(Miss::Again(refusal)) => return Err(refusal),
            }
        }
    }

    /// Sends the request to one worker.
    async fn open(&mut self, sent: Dispatch) -> Result<Begun, Miss> {
        let sending = Sending {
            relay: self,
            sent: &sent,
            done: false,
        };
        let answered = sending.run().await;
        match answered {
            Ok(answer) => self.judge(sent, answer),
            Err(Error::NotSent) => {
                self.job.release(&sent, Outcome::Failed, false);
                tasks::check_target(&self.job.node, &sent.target);
                if self.job.not_connected(&sent) {
                    return Err(Miss::Unconnected);
                }
                let refusal = Refusal::not_now("not_connected", RECONNECT_WAIT);
                Err(Miss::Final(refusal))
            }
            Err(error) => {
                let late = matches!(error, Error::TimedOut) && self.job.left().is_zero();
                self.job.release(
                    &sent,
                    if late {
                        Outcome::Cancelled
                    } else {
                        Outcome::Failed
                    },
                    false,
                );
                self.job.tried.push(sent.target.instance.clone());
                if matches!(error, Error::Closed) {
                    self.job.cut_off(&sent);
                }
                tasks::check_target(&self.job.node, &sent.target);
                Err(if late {
                    Miss::Final(Refusal::late())
                } else {
                    self.failed()
                })
            }
        }
    }

    /// What becomes of a request that may have run without an answer.
    fn failed(&mut self) -> Miss {
        self.job.may_have_run = true;
        let refusal = Refusal::failed("outcome_unknown");
        if self.may_resume() {
            Miss::Again(refusal)
        } else {
            Miss::Final(refusal)
        }
    }

    fn judge(&mut self, sent: Dispatch, answer: StreamingResponse) -> Result<Begun, Miss> {
        match judge(&self.job, &answer) {
            Verdict::NotRun => {
                self.job.release(&sent, Outcome::Shed, false);
                tasks::check_target(&self.job.node, &sent.target);
                self.job.tried.push(sent.target.instance.clone());
                let refusal = Refusal::not_now("shed", RECONNECT_WAIT);
                Err(Miss::Again(refusal))
            }
            Verdict::Foreign => {
                self.job.release(&sent, Outcome::Failed, false);
                self.job.tried.push(sent.target.instance.clone());
                Err(self.failed())
            }
            Verdict::Failed if self.may_resume() => {
                self.job.release(&sent, Outcome::Failed, false);
                self.job.tried.push(sent.target.instance.clone());
                self.job.may_have_run = true;
                Err(Miss::Again(Refusal::failed("endpoint_failed")))
            }
            Verdict::Answered | Verdict::Failed => {
                self.job.tried.push(sent.target.instance.clone());
                self.job.may_have_run = true;
                let head = Begun {
                    status: answer.status,
                    headers: cyclamen_relay::end_to_end(&answer.headers),
                    part: Part::End,
                };
                self.open = Some(Open {
                    heard: self.job.node.now(),
                    events: EventBuffer::default(),
                    started: false,
                    answer,
                    sent,
                });
                Ok(head)
            }
        }
    }
}

/// A request that is being sent; it is taken off its worker if the caller goes away.
struct Sending<'a> {
    relay: &'a Relay,
    sent: &'a Dispatch,
    done: bool,
}

impl Sending<'_> {
    async fn run(mut self) -> Result<StreamingResponse, Error> {
        let answer = self.wait().await;
        self.done = true;
        answer
    }

    /// Waits for the head of the answer while the worker's group is whole.
    async fn wait(&self) -> Result<StreamingResponse, Error> {
        let job = &self.relay.job;
        let sending = send(job, self.sent, self.relay.delivered);
        let watching = async {
            loop {
                Timer::after(SILENCE_TICK).await;
                let waited = job.node.now().since(self.sent.chosen_at);
                if waited < span(job.node.settings.timing.stall_ms) {
                    continue;
                }
                if job.node.state().lost_member(&self.sent.target) {
                    return Err(Error::Closed);
                }
                if waited >= first_event_due(self.sent) {
                    tasks::check_target(&job.node, &self.sent.target);
                }
            }
        };
        or(sending, watching).await
    }
}

impl Drop for Sending<'_> {
    fn drop(&mut self) {
        if !self.done {
            self.relay.job.release(self.sent, Outcome::Cancelled, false);
        }
    }
}
