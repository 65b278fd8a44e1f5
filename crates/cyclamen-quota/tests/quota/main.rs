//! Rate limits of workers, and the permits that keep them.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod fleet;
mod issuer;
mod limits;
mod members;
mod naming;
mod permits;

use cyclamen_quota::Rate;
use cyclamen_types::{Time, instance};

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn rate(per_second: f64) -> Rate {
    Rate::new(per_second).unwrap()
}

fn worker() -> instance::Id {
    "w1".parse().unwrap()
}

const FIRST: instance::Incarnation = instance::Incarnation(1);
const SECOND: instance::Incarnation = instance::Incarnation(2);
