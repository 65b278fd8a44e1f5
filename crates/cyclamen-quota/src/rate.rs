//! Rates of requests, and how workers name them.

use std::fmt;
use std::str::FromStr;

use cyclamen_types::Error;

/// The rate from which on a limit is none, in requests per second.
const MAX_RATE: f64 = 1e6;

/// A rate of requests, in requests per second: a finite number, zero or above.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct Rate(f64);

impl Rate {
    /// Returns a rate; `None` if the number is negative, infinite or not a number.
    pub fn new(per_second: f64) -> Option<Self> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        // Adding zero makes a negative zero positive.
        is_valid.then_some(Self(per_second + 0.0))
    }

    /// Returns the number of requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Returns the lower one of two rates.
    pub fn min(self, other: Self) -> Self {
        Self(self.0.min(other.0))
    }

    /// Returns a fraction of the rate; `share` is clamped to the range from zero to one.
    pub fn share(self, share: f64) -> Self {
        Self(self.0 * share.clamp(0.0, 1.0))
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Rate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.trim().parse().map_err(|_| Error::InvalidNumber)?;
        Self::new(number).ok_or(Error::InvalidNumber)
    }
}

/// What the head of a response says about a rate limit of the worker.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Naming {
    /// The worker takes no more than this rate from all entries together.
    Limit(Rate),
    /// It names no limit.
    #[default]
    None,
    /// It names one that cannot be read, which neither sets a limit nor lifts one.
    Unclear,
}

impl Naming {
    /// Reads the values of the header; of several that can be read, the lowest one counts.
    ///
    /// A rate that no fleet reaches is no limit.
    pub fn read<'a>(values: impl IntoIterator<Item = &'a str>) -> Self {
        let mut naming = Self::None;
        for value in values {
            naming = match (naming, value.parse::<Rate>()) {
                (Self::Limit(lowest), Ok(rate)) => Self::Limit(lowest.min(rate)),
                (_, Ok(rate)) => Self::Limit(rate),
                (Self::None, Err(_)) => Self::Unclear,
                (known, Err(_)) => known,
            };
        }
        match naming {
            Self::Limit(rate) if rate.per_second() >= MAX_RATE => Self::None,
            naming => naming,
        }
    }
}
