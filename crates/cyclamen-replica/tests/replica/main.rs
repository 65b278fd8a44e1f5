//! Which workers form replica groups, and which of them are there.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod counts;
mod detector;
mod groups;
mod simulation;
