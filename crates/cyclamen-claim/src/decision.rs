//! What to do about a call, given the row of its key.

use crate::attempts::Fate;
use crate::record::{Answer, Attempt, Claimant, Digest, Record, State};

/// What to do about a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Decision {
    /// Write the claim, on the condition that the row is as it was read.
    Claim,
    /// The claim is this attempt's own; its write was answered late.
    Own,
    /// The call has been answered before.
    Replay(Answer),
    /// The key was used for another content.
    Mismatch,
    /// Ask the claimant what became of its attempt.
    Ask(Claimant, Attempt),
    /// The call is in progress through another entry.
    InProgress,
    /// The call may or may not have run.
    Unknown,
}

/// Decides about a call, given the row of its key as last read.
///
/// `fate` is the claimant's answer about the attempt in that row, if it was
/// asked and answered.
pub(crate) fn decide(
    row: Option<&Record>,
    attempt: Attempt,
    digest: &Digest,
    fate: Option<Fate>,
) -> Decision {
    let Some(row) = row else {
        return Decision::Claim;
    };
    if row.digest != *digest {
        return Decision::Mismatch;
    }
    if row.attempt == attempt {
        return Decision::Own;
    }
    match (&row.state, fate) {
        (State::Done(answer), _) => Decision::Replay(answer.clone()),
        (State::NotRun, _) | (State::Claimed, Some(Fate::Abandoned)) => Decision::Claim,
        (State::Unknown, _) | (State::Claimed, Some(Fate::Forgotten)) => Decision::Unknown,
        (State::Claimed, Some(Fate::Claiming | Fate::Sent)) => Decision::InProgress,
        (State::Claimed, None) => Decision::Ask(row.claimant.clone(), row.attempt),
    }
}
