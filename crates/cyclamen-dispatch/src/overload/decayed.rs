//! Sums and means that forget within seconds.

use std::time::Duration;

use cyclamen_types::Time;

/// A sum whose parts lose their weight exponentially with their age.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Sum {
    value: f64,
    at: Time,
}

impl Sum {
    /// Adds an amount; one that is not finite and positive counts as none.
    pub(crate) fn add(&mut self, now: Time, window: Duration, amount: f64) {
        let before = self.value(now, window);
        let amount = if amount.is_finite() {
            amount.max(0.0)
        } else {
            0.0
        };
        *self = Self {
            value: before + amount,
            at: now.max(self.at),
        };
    }

    /// Returns the sum.
    pub(crate) fn value(&self, now: Time, window: Duration) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.value * (-age / window.as_secs_f64().max(0.001)).exp()
    }
}

/// An exponentially weighted moving average (EWMA).
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Mean {
    sum: Sum,
    weight: Sum,
}

impl Mean {
    pub(crate) fn add(&mut self, now: Time, window: Duration, value: f64) {
        if value.is_finite() {
            self.sum.add(now, window, value);
            self.weight.add(now, window, 1.0);
        }
    }

    /// Returns the mean if it stands on a weight of `min_weight` at least.
    pub(crate) fn value(&self, now: Time, window: Duration, min_weight: f64) -> Option<f64> {
        let weight = self.weight.value(now, window);
        (weight >= min_weight).then(|| self.sum.value(now, window) / weight)
    }
}
