//! Simulation of admission while a zone leaves and returns, in virtual time.
//!
//! Admission is implemented by `cyclamen-domain`. A cold engine crashes if its
//! requests in progress exceed its cold limit, and has to load again.

mod site;

use clap::Args;
use serde::Serialize;

use crate::report;
use site::Site;

/// Size of the site and its load.
#[derive(Debug, Args)]
pub(crate) struct Options {
    /// Groups in each of three zones.
    #[arg(long, default_value_t = 4)]
    groups: usize,
    /// Maximum number of requests in progress per warm group.
    #[arg(long, default_value_t = 16)]
    warm: u32,
    /// Maximum number of requests in progress per cold group.
    #[arg(long, default_value_t = 2)]
    cold: u32,
    /// Offered load as a fraction of the capacity of all zones.
    #[arg(long, default_value_t = 0.6)]
    load: f64,
    /// Number of runs, each with its own seed.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
}

const ZONE_OUT_AT_S: f64 = 120.0;
const ZONE_IN_AT_S: f64 = 240.0;
const END_AT_S: f64 = 480.0;

/// Method of admitting requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Admission {
    /// The owners of the domains admit requests, with cold limits, ramps and queues.
    Owners,
    /// Same as `Owners`, but without cold limits and ramps.
    OwnersUnramped,
    /// Baseline: a random group, without a queue; refuses if the group is down or at its warm
    /// limit.
    Random,
}

#[derive(Debug, Serialize)]
struct Row {
    /// Method of admitting requests.
    way: String,
    /// Fraction of the offered requests that completed, counted from when the zone leaves.
    whole_of_offered: f64,
    /// Spread of `whole_of_offered` over the runs.
    spread: f64,
    /// Fraction of the offered requests that completed, counted from when the zone returns.
    whole_after_return: f64,
    refused: f64,
    lost: f64,
    /// Number of engine crashes.
    fallen: f64,
    /// Lowest fraction of completed requests in a ten-second window.
    worst_10s: f64,
}

#[derive(Debug, Default)]
struct Counts {
    offered: Vec<u64>,
    complete: Vec<u64>,
    refused: u64,
    lost: u64,
    crashed: u64,
}

/// Returns the index of the ten-second window that contains a time in seconds.
fn window(at: f64) -> usize {
    (at / 10.0) as usize
}

pub(crate) fn run(options: &Options) -> eyre::Result<()> {
    let methods = [
        (
            "owners with cold limits, ramps and queues",
            Admission::Owners,
        ),
        (
            "owners without cold limits and ramps",
            Admission::OwnersUnramped,
        ),
        (
            "baseline: any group that is up, at random",
            Admission::Random,
        ),
    ];
    let rows: Vec<_> = methods
        .iter()
        .map(|(name, admission)| measure(options, name, *admission))
        .collect();
    report::print(&rows)
}

fn measure(options: &Options, name: &str, admission: Admission) -> Row {
    let runs = (0..options.seeds).map(|seed| Site::new(options, admission, seed).run());
    let runs: Vec<_> = runs.collect();
    let complete_ratio = |counts: &Counts, from: usize, to: usize| {
        let complete: u64 = counts.complete[from..to].iter().sum();
        let offered: u64 = counts.offered[from..to].iter().sum();
        complete as f64 / offered.max(1) as f64
    };
    // Excludes the last windows, which have requests that are still in progress.
    let last = window(END_AT_S) - 4;
    let complete: Vec<_> = runs
        .iter()
        .map(|c| complete_ratio(c, window(ZONE_OUT_AT_S), last))
        .collect();
    let after_return: Vec<_> = runs
        .iter()
        .map(|c| complete_ratio(c, window(ZONE_IN_AT_S), last))
        .collect();
    let worst = |c: &Counts| {
        (window(ZONE_OUT_AT_S)..last)
            .map(|w| complete_ratio(c, w, w + 1))
            .fold(f64::INFINITY, f64::min)
    };
    let mean = |field: fn(&Counts) -> u64| {
        report::mean(&runs.iter().map(|c| field(c) as f64).collect::<Vec<_>>())
    };
    Row {
        way: name.to_string(),
        whole_of_offered: report::mean(&complete),
        spread: report::spread(&complete),
        whole_after_return: report::mean(&after_return),
        refused: mean(|c| c.refused),
        lost: mean(|c| c.lost),
        fallen: mean(|c| c.crashed),
        worst_10s: report::mean(&runs.iter().map(worst).collect::<Vec<_>>()),
    }
}
