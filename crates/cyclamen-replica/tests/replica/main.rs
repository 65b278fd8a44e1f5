//! Tests of the formation of replica groups and of the failure detection of workers.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod balance;
mod conversion;
mod counts;
mod demand;
mod detector;
mod groups;
mod loads;
mod odd;
mod reach;
mod simulation;
