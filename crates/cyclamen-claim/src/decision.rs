//! The decision on a call, given the row of its key.

use crate::attempts::{Progress, Report};
use crate::record::{Answer, Attempt, Claimant, Digest, Record, State};

/// The decision on a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Decision {
    /// Write the claim, on the condition that the row has not changed since it was read.
    Claim,
    /// This attempt already holds the claim; its write took effect, but the response was late
    /// or lost.
    Held,
    /// The call has been answered already.
    Replay(Answer),
    /// The key was used for a call with different content.
    Mismatch,
    /// Query the claimant for the progress of its attempt.
    Query(Claimant, Attempt),
    /// The call is in progress through another entry.
    InProgress,
    /// The call may or may not have run.
    Unknown,
}

/// Decides on a call, given the row of its key as last read.
///
/// `report` is the last response of a claimant. It counts only if it concerns the attempt in
/// that row: another entry may have claimed the call since the query.
pub(crate) fn decide(
    row: Option<&Record>,
    attempt: Attempt,
    digest: &Digest,
    report: Option<Report>,
) -> Decision {
    let Some(row) = row else {
        return Decision::Claim;
    };
    if row.digest != *digest {
        return Decision::Mismatch;
    }
    if row.attempt == attempt {
        return Decision::Held;
    }
    let report = report.filter(|report| report.attempt == row.attempt);
    match (&row.state, report.map(|report| report.progress)) {
        (State::Done(answer), _) => Decision::Replay(answer.clone()),
        (State::NotRun, _) | (State::Claimed, Some(Progress::Abandoned)) => Decision::Claim,
        (State::Unknown, _) | (State::Claimed, Some(Progress::Unknown)) => Decision::Unknown,
        (State::Claimed, Some(Progress::Claiming | Progress::Sent)) => Decision::InProgress,
        (State::Claimed, None) => Decision::Query(row.claimant.clone(), row.attempt),
    }
}
