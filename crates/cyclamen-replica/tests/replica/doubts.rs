//! What an entry believes of workers by its own questions and by the word of others.

use std::collections::BTreeSet;
use std::time::Duration;

use cyclamen_replica::{Doubts, Start};
use cyclamen_types::{Time, entry, instance};

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn start(name: &str) -> Start {
    Start {
        instance: name.parse().unwrap(),
        incarnation: instance::Incarnation(1),
    }
}

fn entry(name: &str) -> entry::Name {
    name.parse().unwrap()
}

/// Two entries that tell each other what they doubt, as news does.
fn exchange(now: Time, one: &mut Doubts, other: &mut Doubts) {
    let told: Vec<Start> = one.own().cloned().collect();
    other.hear(now, &entry("one"), told);
    let told: Vec<Start> = other.own().cloned().collect();
    one.hear(now, &entry("other"), told);
}

#[test]
fn a_wrong_doubt_dies_out_where_it_arose() {
    let worker = start("w");
    let (mut one, mut other) = (Doubts::default(), Doubts::default());
    one.silent(at(0), &worker);
    exchange(at(10), &mut one, &mut other);
    assert!(other.is_doubted(&worker));
    // The worker answers both; nothing that was heard may bring the doubt back.
    other.answered(at(20), &worker);
    one.answered(at(30), &worker);
    for round in 0..20 {
        exchange(at(40 + round * 50), &mut one, &mut other);
        assert!(!one.is_doubted(&worker), "round {round}");
        assert!(!other.is_doubted(&worker), "round {round}");
    }
}

#[test]
fn what_is_heard_makes_an_entry_ask_once() {
    let worker = start("w");
    let mut doubts = Doubts::default();
    let told = [worker.clone()];
    assert_eq!(
        doubts.hear(at(0), &entry("other"), told.clone()),
        vec![worker.clone()]
    );
    assert!(doubts.hear(at(10), &entry("other"), told).is_empty());
    assert_eq!(doubts.own().count(), 0);
}

#[test]
fn an_answer_outweighs_what_is_heard_for_a_while() {
    let worker = start("w");
    let mut doubts = Doubts::default();
    doubts.answered(at(0), &worker);
    let told = [worker.clone()];
    assert!(
        doubts
            .hear(at(500), &entry("other"), told.clone())
            .is_empty()
    );
    assert!(!doubts.is_doubted(&worker));
    assert_eq!(doubts.hear(at(1_500), &entry("other"), told).len(), 1);
}

macro_rules! lost {
    ($($name:ident: $others:expr, $after:expr => $lost:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let worker = start("w");
                let mut doubts = Doubts::default();
                doubts.silent(at(0), &worker);
                let told: BTreeSet<Start> = $others.into_iter().map(start).collect();
                doubts.hear(at(1), &entry("other"), told);
                assert_eq!(doubts.is_lost(at($after), &worker), $lost);
            }
        )*
    };
}

lost! {
    a_worker_that_two_entries_doubt_is_lost_at_once: ["w"], 2 => true;
    a_worker_that_one_entry_doubts_is_not_lost_at_once: [], 500 => false;
    a_worker_that_one_entry_doubts_for_long_is_lost: [], 600 => true;
    doubts_of_another_worker_do_not_count: ["v"], 2 => false;
}

#[test]
fn a_doubt_that_is_not_confirmed_is_forgotten() {
    let worker = start("w");
    let mut doubts = Doubts::default();
    doubts.silent(at(0), &worker);
    assert!(!doubts.expire(at(2_900)));
    assert!(doubts.expire(at(0) + Duration::from_secs(3)));
    assert!(!doubts.is_doubted(&worker));
}
