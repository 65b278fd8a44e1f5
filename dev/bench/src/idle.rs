//! CPU and memory use of idle processes.

use std::time::Duration;

use clap::Args;
use serde::Serialize;

use crate::{report, usage};

/// Processes to measure and for how long.
#[derive(Debug, Args)]
pub(crate) struct Options {
    /// Process ID to measure; may be repeated.
    #[arg(long, required = true)]
    pid: Vec<i32>,
    /// Duration of the measurement, in seconds.
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
    let sample = || -> eyre::Result<Vec<usage::Usage>> {
        options.pid.iter().map(|pid| usage::read(*pid)).collect()
    };
    let before = sample()?;
    std::thread::sleep(Duration::from_secs(options.seconds));
    let after = sample()?;
    let total_cpu = |usages: &[usage::Usage]| usages.iter().map(|u| u.cpu).sum::<f64>();
    let count = options.pid.len() as f64;
    let cpu_seconds = total_cpu(&after) - total_cpu(&before);
    let total_memory: f64 = after.iter().map(|u| u.memory as f64).sum();
    report::print(&[Row {
        processes: options.pid.len(),
        seconds: options.seconds,
        core_percent_each: 100.0 * cpu_seconds / count / options.seconds as f64,
        memory_mb_each: total_memory / count / 1e6,
    }])
}
