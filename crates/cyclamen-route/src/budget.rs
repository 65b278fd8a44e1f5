//! The retry budget of an entry.

/// Bounds of the retry budget.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Retries allowed for every hundred first attempts.
    pub percent: u32,
    /// Retries that may be saved up.
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

/// A budget that keeps retries to a fraction of first attempts.
#[derive(Debug)]
pub struct Budget {
    options: Options,
    hundredths: u32,
}

impl Budget {
    /// A full budget.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            hundredths: options.reserve * 100,
        }
    }

    /// Takes note of a first attempt.
    pub fn earn(&mut self) {
        let full = self.options.reserve * 100;
        self.hundredths = (self.hundredths + self.options.percent).min(full);
    }

    /// Spends one retry, if there is one left.
    pub fn spend(&mut self) -> bool {
        let enough = self.hundredths >= 100;
        if enough {
            self.hundredths -= 100;
        }
        enough
    }
}
