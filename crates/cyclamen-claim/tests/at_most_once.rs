//! A call under one key runs at most once, and "not run" is true.
//!
//! Callers send the same call again and again through several entries. Writes
//! to the table service are late, are refused or lose their answers; the
//! service is down at times; entries die, freeze and are cut off.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::Duration;

use cyclamen_cache::Revision;
use cyclamen_claim::{
    Acquisition, Action, Answer, Attempt, Attempts, Claimant, Digest, Event as Input, Fate, Record,
    Refusal, State,
};
use cyclamen_types::{Time, entry};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const ENTRIES: usize = 3;

#[derive(Debug, Clone)]
enum Event {
    Call(usize),
    Step(usize, Luck),
    LateWrite(usize),
    Send(usize),
    End(usize, End),
    TimeOut(usize),
    Kill(usize),
}

/// What happens to a call of the table service or of another entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Luck {
    Fine,
    Down,
    AnswerLost,
    Late,
}

/// What becomes of a call that is sent to its endpoint.
#[derive(Debug, Clone, Copy)]
enum End {
    Answered,
    AnswerLost,
    NotRun,
}

#[derive(Debug, Clone)]
struct Nothing;

impl ReferenceStateMachine for Nothing {
    type State = Self;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Event> {
        let luck = prop_oneof![
            5 => Just(Luck::Fine),
            1 => Just(Luck::Down),
            2 => Just(Luck::AnswerLost),
            2 => Just(Luck::Late),
        ];
        let end = prop_oneof![
            Just(End::Answered),
            Just(End::AnswerLost),
            Just(End::NotRun),
        ];
        let pick = 0..16_usize;
        prop_oneof![
            2 => (0..ENTRIES).prop_map(Event::Call),
            8 => (pick.clone(), luck).prop_map(|(p, l)| Event::Step(p, l)),
            2 => pick.clone().prop_map(Event::LateWrite),
            3 => pick.clone().prop_map(Event::Send),
            3 => (pick.clone(), end).prop_map(|(p, e)| Event::End(p, e)),
            2 => pick.prop_map(Event::TimeOut),
            1 => (0..ENTRIES).prop_map(Event::Kill),
        ]
        .boxed()
    }

    fn apply(state: Self, _: &Event) -> Self {
        state
    }
}

/// One call at one entry.
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
    /// Writes that may still take effect.
    late: Vec<(u64, Record)>,
    runs: u32,
    ran: Vec<Attempt>,
    said_not_run: Vec<Attempt>,
    next: u64,
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

    /// What the claimant says of an attempt, as the entries ask each other.
    fn ask(&self, claimant: &Claimant, attempt: Attempt, luck: Luck) -> Fate {
        let found = (0..ENTRIES).find(|e| {
            claimant.entry.as_str() == format!("e{e}")
                && claimant.incarnation.0 == self.nodes[*e].incarnation
        });
        match found {
            None => Fate::Forgotten,
            Some(_) if luck != Luck::Fine => Fate::Sent,
            Some(entry) => self.nodes[entry].attempts.fate(attempt),
        }
    }

    fn step(&mut self, at: usize, luck: Luck) {
        let action = self.jobs[at].next.clone();
        let input = match action {
            Action::Read if luck == Luck::Down => Input::Unread,
            Action::Read => {
                let revision = if self.row.is_some() { self.revision } else { 0 };
                Input::Row(Revision(revision), self.row.clone())
            }
            Action::Write(expected, record) => match luck {
                Luck::Down => Input::Uncertain,
                Luck::Late => {
                    self.late.push((expected.0, record));
                    Input::Uncertain
                }
                Luck::Fine | Luck::AnswerLost => {
                    let written = self.write(expected.0, record);
                    let known = written.filter(|_| luck == Luck::Fine);
                    known.map_or(Input::Uncertain, |r| Input::Committed(Revision(r)))
                }
            },
            Action::Ask(claimant, attempt) => Input::Fate(self.ask(&claimant, attempt, luck)),
            Action::Send(revision) => {
                self.jobs[at].held = Some(revision.0);
                return;
            }
            Action::Replay(_) | Action::Refuse(_) => {
                self.finish(at);
                return;
            }
        };
        let job = &mut self.jobs[at];
        job.next = job.acquisition.step(input);
    }

    /// The caller gets a refusal or a kept answer; the attempt is given up.
    fn finish(&mut self, at: usize) {
        let job = self.jobs.remove(at);
        self.nodes[job.entry]
            .attempts
            .abandon(self.now, job.attempt);
        let not_run = [Refusal::StoreDown, Refusal::Mismatch];
        if matches!(job.next, Action::Refuse(refusal) if not_run.contains(&refusal)) {
            self.said_not_run.push(job.attempt);
        }
    }

    /// The call goes to its endpoint, if the entry still may send it.
    fn send(&mut self, at: usize) {
        let job = &mut self.jobs[at];
        if job.held.is_none() || job.sent {
            return;
        }
        if self.nodes[job.entry].attempts.send(self.now, job.attempt) {
            job.sent = true;
        } else {
            self.jobs.remove(at);
        }
    }

    /// The endpoint ran the call, or says that it did not.
    fn end(&mut self, at: usize, end: End) {
        if !self.jobs[at].sent {
            return;
        }
        let (entry, attempt) = (self.jobs[at].entry, self.jobs[at].attempt);
        if matches!(end, End::NotRun) {
            self.nodes[entry].attempts.recall(self.now, attempt);
            self.jobs[at].sent = false;
            return;
        }
        self.runs += 1;
        self.ran.push(attempt);
        let job = self.jobs.remove(at);
        let state = match end {
            End::Answered => State::Done(Answer {
                status: 200,
                content_type: "text/plain".into(),
                body: "done".into(),
            }),
            _ => State::Unknown,
        };
        let record = self.record_in(entry, attempt, state);
        self.late
            .extend(job.held.map(|revision| (revision, record)));
    }

    /// The caller's time is up; it hears "not run" if that is certain for good.
    fn time_out(&mut self, at: usize) {
        let (entry, attempt) = (self.jobs[at].entry, self.jobs[at].attempt);
        if self.nodes[entry].attempts.abandon(self.now, attempt) {
            self.said_not_run.push(attempt);
            let record = self.record_in(entry, attempt, State::NotRun);
            self.late
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
    type Reference = Nothing;

    fn init_test(_: &Nothing) -> World {
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
            late: Vec::new(),
            runs: 0,
            ran: Vec::new(),
            said_not_run: Vec::new(),
            next: 100,
        }
    }

    fn apply(mut world: World, _: &Nothing, event: Event) -> World {
        let jobs = world.jobs.len();
        match event {
            Event::Call(entry) => {
                world.next += 1;
                let attempt = Attempt(world.next);
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
            Event::Step(pick, luck) if jobs > 0 => world.step(pick % jobs, luck),
            Event::Send(pick) if jobs > 0 => world.send(pick % jobs),
            Event::End(pick, end) if jobs > 0 => world.end(pick % jobs, end),
            Event::TimeOut(pick) if jobs > 0 => world.time_out(pick % jobs),
            Event::LateWrite(pick) if !world.late.is_empty() => {
                let at = pick % world.late.len();
                let (expected, record) = world.late.remove(at);
                world.write(expected, record);
            }
            Event::Kill(entry) => {
                world.next += 1;
                world.nodes[entry] = Node {
                    incarnation: world.next,
                    attempts: Attempts::new(Duration::from_secs(3_600)),
                };
                // What was sent runs, though nobody is left to hear of it.
                let orphans = world
                    .jobs
                    .iter()
                    .filter(|job| job.entry == entry && job.sent);
                let orphans: Vec<_> = orphans.map(|job| job.attempt).collect();
                world.runs += orphans.len() as u32;
                world.ran.extend(orphans);
                world.jobs.retain(|job| job.entry != entry);
            }
            _ => {}
        }
        world
    }

    fn check_invariants(world: &World, _: &Nothing) {
        assert!(world.runs <= 1, "the call ran {} times", world.runs);
        for attempt in &world.ran {
            assert!(
                !world.said_not_run.contains(attempt),
                "\"not run\" was said of a run"
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
