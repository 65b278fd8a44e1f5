//! A monotonic clock that also advances while the instance is suspended.

use std::time::Duration;

use cyclamen_types::Time;
use rustix::time::{ClockId, clock_gettime};

/// A clock that measures the time since its creation, including time in which the instance
/// was suspended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    origin: Duration,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self {
            origin: read_boottime(),
        }
    }

    pub(crate) fn now(&self) -> Time {
        Time::from_elapsed(read_boottime().saturating_sub(self.origin))
    }
}

fn read_boottime() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
