//! CPU and memory use of a process, read from `/proc`.

use procfs::process::Process;

/// CPU time and memory of a process at one moment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Usage {
    /// User and system CPU time since the process started, in seconds.
    pub(crate) cpu: f64,
    /// Resident set size, in bytes.
    pub(crate) memory: u64,
}

/// Reads the current usage of a process.
pub(crate) fn read(pid: i32) -> eyre::Result<Usage> {
    let stat = Process::new(pid)?.stat()?;
    let ticks = (stat.utime + stat.stime) as f64;
    Ok(Usage {
        cpu: ticks / procfs::ticks_per_second() as f64,
        memory: stat.rss * procfs::page_size(),
    })
}
