//! The monotonic clock of this process.

use std::time::Instant;

use cyclamen_types::Time;

/// The monotonic clock of this process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    origin: Instant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> Time {
        Time::from_elapsed(self.origin.elapsed())
    }
}
