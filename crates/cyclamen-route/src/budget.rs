//! The retry budget of an entry.

/// Options of a [`RetryBudget`].
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Retries allowed per hundred first attempts.
    pub percent: u32,
    /// Maximum number of retries that can be saved up.
    pub reserve: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            percent: 20,
            reserve: 20,
        }
    }
}

/// Limits retries to a fraction of first attempts.
#[derive(Debug)]
pub struct RetryBudget {
    options: Options,
    balance_hundredths: u32,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            balance_hundredths: options.reserve * 100,
        }
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&mut self) {
        let full = self.options.reserve * 100;
        self.balance_hundredths = (self.balance_hundredths + self.options.percent).min(full);
    }

    /// Spends one retry; returns `false` if none is left.
    pub fn try_spend(&mut self) -> bool {
        let enough = self.balance_hundredths >= 100;
        if enough {
            self.balance_hundredths -= 100;
        }
        enough
    }
}
