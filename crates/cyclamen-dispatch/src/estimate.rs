//! Mean times that follow the last samples.

use std::time::Duration;

/// The weight of one sample in the mean.
const WEIGHT: f64 = 0.05;

/// A mean duration in which old samples fade.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Estimate {
    mean: Duration,
}

impl Estimate {
    pub(crate) fn starting_at(mean: Duration) -> Self {
        Self { mean }
    }

    pub(crate) fn add(&mut self, sample: Duration) {
        let mean = self.mean.as_secs_f64() * (1.0 - WEIGHT) + sample.as_secs_f64() * WEIGHT;
        self.mean = Duration::from_secs_f64(mean);
    }

    pub(crate) fn mean(&self) -> Duration {
        self.mean
    }
}
