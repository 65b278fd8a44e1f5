//! What a process uses, read from the operating system.

use procfs::process::Process;

/// What a process has used so far.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Usage {
    /// Processor time in seconds.
    pub(crate) cpu: f64,
    /// Resident memory in bytes.
    pub(crate) memory: u64,
}

/// Reads what a process has used so far.
pub(crate) fn of(pid: i32) -> eyre::Result<Usage> {
    let stat = Process::new(pid)?.stat()?;
    let ticks = (stat.utime + stat.stime) as f64;
    Ok(Usage {
        cpu: ticks / procfs::ticks_per_second() as f64,
        memory: stat.rss * procfs::page_size(),
    })
}
