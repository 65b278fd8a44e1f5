//! Tests of the decisions of a fabric domain's owner.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod donors;
mod found;
mod groups;
mod queue;
mod simulation;
mod takeover;
mod unlisted;
