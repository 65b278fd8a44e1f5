//! Separation of long and short prompts, in a model of engines that work in rounds.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::collections::VecDeque;
use std::time::Duration;

use cyclamen_dispatch::split::{Options, Size, Split};
use cyclamen_types::{Time, instance, model, pool};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const CHUNK: u64 = 2_048;
const SLOTS: usize = 34;
/// The latency goal, in milliseconds.
const GOAL_MS: f64 = 500.0;
/// The age of what callers' entry knows of a worker's queue, in milliseconds.
const LAG_MS: f64 = 250.0;

fn service() -> pool::Service {
    "llm".parse().unwrap()
}

fn model() -> model::Name {
    "large".parse().unwrap()
}

fn workers(count: usize) -> Vec<instance::Id> {
    (0..count)
        .map(|n| format!("w{n}").parse().unwrap())
        .collect()
}

fn at(ms: f64) -> Time {
    Time::from_millis(ms as u64)
}

/// Returns the duration of a round in milliseconds.
fn round_ms(prefilled: u64, running: usize) -> f64 {
    prefilled as f64 / 46.0 + 5.0 * (6.07 + 0.241 * running as f64)
}

/// A request that waits for its prefill, or runs.
#[derive(Debug, Clone)]
struct Job {
    arrived_ms: f64,
    tokens: u64,
    left: u64,
    rounds: u32,
}

/// An engine that prefills one chunk a round, in the order of arrival.
#[derive(Debug, Default)]
struct Engine {
    queue: VecDeque<Job>,
    running: Vec<Job>,
    round_ends_ms: Option<f64>,
    /// The queued tokens and the number of requests after each change.
    history: VecDeque<(f64, u64, usize)>,
}

impl Engine {
    fn record(&mut self, now_ms: f64) {
        let backlog = self.queue.iter().map(|job| job.left).sum();
        self.history
            .push_back((now_ms, backlog, self.running.len()));
        while self.history.len() > 1 && self.history[1].0 <= now_ms - LAG_MS {
            self.history.pop_front();
        }
    }

    fn known(&mut self, now_ms: f64) -> (u64, usize) {
        while self.history.len() > 1 && self.history[1].0 <= now_ms - LAG_MS {
            self.history.pop_front();
        }
        let known = self
            .history
            .front()
            .filter(|(at, ..)| *at <= now_ms - LAG_MS);
        known.map_or((0, 0), |(_, backlog, running)| (*backlog, *running))
    }

    /// Ends rounds and begins the next ones until a time; reports the waits of prompts that were read.
    fn advance(&mut self, now_ms: f64, waits: &mut Vec<(u64, f64)>) {
        while let Some(end_ms) = self.round_ends_ms.filter(|end_ms| *end_ms <= now_ms) {
            let begun = self
                .running
                .iter_mut()
                .filter(|job| job.left == 0 && job.rounds > 0);
            for job in begun {
                job.rounds -= 1;
            }
            for job in self.running.iter_mut().filter(|job| job.left > 0) {
                waits.push((job.tokens, end_ms - job.arrived_ms));
                job.left = 0;
            }
            self.running.retain(|job| job.rounds > 0);
            self.begin_round(end_ms);
        }
    }

    fn begin_round(&mut self, now_ms: f64) {
        let mut prefilled = 0;
        while prefilled < CHUNK && self.running.len() < SLOTS {
            let Some(job) = self.queue.front_mut() else {
                break;
            };
            let part = job.left.min(CHUNK - prefilled);
            prefilled += part;
            job.left -= part;
            if job.left > 0 {
                break;
            }
            let mut job = self.queue.pop_front().unwrap();
            // Its first token comes at the end of this round.
            job.left = 1;
            self.running.push(job);
        }
        let is_idle = self.running.is_empty() && self.queue.is_empty();
        self.round_ends_ms = (!is_idle).then(|| now_ms + round_ms(prefilled, self.running.len()));
        self.record(now_ms);
    }
}

/// A load pattern.
struct Load {
    engines: usize,
    per_second: f64,
    /// The share of long prompts among the requests.
    long: f64,
    /// Between these times in milliseconds, three times as many long prompts come.
    burst_ms: Option<(f64, f64)>,
}

/// The waits of short and of long prompts, in milliseconds.
struct Waits {
    short: Vec<f64>,
    long: Vec<f64>,
}

impl Waits {
    fn in_time(waits: &[f64]) -> f64 {
        waits.iter().filter(|wait| **wait <= GOAL_MS).count() as f64 / waits.len() as f64
    }

    fn p99(waits: &[f64]) -> f64 {
        let mut sorted = waits.to_vec();
        sorted.sort_by(f64::total_cmp);
        sorted[sorted.len() * 99 / 100]
    }
}

/// Plays 30 seconds of a load, with or without the separation.
fn play(load: &Load, separated: bool, seed: u64) -> Waits {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut engines: Vec<Engine> = (0..load.engines).map(|_| Engine::default()).collect();
    let names = workers(load.engines);
    let mut split = Split::new(Options::default());
    let mut waits = Vec::new();
    let mut now_ms = 0.0;
    while now_ms < 30_000.0 {
        now_ms += -(1.0 - rng.random::<f64>()).ln() * 1_000.0 / load.per_second;
        let in_burst = load
            .burst_ms
            .is_some_and(|(from, to)| from <= now_ms && now_ms < to);
        let long = if in_burst { load.long * 3.0 } else { load.long };
        let is_long = rng.random::<f64>() < long;
        let tokens = if is_long {
            rng.random_range(2_500..6_000)
        } else {
            rng.random_range(200..1_200)
        };
        let size = Size::of(tokens, CHUNK);
        split.record(at(now_ms), &service(), &model(), tokens, size);
        for engine in &mut engines {
            engine.advance(now_ms, &mut waits);
        }
        let known: Vec<_> = engines.iter_mut().map(|e| e.known(now_ms)).collect();
        let queued = known
            .iter()
            .map(|(backlog, _)| (*backlog as f64 / CHUNK as f64).min(1.0));
        let queued = queued.sum::<f64>() / load.engines as f64;
        let division = split
            .division(&service(), &model(), &names)
            .filter(|_| separated);
        let costs = known.iter().zip(&names).map(|((backlog, running), name)| {
            let beyond = tokens.saturating_sub(CHUNK);
            let rounds = 1.5 + (backlog + beyond) as f64 / CHUNK as f64;
            let wait_ms = round_ms(CHUNK, *running) * rounds;
            let apart = division
                .as_ref()
                .map_or(0.0, |d| d.cost(name, size, queued));
            wait_ms / GOAL_MS + apart + rng.random::<f64>() * 0.02
        });
        let best = costs
            .enumerate()
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .unwrap()
            .0;
        let engine = &mut engines[best];
        engine.queue.push_back(Job {
            arrived_ms: now_ms,
            tokens,
            left: tokens,
            rounds: rng.random_range(1..40),
        });
        if engine.round_ends_ms.is_none() {
            engine.begin_round(now_ms);
        } else {
            engine.record(now_ms);
        }
    }
    for engine in &mut engines {
        engine.advance(f64::MAX, &mut waits);
    }
    let of = |size| {
        let matching = waits
            .iter()
            .filter(move |(tokens, _)| Size::of(*tokens, CHUNK) == size);
        matching.map(|(_, wait)| *wait).collect()
    };
    Waits {
        short: of(Size::Short),
        long: of(Size::Long),
    }
}

macro_rules! loads {
    ($($name:ident: $engines:literal, $per_second:literal, $long:literal, $burst:expr;)*) => {$(
        #[test]
        fn $name() {
            let load = Load {
                engines: $engines,
                per_second: $per_second,
                long: $long,
                burst_ms: $burst,
            };
            let sum = |separated| {
                let plays = (0..3).map(|seed| play(&load, separated, seed));
                plays.fold(Waits { short: vec![], long: vec![] }, |mut sum, waits| {
                    sum.short.extend(waits.short);
                    sum.long.extend(waits.long);
                    sum
                })
            };
            let (before, after) = (sum(false), sum(true));
            for (kind, before, after) in [
                ("short", &before.short, &after.short),
                ("long", &before.long, &after.long),
            ] {
                println!(
                    "{kind}: in time {:.3} before, {:.3} after; p99 {:.0} ms before, {:.0} ms after",
                    Waits::in_time(before),
                    Waits::in_time(after),
                    Waits::p99(before),
                    Waits::p99(after)
                );
            }
            assert!(Waits::in_time(&after.short) > Waits::in_time(&before.short));
            assert!(Waits::in_time(&after.long) >= Waits::in_time(&before.long));
        }
    )*};
}

loads! {
    as_many_long_prompts_as_short_ones: 6, 30.0, 0.5, None;
    one_long_prompt_in_ten: 6, 50.0, 0.1, None;
    one_long_prompt_in_ten_on_many_workers: 20, 160.0, 0.1, None;
    a_burst_of_long_prompts: 6, 40.0, 0.1, Some((10_000.0, 13_000.0));
}

macro_rules! unchanged {
    ($($name:ident: $engines:literal, $per_second:literal, $long:literal;)*) => {$(
        #[test]
        fn $name() {
            let load = Load {
                engines: $engines,
                per_second: $per_second,
                long: $long,
                burst_ms: None,
            };
            let (before, after) = (play(&load, false, 0), play(&load, true, 0));
            assert_eq!(before.short, after.short);
            assert_eq!(before.long, after.long);
        }
    )*};
}

unchanged! {
    one_worker_is_used_as_before: 1, 8.0, 0.1;
    one_long_prompt_in_a_hundred_changes_nothing: 6, 55.0, 0.01;
    short_prompts_alone_are_spread_as_before: 6, 55.0, 0.0;
    long_prompts_alone_are_spread_as_before: 6, 15.0, 1.0;
}

fn recorded(long: u32, short: u32) -> Split {
    let mut split = Split::new(Options::default());
    for _ in 0..long {
        split.record(at(0.0), &service(), &model(), 4_000, Size::Long);
    }
    for _ in 0..short {
        split.record(at(0.0), &service(), &model(), 500, Size::Short);
    }
    split
}

#[test]
fn prompts_of_one_kind_are_not_separated() {
    let names = workers(6);
    assert_eq!(
        recorded(0, 100).division(&service(), &model(), &names),
        None
    );
    assert_eq!(
        recorded(100, 0).division(&service(), &model(), &names),
        None
    );
    assert_eq!(
        recorded(2, 100).division(&service(), &model(), &names),
        None
    );
}

#[test]
fn under_light_load_no_worker_is_avoided() {
    let names = workers(6);
    let division = recorded(10, 100)
        .division(&service(), &model(), &names)
        .unwrap();
    for name in &names {
        assert!(division.cost(name, Size::Long, 0.0) == 0.0);
        assert!(division.cost(name, Size::Short, 0.0) == 0.0);
    }
}

/// The preferred workers are as many as the long prompts' share of the work, whatever their number.
#[test]
fn long_prompts_prefer_their_share_of_the_workers() {
    for count in 1..20 {
        let names = workers(count);
        let division = recorded(10, 80)
            .division(&service(), &model(), &names)
            .unwrap();
        let preferred: f64 = names
            .iter()
            .map(|name| division.long_preference(name))
            .sum();
        assert!(
            (preferred - count as f64 / 2.0).abs() < 1e-6,
            "{count}: {preferred}"
        );
    }
}

/// A worker that is lost changes the preference of the others by one worker in sum.
#[test]
fn a_lost_worker_moves_the_division_by_one_at_most() {
    let names = workers(9);
    let split = recorded(10, 80);
    let before = split.division(&service(), &model(), &names).unwrap();
    for lost in &names {
        let rest: Vec<_> = names.iter().filter(|name| *name != lost).cloned().collect();
        let after = split.division(&service(), &model(), &rest).unwrap();
        let moved = rest
            .iter()
            .map(|name| (after.long_preference(name) - before.long_preference(name)).abs());
        assert!(moved.sum::<f64>() <= 1.0 + 1e-6);
    }
}

#[test]
fn long_prompts_that_no_longer_come_are_forgotten() {
    let mut split = recorded(10, 100);
    let later = Time::from_millis(0) + Duration::from_secs(60);
    for _ in 0..10 {
        split.record(later, &service(), &model(), 500, Size::Short);
    }
    assert_eq!(split.division(&service(), &model(), &workers(6)), None);
}
