//! The state machine that acquires the claim for a call.

use cyclamen_cache::Revision;

use crate::attempts::Report;
use crate::decision::{Decision, decide};
use crate::record::{Answer, Attempt, Claimant, Record};

/// Maximum number of reads of the row before the acquisition fails.
const MAX_READS: u32 = 4;

/// The next action for the caller of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the row.
    Read,
    /// Write the record, on the condition that the row has this revision.
    Write(Revision, Record),
    /// Query an entry for the progress of its attempt.
    Query(Claimant, Attempt),
    /// The claim is held at this revision; the call may be sent.
    Send(Revision),
    /// Replay the stored answer.
    Replay(Answer),
    /// Refuse the call.
    Refuse(Refusal),
}

/// The reason why a call is not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The table service is unavailable or did not confirm the claim; the call was not run.
    StoreDown,
    /// The key was used for a call with different content; the call was not run.
    Mismatch,
    /// A call with this key is in progress.
    InProgress,
    /// A call with this key may have run.
    Unknown,
}

/// The result of an action.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The row was read; an absent row has revision zero and no record.
    Row(Revision, Option<Record>),
    /// The row could not be read.
    ReadFailed,
    /// The row was read, but its value cannot be decoded.
    Undecodable,
    /// The write took effect at this revision.
    Committed(Revision),
    /// The write was refused or its response was lost.
    Unconfirmed,
    /// The claimant was queried for the progress of its attempt.
    ///
    /// A claimant that does not respond may have sent the call: [`Progress::Sent`](crate::Progress::Sent).
    Progress(Report),
}

/// A state machine that acquires the claim for a call.
///
/// It does no I/O: the caller executes each [`Action`] and passes its result as an [`Event`].
#[derive(Debug)]
pub struct Acquisition {
    record: Record,
    reads: u32,
    report: Option<Report>,
}

impl Acquisition {
    /// Creates the state machine for the record to be written.
    pub fn new(record: Record) -> Self {
        Self {
            record,
            reads: 0,
            report: None,
        }
    }

    /// Returns the first action.
    pub fn begin(&mut self) -> Action {
        self.read()
    }

    /// Returns the action that follows an event.
    pub fn step(&mut self, event: Event) -> Action {
        match event {
            Event::Row(revision, row) => self.decide(revision, row.as_ref()),
            Event::ReadFailed => Action::Refuse(Refusal::StoreDown),
            // A call may have been claimed by the row, or have been sent.
            Event::Undecodable => Action::Refuse(Refusal::Unknown),
            Event::Committed(revision) => Action::Send(revision),
            Event::Unconfirmed => self.read(),
            Event::Progress(report) => {
                self.report = Some(report);
                self.read()
            }
        }
    }

    fn read(&mut self) -> Action {
        self.reads += 1;
        if self.reads > MAX_READS {
            Action::Refuse(Refusal::StoreDown)
        } else {
            Action::Read
        }
    }

    fn decide(&mut self, revision: Revision, row: Option<&Record>) -> Action {
        let report = self.report.take();
        match decide(row, self.record.attempt, &self.record.digest, report) {
            Decision::Claim => Action::Write(revision, self.record.clone()),
            Decision::Held => Action::Send(revision),
            Decision::Replay(answer) => Action::Replay(answer),
            Decision::Mismatch => Action::Refuse(Refusal::Mismatch),
            Decision::Query(claimant, attempt) => Action::Query(claimant, attempt),
            Decision::InProgress => Action::Refuse(Refusal::InProgress),
            Decision::Unknown => Action::Refuse(Refusal::Unknown),
        }
    }
}
