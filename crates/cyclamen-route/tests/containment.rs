//! Containment of parts of prompts that crash groups.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::collections::BTreeSet;
use std::time::Duration;

use cyclamen_route::Strikes;
use cyclamen_route::containment::{
    Answer, Crash, Decision, Fingerprint, Options, Part, Strike, Verdict,
};
use cyclamen_types::{Time, group};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const OPTIONS: Options = Options {
    strike_limit: 3,
    part_strike_limit: 3,
    common_cause_window: Duration::ZERO,
    strike_lifetime: Duration::from_secs(600),
    gossip_duration: Duration::from_secs(5),
};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn parts(ids: &[&str]) -> Vec<Part> {
    ids.iter().map(|id| Part::new(*id)).collect()
}

fn request(number: usize) -> Fingerprint {
    Fingerprint::of_parts([number.to_le_bytes().as_slice()])
}

/// A strike of a group's crash against a request with these parts.
fn strike(number: usize, crash: usize, ids: &[&str]) -> Strike {
    Strike {
        fingerprint: request(number),
        crash: Crash {
            domain: "d".parse().unwrap(),
            group: format!("g{crash}").parse().unwrap(),
            fence: group::Fence(1),
        },
        parts: parts(ids).into(),
    }
}

fn answers(ids: &[&str]) -> Vec<Answer> {
    parts(ids).iter().map(Answer::now).collect()
}

/// What an entry learns: a strike at a time, or an answer.
enum News {
    Strike(u64, usize, usize, &'static [&'static str]),
    Answer(u64, &'static [&'static str]),
}

use News::{Answer as A, Strike as S};

macro_rules! contained {
    ($($name:ident: [$($news:expr),* $(,)?] => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut strikes = Strikes::new(OPTIONS);
            let news: &[News] = &[$($news),*];
            for news in news {
                match *news {
                    S(ms, number, crash, ids) => {
                        strikes.record(at(ms), strike(number, crash, ids));
                    }
                    A(ms, ids) => strikes.record_answers(at(ms), answers(ids)),
                }
            }
            let expected: &[&str] = &$expected;
            let expected: BTreeSet<Part> = parts(expected).into_iter().collect();
            assert_eq!(*strikes.contained(), expected);
        }
    )*};
}

contained! {
    two_crashes_contain_nothing: [S(1, 1, 1, &["a", "g"]), S(2, 2, 2, &["a", "g"])] => [];
    one_request_alone_contains_no_part: [
        S(1, 1, 1, &["g"]), S(2, 1, 2, &["g"]), S(3, 1, 3, &["g"]), S(4, 1, 4, &["g"]),
    ] => [];
    one_crash_contains_no_part: [
        S(1, 1, 1, &["g"]), S(1, 2, 1, &["g"]), S(1, 3, 1, &["g"]), S(1, 4, 1, &["g"]),
    ] => [];
    of_two_parts_the_one_that_was_never_answered_is_contained: [
        A(0, &["a"]),
        S(1, 1, 1, &["a", "g"]), S(2, 2, 2, &["a", "g"]), S(3, 3, 3, &["a", "g"]),
    ] => ["g"];
    of_two_parts_the_later_is_contained_if_neither_was_answered: [
        S(1, 1, 1, &["a", "g"]), S(2, 2, 2, &["a", "g"]), S(3, 3, 3, &["a", "g"]),
    ] => ["g"];
    what_ran_beside_the_guilty_part_is_not_contained: [
        S(1, 1, 1, &["g"]), S(1, 10, 1, &["m"]),
        S(2, 2, 2, &["g"]), S(2, 11, 2, &["m"]),
        S(3, 3, 3, &["g"]), S(3, 12, 3, &["m"]),
        S(4, 4, 4, &["g"]),
    ] => ["g"];
    an_answer_clears_earlier_crashes: [
        S(1, 1, 1, &["m"]), S(2, 2, 2, &["m"]), A(3, &["m"]), S(4, 3, 3, &["m"]),
    ] => [];
    an_answer_releases_a_part: [
        S(1, 1, 1, &["m"]), S(2, 2, 2, &["m"]), S(3, 3, 3, &["m"]), A(4, &["m"]),
    ] => [];
    crashes_at_once_do_not_count_against_an_answered_part: [
        A(0, &["a"]),
        S(1, 1, 1, &["a"]), S(2, 2, 2, &["a"]), S(3, 3, 3, &["a"]), S(4, 4, 4, &["a"]),
    ] => [];
    crashes_apart_contain_a_part_that_was_answered_before: [
        A(0, &["a"]),
        S(1_000, 1, 1, &["a"]), S(2_000, 2, 2, &["a"]), S(3_000, 3, 3, &["a"]),
    ] => ["a"];
    an_answer_clears_crashes_that_were_apart: [
        S(1_000, 1, 1, &["a"]), S(2_000, 2, 2, &["a"]), A(2_500, &["a"]), S(3_000, 3, 3, &["a"]),
    ] => [];
    an_answer_releases_a_part_whose_crashes_were_apart: [
        A(0, &["a"]),
        S(1_000, 1, 1, &["a"]), S(2_000, 2, 2, &["a"]), S(3_000, 3, 3, &["a"]),
        A(3_500, &["a"]),
    ] => [];
    two_guilty_parts_are_contained: [
        S(1, 1, 1, &["g"]), S(2, 2, 2, &["g"]), S(3, 3, 3, &["g"]),
        S(4, 4, 4, &["h"]), S(5, 5, 5, &["h"]), S(6, 6, 6, &["h"]),
    ] => ["g", "h"];
}

#[test]
fn requests_with_a_contained_part_are_refused_until_its_strikes_expire() {
    let mut strikes = Strikes::new(OPTIONS);
    for number in 1..=3 {
        strikes.record(at(number as u64), strike(number, number, &["g"]));
    }
    assert_eq!(
        strikes.take_verdicts(),
        [Verdict::Contained(Part::new("g"))]
    );
    let fresh = request(99);
    let decide = |strikes: &Strikes, ms, ids| strikes.decide(at(ms), &fresh, &parts(ids));
    assert_eq!(decide(&strikes, 10, &["a", "g"]), Decision::Refuse);
    assert_eq!(decide(&strikes, 10, &["a"]), Decision::Allow);
    let expires_in = strikes.expires_in(at(1_001), &fresh, &parts(&["g"]));
    assert_eq!(expires_in, Duration::from_secs(599));
    strikes.release_expired(at(600_002));
    assert_eq!(decide(&strikes, 600_002, &["g"]), Decision::Allow);
    assert_eq!(strikes.take_verdicts(), [Verdict::Released(Part::new("g"))]);
}

#[test]
fn a_crash_that_a_part_explains_does_not_count_against_other_requests() {
    let mut strikes = Strikes::new(OPTIONS);
    for crash in 1..=3 {
        strikes.record(at(crash as u64), strike(50, crash, &["a"]));
    }
    assert_eq!(strikes.decide(at(4), &request(50), &[]), Decision::Refuse);
    for crash in 1..=3 {
        strikes.record(at(5), strike(crash, crash, &["a", "g"]));
    }
    assert_eq!(strikes.decide(at(6), &request(50), &[]), Decision::Allow);
}

macro_rules! evidence {
    ($($name:ident: [$(($number:expr, $crash:expr)),*];)*) => {$(
        /// The evidence against a part suffices to contain it at another entry.
        #[test]
        fn $name() {
            let mut strikes = Strikes::new(OPTIONS);
            let recorded = [$(strike($number, $crash, &["a", "g"])),*];
            strikes.record_all(at(1), recorded);
            let guilty: BTreeSet<Part> = parts(&["g"]).into_iter().collect();
            assert_eq!(*strikes.contained(), guilty);
            let mut other = Strikes::new(OPTIONS);
            other.record_all(at(10), strikes.evidence(at(10), &Part::new("g")));
            assert_eq!(*other.contained(), guilty);
        }
    )*};
}

evidence! {
    evidence_of_a_crash_for_each_request: [(1, 1), (2, 2), (3, 3), (4, 4), (5, 5)];
    evidence_of_requests_that_crashed_several_groups: [(1, 1), (1, 2), (2, 1), (3, 1), (3, 3)];
}

/// The first part of a prompt; one for each caller.
const FIRST: [&str; 3] = ["f0", "f1", "f2"];
/// Parts that some requests of several callers share.
const MIDDLE: [&str; 6] = ["m0", "m1", "m2", "m3", "m4", "m5"];
const GUILTY: &str = "g";
const GROUPS: usize = 12;
/// The interval at which entries exchange strikes and answers, in events.
const GOSSIP_INTERVAL: usize = 4;

/// A request: its first part, its middle part, and whether it has the guilty part.
type Prompt = (usize, usize, bool);

fn prompt_parts((first, middle, guilty): Prompt) -> Vec<&'static str> {
    let mut ids = vec![FIRST[first], MIDDLE[middle]];
    if guilty {
        ids.push(GUILTY);
    }
    ids
}

/// Some requests that run on one group, each sent by an entry.
fn batch() -> impl Strategy<Value = (Vec<(usize, Prompt)>, usize)> {
    let prompt = (0..FIRST.len(), 0..MIDDLE.len(), prop::bool::weighted(0.15));
    (prop::collection::vec((0..3_usize, prompt), 1..8), 0..GROUPS)
}

fn gossip(entries: &mut [Strikes], now: Time) {
    for from in 0..entries.len() {
        let sent = entries[from].to_gossip(now, false, 64);
        let answers = entries[from].answers_to_gossip(now, &sent);
        for to in (0..entries.len()).filter(|to| *to != from) {
            entries[to].record_answers(now, answers.clone());
            for strike in &sent {
                entries[to].record(now, strike.clone());
            }
        }
    }
}

/// Exchanges what two entries of a fleet know, in both directions.
fn exchange(entries: &mut [Strikes], now: Time, one: usize, other: usize) {
    for (from, to) in [(one, other), (other, one)] {
        let sent = entries[from].to_gossip(now, false, 64);
        let answers = entries[from].answers_to_gossip(now, &sent);
        entries[to].record_answers(now, answers);
        entries[to].record_all(now, sent);
    }
}

/// In a large fleet each entry gossips with two others at random each 250 ms. Crashes that three
/// of them saw have to be known to all within the time that the users' sheets give, 3 s.
#[test]
fn crashes_are_known_to_hundreds_of_entries_in_time() {
    const ENTRIES: usize = 300;
    const PARTNERS: usize = 2;
    const INTERVAL_MS: u64 = 250;
    const BOUND_MS: u64 = 3_000;
    for seed in 0..5 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut entries: Vec<_> = (0..ENTRIES).map(|_| Strikes::new(OPTIONS)).collect();
        for (number, entry) in entries.iter_mut().take(3).enumerate() {
            entry.record(at(0), strike(number, number, &["a", "g"]));
        }
        for ms in (0..BOUND_MS).step_by(INTERVAL_MS as usize) {
            for entry in 0..ENTRIES {
                for _ in 0..PARTNERS {
                    let other = rng.random_range(0..ENTRIES);
                    exchange(&mut entries, at(ms), entry, other);
                }
            }
        }
        let knowing = entries.iter().filter(|e| e.contained().len() == 1);
        assert_eq!(knowing.count(), ENTRIES, "seed {seed}");
    }
}

fn config() -> Config {
    Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Whatever runs beside it, the guilty part is contained after a few crashes, by all entries;
    /// sound requests are not refused once the entries have exchanged what they know and requests
    /// with their parts were answered.
    #[test]
    fn only_the_guilty_part_is_contained(batches in prop::collection::vec(batch(), 20..120)) {
        let mut entries = [(); 3].map(|()| Strikes::new(OPTIONS));
        let mut number = 0;
        let mut crashes = 0;
        for (step, (requests, group)) in batches.into_iter().enumerate() {
            let now = at(step as u64 * 200);
            let mut running = Vec::new();
            for (entry, prompt) in requests {
                number += 1;
                let ids = parts(&prompt_parts(prompt));
                let decision = entries[entry].decide(now, &request(number), &ids);
                if decision != Decision::Refuse {
                    running.push((entry, number, prompt));
                }
            }
            let crash = running.iter().any(|(_, _, (_, _, guilty))| *guilty);
            crashes += usize::from(crash);
            for (entry, number, prompt) in running {
                let ids = prompt_parts(prompt);
                if crash {
                    let crash = group + GROUPS * step;
                    entries[entry].record(now, strike(number, crash, &ids));
                } else {
                    entries[entry].record_answers(now, answers(&ids));
                }
            }
            if step % GOSSIP_INTERVAL == 0 {
                gossip(&mut entries, now);
            }
        }
        // Three crashes show the part; others may happen until entries have told each other.
        prop_assert!(crashes <= 3 + 2 * GOSSIP_INTERVAL, "{} crashes", crashes);
        let now = at(30_000);
        for ids in FIRST.iter().flat_map(|f| MIDDLE.iter().map(move |m| [*f, *m])) {
            entries[0].record_answers(now, answers(&ids));
        }
        let sound = |p: &Part| p.as_str() != GUILTY;
        prop_assert!(!entries[0].contained().iter().any(sound));
    }

    /// The order in which an entry learns of crashes makes no difference.
    #[test]
    fn entries_that_know_the_same_crashes_agree(
        known in prop::collection::vec((0..30_usize, 0..8_usize, 0..FIRST.len(), 0..MIDDLE.len(), any::<bool>()), 1..40),
        order in any::<prop::sample::Index>(),
    ) {
        let mut entries = [(); 2].map(|()| Strikes::new(OPTIONS));
        let shift = order.index(known.len());
        let (head, tail) = known.split_at(shift);
        for (entry, list) in entries.iter_mut().zip([[head, tail], [tail, head]]) {
            // A request has the same parts in each of its crashes.
            for (number, crash, ..) in list.concat() {
                let (_, _, first, middle, guilty) = known[number % known.len()];
                let ids = prompt_parts((first, middle, guilty));
                entry.record(at(1), strike(number, crash, &ids));
            }
        }
        prop_assert_eq!(entries[0].contained(), entries[1].contained());
    }
}
