//! Calls that must not be repeated, under an idempotency key set by the caller.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_cache::{Key, Revision};
use cyclamen_claim::{
    Acquisition, Action, Answer, Attempt, Claimant, Digest, Event, Progress, Record, Report, State,
};
use cyclamen_domain::Owner;
use cyclamen_platform::{Outcome, Transaction, keys};
use cyclamen_types::team;
use rand::Rng;
use sha2::{Digest as _, Sha256};
use smol::Timer;
use smol::future::or;

use crate::caller::plain::{Call, SendOutcome};
use crate::caller::refusal::Refusal;
use crate::node::Node;

/// Retry delay while the table service is down.
const STORE_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Retry delay while another entry runs the call.
const IN_PROGRESS_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of retries of the write of a result.
const MAX_RESULT_RETRIES: u32 = 120;
/// The longest time for which an answer waits for the write of its result.
const RESULT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between two writes of a result.
const RESULT_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;
/// Maximum size of the body of a stored answer, in bytes; the outcome of a call with a larger
/// one is recorded as unknown.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// A claim held by this entry: its row and the revision of the row.
struct Held {
    key: Key,
    revision: Revision,
    record: Record,
}

/// Runs a call at most once for its key.
pub(crate) async fn run(call: &mut Call, team: &team::Name, key: &str) -> Result<Answer, Refusal> {
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let message = "Idempotency-Key: has not 1 to 255 bytes";
        return Err(Refusal::invalid(400, "bad_idempotency_key", message));
    }
    let node = call.node.clone();
    let key = keys::claim(&row_name(call, team, key));
    let digest = digest(call);
    let attempt = Attempt(node.state().rng.random());
    node.state().attempts.begin(node.now(), attempt);
    let acquiring = acquire(&node, key, attempt, digest);
    let timeout = async {
        Timer::after(call.request.deadline.since(node.now())).await;
        Err(refusal_of(cyclamen_claim::Refusal::StoreDown))
    };
    let held = match or(acquiring, timeout).await {
        Ok(Claimed::Held(held)) => held,
        Ok(Claimed::Answered(answer)) => return Ok(answer),
        Err(refusal) => {
            node.state().attempts.abandon(node.now(), attempt);
            return Err(refusal);
        }
    };
    let result = send(call, attempt).await;
    let state = match &result {
        Ok(answer) if answer.body.len() <= MAX_ANSWER_BYTES => State::Done(answer.clone()),
        Err(refusal) if refusal.outcome == crate::caller::refusal::Outcome::NotRun => State::NotRun,
        _ => State::Unknown,
    };
    record_result(&node, held, state).await;
    result
}

/// Returns the name of the row. It includes the team, so that teams cannot see each other's keys.
fn row_name(call: &Call, team: &team::Name, key: &str) -> String {
    let hash = Sha256::digest(format!("{team}\n{}\n{key}", call.route.name));
    hash.iter().map(|b| format!("{b:02x}")).collect()
}

fn digest(call: &Call) -> Digest {
    let mut hasher = Sha256::new();
    hasher.update(call.method.as_str());
    hasher.update(call.target.as_str());
    hasher.update(&call.body);
    let digits: String = hasher
        .finalize()
        .iter()
        .map(|b| format!("{b:02x}"))
        .collect();
    Digest(digits.into())
}

/// The result of acquiring a claim.
enum Claimed {
    Held(Held),
    Answered(Answer),
}

/// Acquires the claim; fails if the call must not be sent.
async fn acquire(
    node: &Arc<Node>,
    key: Key,
    attempt: Attempt,
    digest: Digest,
) -> Result<Claimed, Refusal> {
    let me = node.state().me.clone();
    let record = Record {
        claimant: Claimant {
            entry: me.entry,
            incarnation: me.incarnation,
        },
        attempt,
        digest,
        state: State::Claimed,
    };
    let mut acquisition = Acquisition::new(record.clone());
    let mut action = acquisition.begin();
    loop {
        let event = match action {
            Action::Read => read(node, &key).await,
            Action::Write(revision, record) => write(node, &key, revision, &record).await,
            Action::Query(claimant, other) => Event::Progress(Report {
                attempt: other,
                progress: query(node, claimant, other).await,
            }),
            Action::Send(revision) => {
                return Ok(Claimed::Held(Held {
                    key,
                    revision,
                    record,
                }));
            }
            Action::Replay(answer) => return Ok(Claimed::Answered(answer)),
            Action::Refuse(refusal) => return Err(refusal_of(refusal)),
        };
        action = acquisition.step(event);
    }
}

async fn read(node: &Node, key: &Key) -> Event {
    let rows = match node.platform.read([key.clone()]).await {
        Ok(rows) => rows,
        Err(error) => {
            log::info!("event=claim_not_read key={key} reason=\"{error}\"");
            return Event::ReadFailed;
        }
    };
    let row = rows.into_iter().find(|row| row.value.is_some());
    let revision = row.as_ref().map_or(Revision::ABSENT, |row| row.revision);
    let Some(value) = row.and_then(|row| row.value) else {
        return Event::Row(revision, None);
    };
    match serde_json::from_str(&value) {
        Ok(record) => Event::Row(revision, Some(record)),
        Err(error) => {
            log::warn!("event=claim_not_understood key={key} reason=\"{error}\"");
            Event::Undecodable
        }
    }
}

async fn write(node: &Node, key: &Key, revision: Revision, record: &Record) -> Event {
    let claim = Transaction::default()
        .when(key.clone(), revision)
        .put(key.clone(), record);
    match node.platform.transact(&claim).await {
        Ok(Outcome::Committed(revision)) => Event::Committed(revision),
        Ok(Outcome::Conflict(_)) | Err(_) => Event::Unconfirmed,
    }
}

fn refusal_of(refusal: cyclamen_claim::Refusal) -> Refusal {
    match refusal {
        cyclamen_claim::Refusal::StoreDown => {
            Refusal::retry_later(503, "store_unavailable", STORE_RETRY_DELAY)
        }
        cyclamen_claim::Refusal::Mismatch => {
            let message = "Idempotency-Key: was used for another call";
            Refusal::invalid(422, "idempotency_mismatch", message)
        }
        cyclamen_claim::Refusal::InProgress => Refusal {
            status: 409,
            ..Refusal::unknown(
                "the call is in progress under this key",
                Some(IN_PROGRESS_RETRY_DELAY),
            )
        },
        cyclamen_claim::Refusal::Unknown => {
            let message = "the call may have run under this key; it is not run again";
            Refusal::unknown(message, None)
        }
    }
}

/// Queries the claimant for the progress of its attempt.
///
/// If the query fails, the call is assumed to have been sent.
async fn query(node: &Arc<Node>, claimant: Claimant, attempt: Attempt) -> Progress {
    let owner = Owner {
        entry: claimant.entry,
        incarnation: claimant.incarnation,
    };
    if node.state().me == owner {
        return node.state().attempts.progress(attempt);
    }
    let address = node.peer_address(&owner);
    let (Some(address), Some(peers)) = (address, node.peers()) else {
        return Progress::Unknown;
    };
    peers
        .query_progress(address, attempt)
        .await
        .unwrap_or(Progress::Sent)
}

/// Sends the claimed call at most once.
async fn send(call: &mut Call, attempt: Attempt) -> Result<Answer, Refusal> {
    let node = call.node.clone();
    loop {
        let admitted = call.admit().await.inspect_err(|_| {
            node.state().attempts.abandon(node.now(), attempt);
        })?;
        let may_send = node.state().attempts.mark_sent(node.now(), attempt);
        if !may_send {
            return Err(Refusal::retry_later(
                503,
                "attempt_abandoned",
                IN_PROGRESS_RETRY_DELAY,
            ));
        }
        match call.send(admitted).await {
            SendOutcome::Responded(response) => return Ok(response),
            SendOutcome::NotRun => {
                node.state().attempts.reset(node.now(), attempt);
                call.retry.record_retry(&node).inspect_err(|_| {
                    node.state().attempts.abandon(node.now(), attempt);
                })?;
            }
            SendOutcome::Unknown => {
                let message = "the endpoint's answer was lost; the call may have run";
                return Err(Refusal::unknown(message, None));
            }
        }
    }
}

/// Writes the result, which is replayed to callers that retry.
///
/// If the first write fails or takes long, it is retried in the background: the caller does not wait for it.
async fn record_result(node: &Arc<Node>, held: Held, state: State) {
    let record = Record {
        state,
        ..held.record
    };
    let write = Transaction::default()
        .when(held.key.clone(), held.revision)
        .put(held.key, &record);
    let first = async { node.platform.transact(&write).await.is_ok() };
    let timeout = async {
        Timer::after(RESULT_TIMEOUT).await;
        false
    };
    if or(first, timeout).await {
        return;
    }
    let node = node.clone();
    smol::spawn(async move {
        for _ in 0..MAX_RESULT_RETRIES {
            Timer::after(RESULT_RETRY_INTERVAL).await;
            if node.platform.transact(&write).await.is_ok() {
                return;
            }
        }
        log::warn!("event=result_not_recorded attempt={}", record.attempt);
    })
    .detach();
}
