//! How fast a worker is, as a multiple of the forecast.

use std::time::Duration;

use cyclamen_types::Time;

/// The smallest and the largest pace.
const BOUNDS: (f64, f64) = (0.5, 8.0);
/// The time in which half of what was learnt is forgotten.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// The factor by which one sample may differ from what was learnt; the rest of it is cut off.
const MAX_FACTOR: f64 = 2.0;
/// The number of samples as forecast that are counted besides, so that the first ones don't decide.
const PRIOR_SAMPLES: f64 = 1.0;
/// The largest weight of the samples before the last one.
const MAX_WEIGHT: f64 = 6.0;

/// The pace of a worker, learnt from the times of its responses: an EWMA of the logarithm, which
/// returns to the forecast when there are no more samples.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Pace {
    log: f64,
    weight: f64,
    at: Time,
}

impl Pace {
    /// Records that a response took `ratio` times as long as forecast.
    pub(crate) fn record(&mut self, now: Time, ratio: f64) {
        if !ratio.is_finite() || ratio <= 0.0 {
            return;
        }
        let weight = self.weight_at(now).min(MAX_WEIGHT);
        let step = MAX_FACTOR.ln();
        let sample = bounded(ratio).ln().clamp(self.log - step, self.log + step);
        self.log = (self.log * weight + sample) / (weight + 1.0);
        self.weight = weight + 1.0;
        self.at = now;
    }

    /// Returns the pace.
    pub(crate) fn value(&self, now: Time) -> f64 {
        let weight = self.weight_at(now);
        bounded((self.log * weight / (weight + PRIOR_SAMPLES)).exp())
    }

    fn weight_at(&self, now: Time) -> f64 {
        let half_lives = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.weight * (-half_lives).exp2()
    }
}

/// Returns a pace within the bounds; that of the forecast if it is not a number.
pub(crate) fn bounded(pace: f64) -> f64 {
    if pace.is_nan() {
        return 1.0;
    }
    pace.clamp(BOUNDS.0, BOUNDS.1)
}
