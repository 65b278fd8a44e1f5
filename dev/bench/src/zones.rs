//! Service while a zone leaves and returns, in virtual time.
//!
//! Admission is that of `cyclamen-domain`. An engine that has just become cold
//! falls over if it gets more than it bears, and has to load again.

mod site;

use clap::Args;
use serde::Serialize;

use crate::report;
use site::Site;

/// The size of the site and its load.
#[derive(Debug, Args)]
pub(crate) struct Options {
    /// Groups in each of three zones.
    #[arg(long, default_value_t = 4)]
    groups: usize,
    /// Requests in progress that a warm group bears.
    #[arg(long, default_value_t = 16)]
    warm: u32,
    /// Requests in progress that a cold group bears.
    #[arg(long, default_value_t = 2)]
    cold: u32,
    /// The offered load as a part of the capacity of all zones.
    #[arg(long, default_value_t = 0.6)]
    load: f64,
    /// Runs, each with a seed of its own.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
}

const OUT_AT: f64 = 120.0;
const IN_AT: f64 = 240.0;
const END: f64 = 480.0;

/// How requests are admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// By the owners of the domains: cold limits, ramps, queues.
    Owners,
    /// The same without cold limits and ramps.
    Rush,
    /// At random to any group that is up, up to its warm limit: the baseline.
    Random,
}

#[derive(Debug, Serialize)]
struct Row {
    way: String,
    whole_of_offered: f64,
    spread: f64,
    whole_after_return: f64,
    refused: f64,
    lost: f64,
    fallen: f64,
    worst_10s: f64,
}

#[derive(Debug, Default)]
struct Count {
    offered: Vec<u64>,
    whole: Vec<u64>,
    refused: u64,
    lost: u64,
    fallen: u64,
}

/// The ten seconds in which a moment lies.
fn slot(at: f64) -> usize {
    (at / 10.0) as usize
}

pub(crate) fn run(options: &Options) -> eyre::Result<()> {
    let ways = [
        ("owners with cold limits, ramps and queues", Way::Owners),
        ("owners without cold limits and ramps", Way::Rush),
        ("baseline: any group that is up, at random", Way::Random),
    ];
    let rows: Vec<_> = ways
        .iter()
        .map(|(name, way)| measure(options, name, *way))
        .collect();
    report::print(&rows)
}

fn measure(options: &Options, name: &str, way: Way) -> Row {
    let runs = (0..options.seeds).map(|seed| Site::new(options, way, seed).run());
    let runs: Vec<_> = runs.collect();
    let part = |count: &Count, from: usize, to: usize| {
        let whole: u64 = count.whole[from..to].iter().sum();
        let offered: u64 = count.offered[from..to].iter().sum();
        whole as f64 / offered.max(1) as f64
    };
    // The last slots hold requests that are still in progress.
    let last = slot(END) - 4;
    let whole: Vec<_> = runs.iter().map(|c| part(c, slot(OUT_AT), last)).collect();
    let after: Vec<_> = runs.iter().map(|c| part(c, slot(IN_AT), last)).collect();
    let worst = |c: &Count| {
        (slot(OUT_AT)..last)
            .map(|s| part(c, s, s + 1))
            .fold(f64::INFINITY, f64::min)
    };
    let mean = |of: fn(&Count) -> u64| {
        report::mean(&runs.iter().map(|c| of(c) as f64).collect::<Vec<_>>())
    };
    Row {
        way: name.to_string(),
        whole_of_offered: report::mean(&whole),
        spread: report::spread(&whole),
        whole_after_return: report::mean(&after),
        refused: mean(|c| c.refused),
        lost: mean(|c| c.lost),
        fallen: mean(|c| c.fallen),
        worst_10s: report::mean(&runs.iter().map(worst).collect::<Vec<_>>()),
    }
}
