//! The memory that requests share.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::Duration;

use cyclamen_relay::Intake;
use cyclamen_relay::intake::{Growth, Options, Upload};
use cyclamen_types::Time;
use proptest::prelude::*;

const OPTIONS: Options = Options {
    limit: 1_000,
    reserve: 200,
    small: 20,
    stall: Duration::from_secs(1),
    step: 10,
};

fn upload(intake: &Intake, bytes: usize) -> Upload {
    let mut upload = intake.upload(Time::default());
    assert_eq!(upload.grow(Time::default(), bytes), Growth::Granted);
    upload
}

/// Names each case: large requests that hold the memory, and what another one gets.
macro_rules! short {
    ($($name:ident: $bytes:expr, after $ms:expr, moved $moved:expr, complete $complete:expr => $growth:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let intake = Intake::new(OPTIONS);
                let mut held = [upload(&intake, 500), upload(&intake, 300)];
                let now = Time::from_millis($ms);
                for upload in &mut held {
                    upload.record(now, $moved);
                    if $complete {
                        assert!(upload.complete());
                    }
                }
                let mut other = intake.upload(now);
                assert_eq!(other.grow(now, $bytes), $growth);
            }
        )*
    };
}

short! {
    large_bodies_that_move_stay: 30, after 1_000, moved 10, complete false => Growth::Refused;
    large_bodies_that_trickle_go: 30, after 1_000, moved 9, complete false => Growth::Evicting;
    large_bodies_that_have_just_begun_stay: 30, after 999, moved 0, complete false => Growth::Refused;
    complete_requests_stay: 30, after 60_000, moved 0, complete true => Growth::Refused;
    small_requests_pass: 20, after 0, moved 10, complete false => Growth::Granted;
}

#[test]
fn the_request_that_holds_most_goes_first() {
    let intake = Intake::new(OPTIONS);
    let mut less = upload(&intake, 300);
    let mut most = upload(&intake, 500);
    let now = Time::from_millis(1_000);
    let mut other = intake.upload(now);
    assert_eq!(other.grow(now, 30), Growth::Evicting);
    assert!(!most.complete());
    assert!(less.complete());
    // Nobody else goes until it has given back what it held.
    assert_eq!(other.grow(now, 30), Growth::Evicting);
    drop(most);
    assert_eq!(other.grow(now, 30), Growth::Granted);
}

#[test]
fn a_request_that_is_alone_is_served_whatever_its_size() {
    let intake = Intake::new(OPTIONS);
    let mut alone = upload(&intake, 700);
    assert_eq!(alone.grow(Time::default(), 700), Growth::Granted);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(42),
        ..ProptestConfig::default()
    })]

    /// Requests together never hold more than the limit, unless one is alone; all is free again after they
    /// end, whatever ends them; and a request that is told to wait gets an answer once the evicted one ends.
    #[test]
    fn what_is_reserved_is_given_back(
        steps in prop::collection::vec((0..8_usize, 0..400_usize, 0..5, 0..3_000_u64), 0..80),
    ) {
        let intake = Intake::new(OPTIONS);
        let mut held: Vec<(Upload, usize)> = Vec::new();
        held.extend((0..8).map(|_| (intake.upload(Time::default()), 0)));
        for (index, bytes, step, ms) in steps {
            let now = Time::from_millis(ms);
            match step {
                0 => held[index] = (intake.upload(now), 0),
                1 => held[index].0.record(now, bytes),
                2 => {
                    held[index].0.complete();
                }
                _ => {
                    let (upload, sum) = &mut held[index];
                    if upload.grow(now, bytes) == Growth::Granted {
                        *sum += bytes;
                        let holders = held.iter().filter(|(_, held)| *held > 0).count();
                        prop_assert!(intake.reserved() <= OPTIONS.limit || holders == 1);
                    }
                }
            }
            let sum: usize = held.iter().map(|(_, held)| held).sum();
            prop_assert_eq!(intake.reserved(), sum);
        }
        drop(held);
        prop_assert_eq!(intake.reserved(), 0);
    }
}
