//! Calls that may not be repeated, under a key that the caller chose.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_cache::{Key, Revision};
use cyclamen_claim::{
    Acquisition, Action, Answer, Attempt, Claimant, Digest, Event, Progress, Record, State,
};
use cyclamen_domain::Owner;
use cyclamen_platform::{Outcome, Transaction, keys};
use cyclamen_types::team;
use rand::Rng;
use sha2::{Digest as _, Sha256};
use smol::Timer;

use crate::caller::plain::{Call, Try};
use crate::caller::refusal::Refusal;
use crate::node::Node;

/// When to come back while the table service is down.
const STORE_RETRY: Duration = Duration::from_secs(5);
/// When to come back while another entry runs the call.
const BUSY_RETRY: Duration = Duration::from_secs(1);
/// Writes of a result before it is given up, and the time between two.
const RESULT_WRITES: u32 = 120;
const RESULT_RETRY: Duration = Duration::from_secs(1);
/// The longest key, in bytes.
const KEY_LIMIT: usize = 255;
/// The largest answer that is kept, in bytes.
const ANSWER_LIMIT: usize = 64 << 10;

/// A claim that is held: the row and its revision.
struct Held {
    key: Key,
    revision: Revision,
    record: Record,
}

/// Runs a call at most once for its key.
pub(crate) async fn run(call: &mut Call, team: &team::Name, key: &str) -> Result<Answer, Refusal> {
    if key.is_empty() || key.len() > KEY_LIMIT {
        let message = "Idempotency-Key: has not 1 to 255 bytes";
        return Err(Refusal::invalid(400, "bad_idempotency_key", message));
    }
    let node = call.node.clone();
    let key = keys::claim(&row_name(call, team, key));
    let digest = digest(call);
    let attempt = Attempt(node.state().rng.random());
    node.state().attempts.begin(node.now(), attempt);
    let held = match obtain(&node, key, attempt, digest).await {
        Ok(Claimed::Held(held)) => held,
        Ok(Claimed::Answered(answer)) => return Ok(answer),
        Err(refusal) => {
            node.state().attempts.abandon(node.now(), attempt);
            return Err(refusal);
        }
    };
    let result = send(call, attempt).await;
    let state = match &result {
        Ok(answer) if answer.body.len() <= ANSWER_LIMIT => State::Done(answer.clone()),
        Err(refusal) if refusal.outcome == crate::caller::refusal::Outcome::NotRun => State::NotRun,
        _ => State::Unknown,
    };
    record(&node, held, state).await;
    result
}

/// The name of the row: teams cannot see each other's keys.
fn row_name(call: &Call, team: &team::Name, key: &str) -> String {
    let hash = Sha256::digest(format!("{team}\n{}\n{key}", call.route.name));
    hash.iter().map(|b| format!("{b:02x}")).collect()
}

fn digest(call: &Call) -> Digest {
    let mut hasher = Sha256::new();
    hasher.update(call.method.as_str());
    hasher.update(call.path.as_bytes());
    hasher.update(&call.body);
    let digits: String = hasher
        .finalize()
        .iter()
        .map(|b| format!("{b:02x}"))
        .collect();
    Digest(digits.into())
}

/// What came of asking for a claim.
enum Claimed {
    Held(Held),
    Answered(Answer),
}

/// Obtains the claim, or says why the call is not to be sent.
async fn obtain(
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
            Action::Query(claimant, other) => Event::Progress(ask(node, claimant, other).await),
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
    let record = row.and_then(|row| {
        let decoded = serde_json::from_str(row.value.as_deref()?);
        let decoded = decoded.inspect_err(|error| {
            log::warn!("event=claim_not_understood key={key} reason=\"{error}\"");
        });
        decoded.ok()
    });
    Event::Row(revision, record)
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
            Refusal::not_now(503, "store_unavailable", STORE_RETRY)
        }
        cyclamen_claim::Refusal::Mismatch => {
            let message = "Idempotency-Key: was used for another call";
            Refusal::invalid(422, "idempotency_mismatch", message)
        }
        cyclamen_claim::Refusal::InProgress => Refusal {
            status: 409,
            ..Refusal::unknown("the call is in progress under this key", Some(BUSY_RETRY))
        },
        cyclamen_claim::Refusal::Unknown => {
            let message = "the call may have run under this key; it is not run again";
            Refusal::unknown(message, None)
        }
    }
}

/// Asks the claimant; an entry that does not answer may have sent the call.
async fn ask(node: &Arc<Node>, claimant: Claimant, attempt: Attempt) -> Progress {
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
        let may = node.state().attempts.mark_sent(node.now(), attempt);
        if !may {
            return Err(Refusal::not_now(503, "attempt_abandoned", BUSY_RETRY));
        }
        match call.send(admitted).await {
            Try::Answered(answer) => return Ok(answer),
            Try::NotRun => {
                node.state().attempts.reset(node.now(), attempt);
                call.trail.again(&node).inspect_err(|_| {
                    node.state().attempts.abandon(node.now(), attempt);
                })?;
            }
            Try::Unknown => {
                let message = "the endpoint's answer was lost; the call may have run";
                return Err(Refusal::unknown(message, None));
            }
        }
    }
}

/// Writes the result for callers that ask again, in the background if it takes long.
async fn record(node: &Arc<Node>, held: Held, state: State) {
    let record = Record {
        state,
        ..held.record
    };
    let write = Transaction::default()
        .when(held.key.clone(), held.revision)
        .put(held.key, &record);
    if node.platform.transact(&write).await.is_ok() {
        return;
    }
    let node = node.clone();
    smol::spawn(async move {
        for _ in 0..RESULT_WRITES {
            Timer::after(RESULT_RETRY).await;
            if node.platform.transact(&write).await.is_ok() {
                return;
            }
        }
        log::warn!("event=result_not_recorded attempt={}", record.attempt);
    })
    .detach();
}
