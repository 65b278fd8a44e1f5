//! A call with one key runs at most once, and a caller that receives "not run"
//! can rely on it.
//!
//! Callers send the same call repeatedly through several entries. Writes to the
//! table service are delayed, refused or lose their responses, the service is
//! unavailable at times, and entries crash, stall or are partitioned.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::Duration;

use cyclamen_cache::Revision;
use cyclamen_claim::{
    Acquisition, Action, Answer, Attempt, Attempts, Claimant, Digest, Event as Input, Progress,
    Record, Refusal, Report, State,
};
use cyclamen_types::{Time, entry};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const ENTRIES: usize = 3;

#[derive(Debug, Clone)]
enum Event {
    Call(usize),
    Step(usize, Delivery),
    DelayedWrite(usize),
    Send(usize),
    Finish(usize, Outcome),
    TimeOut(usize),
    Crash(usize),
}

/// How a call to the table service or to another entry is delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Delivery {
    Normal,
    Unavailable,
    ResponseLost,
    Delayed,
}

/// The outcome of a call that was sent to its endpoint.
#[derive(Debug, Clone, Copy)]
enum Outcome {
    Answered,
    AnswerLost,
    NotRun,
}

#[derive(Debug, Clone)]
struct NoState;

impl ReferenceStateMachine for NoState {
    type State = Self;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Event> {
        let delivery = prop_oneof![
            5 => Just(Delivery::Normal),
            1 => Just(Delivery::Unavailable),
            2 => Just(Delivery::ResponseLost),
            2 => Just(Delivery::Delayed),
        ];
        let outcome = prop_oneof![
            Just(Outcome::Answered),
            Just(Outcome::AnswerLost),
            Just(Outcome::NotRun),
        ];
        let index = 0..16_usize;
        prop_oneof![
            2 => (0..ENTRIES).prop_map(Event::Call),
            8 => (index.clone(), delivery).prop_map(|(i, d)| Event::Step(i, d)),
            2 => index.clone().prop_map(Event::DelayedWrite),
            3 => index.clone().prop_map(Event::Send),
            3 => (index.clone(), outcome).prop_map(|(i, o)| Event::Finish(i, o)),
            2 => index.prop_map(Event::TimeOut),
            1 => (0..ENTRIES).prop_map(Event::Crash),
        ]
        .boxed()
    }

    fn apply(state: Self, _: &Event) -> Self {
        state
    }
}

/// A call in progress at an entry.
#[derive(Debug)]
struct Call {
    entry: usize,
    attempt: Attempt,
    acquisition: Acquisition,
    next: Action,
    /// The revision at which the claim is held.
    held: Option<u64>,
    sent: bool,
}

#[derive(Debug)]
struct Entry {
    incarnation: u64,
    attempts: Attempts,
}

#[derive(Debug)]
struct Simulation {
    now: Time,
    entries: Vec<Entry>,
    calls: Vec<Call>,
    row: Option<Record>,
    revision: u64,
    /// Writes that may still take effect, each with the revision it expects.
    delayed_writes: Vec<(u64, Record)>,
    runs: u32,
    executed: Vec<Attempt>,
    reported_not_run: Vec<Attempt>,
    next_id: u64,
}

impl Simulation {
    fn write(&mut self, expected: u64, record: Record) -> Option<u64> {
        let current = if self.row.is_some() { self.revision } else { 0 };
        if current != expected {
            return None;
        }
        self.revision += 1;
        self.row = Some(record);
        Some(self.revision)
    }

    fn record(&self, entry: usize, attempt: Attempt) -> Record {
        Record {
            claimant: Claimant {
                entry: format!("e{entry}").parse().unwrap(),
                incarnation: entry::Incarnation(self.entries[entry].incarnation),
            },
            attempt,
            digest: Digest("same".into()),
            state: State::Claimed,
        }
    }

    /// Returns the result of another entry's query for an attempt of the claimant.
    fn query(&self, claimant: &Claimant, attempt: Attempt, delivery: Delivery) -> Progress {
        let found = (0..ENTRIES).find(|e| {
            claimant.entry.as_str() == format!("e{e}")
                && claimant.incarnation.0 == self.entries[*e].incarnation
        });
        match found {
            None => Progress::Unknown,
            Some(_) if delivery != Delivery::Normal => Progress::Sent,
            Some(entry) => self.entries[entry].attempts.progress(attempt),
        }
    }

    fn step(&mut self, at: usize, delivery: Delivery) {
        let action = self.calls[at].next.clone();
        let input = match action {
            Action::Read if delivery == Delivery::Unavailable => Input::ReadFailed,
            Action::Read => {
                let revision = if self.row.is_some() { self.revision } else { 0 };
                Input::Row(Revision::from(revision), self.row.clone())
            }
            Action::Write(expected, record) => match delivery {
                Delivery::Unavailable => Input::Unconfirmed,
                Delivery::Delayed => {
                    self.delayed_writes.push((expected.version, record));
                    Input::Unconfirmed
                }
                Delivery::Normal | Delivery::ResponseLost => {
                    let written = self.write(expected.version, record);
                    let confirmed = written.filter(|_| delivery == Delivery::Normal);
                    confirmed.map_or(Input::Unconfirmed, |r| Input::Committed(Revision::from(r)))
                }
            },
            Action::Query(claimant, attempt) => Input::Progress(Report {
                attempt,
                progress: self.query(&claimant, attempt, delivery),
            }),
            Action::Send(revision) => {
                self.calls[at].held = Some(revision.version);
                return;
            }
            Action::Replay(_) | Action::Refuse(_) => {
                self.respond_unsent(at);
                return;
            }
        };
        let call = &mut self.calls[at];
        call.next = call.acquisition.step(input);
    }

    /// Returns a refusal or the stored answer to the caller, and abandons the attempt.
    fn respond_unsent(&mut self, at: usize) {
        let call = self.calls.remove(at);
        self.entries[call.entry]
            .attempts
            .abandon(self.now, call.attempt);
        let not_run = [Refusal::StoreDown, Refusal::Mismatch];
        if matches!(call.next, Action::Refuse(refusal) if not_run.contains(&refusal)) {
            self.reported_not_run.push(call.attempt);
        }
    }

    /// Sends the call to its endpoint, if the entry may still send it.
    fn send(&mut self, at: usize) {
        let call = &mut self.calls[at];
        if call.held.is_none() || call.sent {
            return;
        }
        if self.entries[call.entry]
            .attempts
            .mark_sent(self.now, call.attempt)
        {
            call.sent = true;
        } else {
            self.calls.remove(at);
        }
    }

    /// Finishes a sent call: the endpoint ran it, or reports that it did not.
    fn finish(&mut self, at: usize, outcome: Outcome) {
        if !self.calls[at].sent {
            return;
        }
        let (entry, attempt) = (self.calls[at].entry, self.calls[at].attempt);
        if matches!(outcome, Outcome::NotRun) {
            self.entries[entry].attempts.reset(self.now, attempt);
            self.calls[at].sent = false;
            return;
        }
        self.runs += 1;
        self.executed.push(attempt);
        let call = self.calls.remove(at);
        let state = match outcome {
            Outcome::Answered => State::Done(Answer {
                status: 200,
                content_type: "text/plain".into(),
                body: "done".into(),
            }),
            _ => State::Unknown,
        };
        let record = self.record_in(entry, attempt, state);
        self.delayed_writes
            .extend(call.held.map(|revision| (revision, record)));
    }

    /// Times out the call; the caller gets "not run" only if the call can never be sent.
    fn time_out(&mut self, at: usize) {
        let (entry, attempt) = (self.calls[at].entry, self.calls[at].attempt);
        if self.entries[entry].attempts.abandon(self.now, attempt) {
            self.reported_not_run.push(attempt);
            let record = self.record_in(entry, attempt, State::NotRun);
            self.delayed_writes
                .extend(self.calls[at].held.map(|revision| (revision, record)));
        }
    }

    fn record_in(&self, entry: usize, attempt: Attempt, state: State) -> Record {
        Record {
            state,
            ..self.record(entry, attempt)
        }
    }
}

struct AtMostOnce;

impl StateMachineTest for AtMostOnce {
    type SystemUnderTest = Simulation;
    type Reference = NoState;

    fn init_test(_: &NoState) -> Simulation {
        let entry = |id| Entry {
            incarnation: id,
            attempts: Attempts::new(Duration::from_secs(3_600)),
        };
        Simulation {
            now: Time::from_millis(1_000),
            entries: (0..ENTRIES as u64).map(entry).collect(),
            calls: Vec::new(),
            row: None,
            revision: 0,
            delayed_writes: Vec::new(),
            runs: 0,
            executed: Vec::new(),
            reported_not_run: Vec::new(),
            next_id: 100,
        }
    }

    fn apply(mut sim: Simulation, _: &NoState, event: Event) -> Simulation {
        let calls = sim.calls.len();
        match event {
            Event::Call(entry) => {
                sim.next_id += 1;
                let attempt = Attempt(sim.next_id);
                sim.entries[entry].attempts.begin(sim.now, attempt);
                let mut acquisition = Acquisition::new(sim.record(entry, attempt));
                let next = acquisition.begin();
                sim.calls.push(Call {
                    entry,
                    attempt,
                    acquisition,
                    next,
                    held: None,
                    sent: false,
                });
            }
            Event::Step(index, delivery) if calls > 0 => sim.step(index % calls, delivery),
            Event::Send(index) if calls > 0 => sim.send(index % calls),
            Event::Finish(index, outcome) if calls > 0 => sim.finish(index % calls, outcome),
            Event::TimeOut(index) if calls > 0 => sim.time_out(index % calls),
            Event::DelayedWrite(index) if !sim.delayed_writes.is_empty() => {
                let at = index % sim.delayed_writes.len();
                let (expected, record) = sim.delayed_writes.remove(at);
                sim.write(expected, record);
            }
            Event::Crash(entry) => {
                sim.next_id += 1;
                sim.entries[entry] = Entry {
                    incarnation: sim.next_id,
                    attempts: Attempts::new(Duration::from_secs(3_600)),
                };
                // Calls that were sent still run, although their responses are lost.
                let orphans = sim
                    .calls
                    .iter()
                    .filter(|call| call.entry == entry && call.sent);
                let orphans: Vec<_> = orphans.map(|call| call.attempt).collect();
                sim.runs += orphans.len() as u32;
                sim.executed.extend(orphans);
                sim.calls.retain(|call| call.entry != entry);
            }
            _ => {}
        }
        sim
    }

    fn check_invariants(sim: &Simulation, _: &NoState) {
        assert!(sim.runs <= 1, "the call ran {} times", sim.runs);
        for attempt in &sim.executed {
            assert!(
                !sim.reported_not_run.contains(attempt),
                "\"not run\" was reported for an attempt that ran"
            );
        }
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 4_000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn a_call_runs_at_most_once(sequential 1..80 => AtMostOnce);
}

fn claimed(entry: &str, attempt: u64) -> Record {
    Record {
        claimant: Claimant {
            entry: entry.parse().unwrap(),
            incarnation: entry::Incarnation(1),
        },
        attempt: Attempt(attempt),
        digest: Digest("same".into()),
        state: State::Claimed,
    }
}

/// The first claimant abandons its attempt, and another entry claims the call before the row is
/// read again.
#[test]
fn a_report_does_not_concern_a_later_attempt() {
    let (first, second) = (claimed("e1", 1), claimed("e2", 2));
    let mut acquisition = Acquisition::new(claimed("e3", 3));
    assert_eq!(acquisition.begin(), Action::Read);
    let row = Input::Row(Revision::from(10), Some(first.clone()));
    let query = Action::Query(first.claimant, first.attempt);
    assert_eq!(acquisition.step(row), query);
    let report = Input::Progress(Report {
        attempt: first.attempt,
        progress: Progress::Abandoned,
    });
    assert_eq!(acquisition.step(report), Action::Read);
    let row = Input::Row(Revision::from(11), Some(second.clone()));
    let query = Action::Query(second.claimant, second.attempt);
    assert_eq!(acquisition.step(row), query);
}

#[test]
fn a_row_that_cannot_be_decoded_is_never_replaced() {
    let mut acquisition = Acquisition::new(claimed("e1", 1));
    assert_eq!(acquisition.begin(), Action::Read);
    let refused = Action::Refuse(Refusal::Unknown);
    assert_eq!(acquisition.step(Input::Undecodable), refused);
}
