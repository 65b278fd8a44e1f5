//! The steps from a call to its claim.

use cyclamen_cache::Revision;

use crate::attempts::Fate;
use crate::decision::{Decision, decide};
use crate::record::{Answer, Attempt, Claimant, Record};

/// Looks at the row before a claim is given up.
const LOOKS: u32 = 4;

/// What is to be done next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the row.
    Read,
    /// Write the record, on the condition that the row has this revision.
    Write(Revision, Record),
    /// Ask an entry what became of its attempt.
    Ask(Claimant, Attempt),
    /// The claim is held at this revision; the call may be sent.
    Send(Revision),
    /// Give the answer that is kept.
    Replay(Answer),
    /// Refuse the call.
    Refuse(Refusal),
}

/// Why a call is not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The table service does not answer; the call was not run.
    StoreDown,
    /// The key was used for another content; the call was not run.
    Mismatch,
    /// The call is in progress under this key.
    InProgress,
    /// The call may have run under this key.
    Unknown,
}

/// What has happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The row was read; zero and nothing if it is absent.
    Row(Revision, Option<Record>),
    /// The row could not be read.
    Unread,
    /// The write took effect at this revision.
    Committed(Revision),
    /// The write was refused, or its answer was lost.
    Uncertain,
    /// The claimant answered.
    Fate(Fate),
}

/// The steps from a call to its claim.
#[derive(Debug)]
pub struct Acquisition {
    record: Record,
    looks: u32,
    fate: Option<Fate>,
}

impl Acquisition {
    /// Begins with the record to be written.
    pub fn new(record: Record) -> Self {
        Self {
            record,
            looks: 0,
            fate: None,
        }
    }

    /// The first action.
    pub fn begin(&mut self) -> Action {
        self.look()
    }

    /// The action that follows an event.
    pub fn step(&mut self, event: Event) -> Action {
        match event {
            Event::Row(revision, row) => self.decide(revision, row.as_ref()),
            Event::Unread => Action::Refuse(Refusal::StoreDown),
            Event::Committed(revision) => Action::Send(revision),
            Event::Uncertain => self.look(),
            Event::Fate(fate) => {
                self.fate = Some(fate);
                self.look()
            }
        }
    }

    fn look(&mut self) -> Action {
        self.looks += 1;
        if self.looks > LOOKS {
            Action::Refuse(Refusal::StoreDown)
        } else {
            Action::Read
        }
    }

    fn decide(&mut self, revision: Revision, row: Option<&Record>) -> Action {
        let fate = self.fate.take();
        match decide(row, self.record.attempt, &self.record.digest, fate) {
            Decision::Claim => Action::Write(revision, self.record.clone()),
            Decision::Own => Action::Send(revision),
            Decision::Replay(answer) => Action::Replay(answer),
            Decision::Mismatch => Action::Refuse(Refusal::Mismatch),
            Decision::Ask(claimant, attempt) => Action::Ask(claimant, attempt),
            Decision::InProgress => Action::Refuse(Refusal::InProgress),
            Decision::Unknown => Action::Refuse(Refusal::Unknown),
        }
    }
}
