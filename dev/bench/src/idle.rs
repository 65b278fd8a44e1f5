//! What processes use while no requests come.

use std::time::Duration;

use clap::Args;
use serde::Serialize;

use crate::{report, usage};

/// Which processes to watch.
#[derive(Debug, Args)]
pub(crate) struct Options {
    /// Processes whose use is measured.
    #[arg(long, required = true)]
    pid: Vec<i32>,
    /// Seconds to watch for.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
}

#[derive(Debug, Serialize)]
struct Row {
    processes: usize,
    seconds: u64,
    core_percent_each: f64,
    memory_mb_each: f64,
}

pub(crate) fn run(options: &Options) -> eyre::Result<()> {
    let read = || -> eyre::Result<Vec<usage::Usage>> {
        options.pid.iter().map(|pid| usage::of(*pid)).collect()
    };
    let before = read()?;
    std::thread::sleep(Duration::from_secs(options.seconds));
    let after = read()?;
    let cpu = |all: &[usage::Usage]| all.iter().map(|u| u.cpu).sum::<f64>();
    let count = options.pid.len() as f64;
    let spent = cpu(&after) - cpu(&before);
    let memory: f64 = after.iter().map(|u| u.memory as f64).sum();
    report::print(&[Row {
        processes: options.pid.len(),
        seconds: options.seconds,
        core_percent_each: 100.0 * spent / count / options.seconds as f64,
        memory_mb_each: memory / count / 1e6,
    }])
}
