//! What an entry remembers of its own attempts.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_types::Time;

use crate::record::Attempt;

/// What has become of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// The claim is being written; the call has not been sent.
    Claiming,
    /// The call may have been sent.
    Sent,
    /// The call was not sent and never will be.
    Abandoned,
    /// Nothing is remembered.
    Forgotten,
}

/// What an entry remembers of its own attempts.
#[derive(Debug)]
pub struct Attempts {
    lasting: Duration,
    fates: BTreeMap<Attempt, Memory>,
}

#[derive(Debug)]
struct Memory {
    fate: Fate,
    since: Time,
}

impl Attempts {
    /// No attempts; each is remembered for `lasting` after its last change.
    pub fn new(lasting: Duration) -> Self {
        Self {
            lasting,
            fates: BTreeMap::new(),
        }
    }

    /// Begins an attempt, before its claim is written.
    pub fn begin(&mut self, now: Time, attempt: Attempt) {
        let lasting = self.lasting;
        self.fates.retain(|_, m| now.since(m.since) <= lasting);
        self.set(now, attempt, Fate::Claiming);
    }

    /// Whether the call may be sent; from then on it counts as sent.
    pub fn send(&mut self, now: Time, attempt: Attempt) -> bool {
        let may = self.fate(attempt) == Fate::Claiming;
        if may {
            self.set(now, attempt, Fate::Sent);
        }
        may
    }

    /// Gives an attempt up before it is sent; whether that was still possible.
    pub fn abandon(&mut self, now: Time, attempt: Attempt) -> bool {
        let may = matches!(self.fate(attempt), Fate::Claiming | Fate::Abandoned);
        if may {
            self.set(now, attempt, Fate::Abandoned);
        }
        may
    }

    /// Takes note that a sent call certainly did not run, by the endpoint's own word.
    ///
    /// The claim is still held, and the call may be sent again.
    pub fn recall(&mut self, now: Time, attempt: Attempt) {
        if self.fate(attempt) == Fate::Sent {
            self.set(now, attempt, Fate::Claiming);
        }
    }

    /// What has become of an attempt.
    pub fn fate(&self, attempt: Attempt) -> Fate {
        self.fates.get(&attempt).map_or(Fate::Forgotten, |m| m.fate)
    }

    fn set(&mut self, now: Time, attempt: Attempt, fate: Fate) {
        self.fates.insert(attempt, Memory { fate, since: now });
    }
}
