//! A call with one key runs at most once, and a caller that receives "not run"
//! can rely on it.
//!
//! Callers send the same call repeatedly through several entries. Writes to the
//! table service are delayed, refused or lose their answers, the service is
//! unavailable at times, and entries crash, stall or are partitioned.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::Duration;

use cyclamen_cache::Revision;
use cyclamen_claim::{
    Acquisition, Action, Answer, Attempt, Attempts, Claimant, Digest, Event as Input, Progress,
    Record, Refusal, State,
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
    AnswerLost,
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
struct Stateless;

impl ReferenceStateMachine for Stateless {
    type State = Self;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Event> {
        let delivery = prop_oneof![
            5 => Just(Delivery::Normal),
            1 => Just(Delivery::Unavailable),
            2 => Just(Delivery::AnswerLost),
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
struct Job {
    entry: usize,
    attempt: Attempt,
    acquisition: Acquisition,
    next: Action,
    /// The revision at which the claim is held.
    held: Option<u64>,
    sent: bool,
}

#[derive(Debug)]
struct Node {
    incarnation: u64,
    attempts: Attempts,
}

#[derive(Debug)]
struct World {
    now: Time,
    nodes: Vec<Node>,
    jobs: Vec<Job>,
    row: Option<Record>,
    revision: u64,
    /// Writes that may still take effect, each with the revision it expects.
    delayed_writes: Vec<(u64, Record)>,
    runs: u32,
    executed: Vec<Attempt>,
    reported_not_run: Vec<Attempt>,
    next_id: u64,
}

impl World {
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
                incarnation: entry::Incarnation(self.nodes[entry].incarnation),
            },
            attempt,
            digest: Digest("same".into()),
            state: State::Claimed,
        }
    }

    /// Returns the claimant's answer to another entry's query for an attempt.
    fn query(&self, claimant: &Claimant, attempt: Attempt, delivery: Delivery) -> Progress {
        let found = (0..ENTRIES).find(|e| {
            claimant.entry.as_str() == format!("e{e}")
                && claimant.incarnation.0 == self.nodes[*e].incarnation
        });
        match found {
            None => Progress::Unknown,
            Some(_) if delivery != Delivery::Normal => Progress::Sent,
            Some(entry) => self.nodes[entry].attempts.progress(attempt),
        }
    }

    fn step(&mut self, at: usize, delivery: Delivery) {
        let action = self.jobs[at].next.clone();
        let input = match action {
            Action::Read if delivery == Delivery::Unavailable => Input::ReadFailed,
            Action::Read => {
                let revision = if self.row.is_some() { self.revision } else { 0 };
                Input::Row(Revision(revision), self.row.clone())
            }
            Action::Write(expected, record) => match delivery {
                Delivery::Unavailable => Input::Unconfirmed,
                Delivery::Delayed => {
                    self.delayed_writes.push((expected.0, record));
                    Input::Unconfirmed
                }
                Delivery::Normal | Delivery::AnswerLost => {
                    let written = self.write(expected.0, record);
                    let confirmed = written.filter(|_| delivery == Delivery::Normal);
                    confirmed.map_or(Input::Unconfirmed, |r| Input::Committed(Revision(r)))
                }
            },
            Action::Query(claimant, attempt) => {
                Input::Progress(self.query(&claimant, attempt, delivery))
            }
            Action::Send(revision) => {
                self.jobs[at].held = Some(revision.0);
                return;
            }
            Action::Replay(_) | Action::Refuse(_) => {
                self.answer_unsent(at);
                return;
            }
        };
        let job = &mut self.jobs[at];
        job.next = job.acquisition.step(input);
    }

    /// Answers the caller with a refusal or the stored answer, and abandons the attempt.
    fn answer_unsent(&mut self, at: usize) {
        let job = self.jobs.remove(at);
        self.nodes[job.entry]
            .attempts
            .abandon(self.now, job.attempt);
        let not_run = [Refusal::StoreDown, Refusal::Mismatch];
        if matches!(job.next, Action::Refuse(refusal) if not_run.contains(&refusal)) {
            self.reported_not_run.push(job.attempt);
        }
    }

    /// Sends the call to its endpoint, if the entry may still send it.
    fn send(&mut self, at: usize) {
        let job = &mut self.jobs[at];
        if job.held.is_none() || job.sent {
            return;
        }
        if self.nodes[job.entry]
            .attempts
            .mark_sent(self.now, job.attempt)
        {
            job.sent = true;
        } else {
            self.jobs.remove(at);
        }
    }

    /// Finishes a sent call: the endpoint ran it, or reports that it did not.
    fn finish(&mut self, at: usize, outcome: Outcome) {
        if !self.jobs[at].sent {
            return;
        }
        let (entry, attempt) = (self.jobs[at].entry, self.jobs[at].attempt);
        if matches!(outcome, Outcome::NotRun) {
            self.nodes[entry].attempts.reset(self.now, attempt);
            self.jobs[at].sent = false;
            return;
        }
        self.runs += 1;
        self.executed.push(attempt);
        let job = self.jobs.remove(at);
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
            .extend(job.held.map(|revision| (revision, record)));
    }

    /// Times out the call; the caller gets "not run" only if the call can never be sent.
    fn time_out(&mut self, at: usize) {
        let (entry, attempt) = (self.jobs[at].entry, self.jobs[at].attempt);
        if self.nodes[entry].attempts.abandon(self.now, attempt) {
            self.reported_not_run.push(attempt);
            let record = self.record_in(entry, attempt, State::NotRun);
            self.delayed_writes
                .extend(self.jobs[at].held.map(|revision| (revision, record)));
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
    type SystemUnderTest = World;
    type Reference = Stateless;

    fn init_test(_: &Stateless) -> World {
        let node = |entry| Node {
            incarnation: entry,
            attempts: Attempts::new(Duration::from_secs(3_600)),
        };
        World {
            now: Time::from_millis(1_000),
            nodes: (0..ENTRIES as u64).map(node).collect(),
            jobs: Vec::new(),
            row: None,
            revision: 0,
            delayed_writes: Vec::new(),
            runs: 0,
            executed: Vec::new(),
            reported_not_run: Vec::new(),
            next_id: 100,
        }
    }

    fn apply(mut world: World, _: &Stateless, event: Event) -> World {
        let jobs = world.jobs.len();
        match event {
            Event::Call(entry) => {
                world.next_id += 1;
                let attempt = Attempt(world.next_id);
                world.nodes[entry].attempts.begin(world.now, attempt);
                let mut acquisition = Acquisition::new(world.record(entry, attempt));
                let next = acquisition.begin();
                world.jobs.push(Job {
                    entry,
                    attempt,
                    acquisition,
                    next,
                    held: None,
                    sent: false,
                });
            }
            Event::Step(index, delivery) if jobs > 0 => world.step(index % jobs, delivery),
            Event::Send(index) if jobs > 0 => world.send(index % jobs),
            Event::Finish(index, outcome) if jobs > 0 => world.finish(index % jobs, outcome),
            Event::TimeOut(index) if jobs > 0 => world.time_out(index % jobs),
            Event::DelayedWrite(index) if !world.delayed_writes.is_empty() => {
                let at = index % world.delayed_writes.len();
                let (expected, record) = world.delayed_writes.remove(at);
                world.write(expected, record);
            }
            Event::Crash(entry) => {
                world.next_id += 1;
                world.nodes[entry] = Node {
                    incarnation: world.next_id,
                    attempts: Attempts::new(Duration::from_secs(3_600)),
                };
                // Calls that were sent still run, although their answers are lost.
                let orphans = world
                    .jobs
                    .iter()
                    .filter(|job| job.entry == entry && job.sent);
                let orphans: Vec<_> = orphans.map(|job| job.attempt).collect();
                world.runs += orphans.len() as u32;
                world.executed.extend(orphans);
                world.jobs.retain(|job| job.entry != entry);
            }
            _ => {}
        }
        world
    }

    fn check_invariants(world: &World, _: &Stateless) {
        assert!(world.runs <= 1, "the call ran {} times", world.runs);
        for attempt in &world.executed {
            assert!(
                !world.reported_not_run.contains(attempt),
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
