//! How long requests of a kind last.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_types::Time;
use hdrhistogram::Histogram;

/// The part of the requests of a kind that last no longer than expected.
const QUANTILE: f64 = 0.95;
/// Durations count for one to two windows.
const WINDOW: Duration = Duration::from_secs(60);
/// The longest duration that can be distinguished from longer ones, in milliseconds.
const MAX_MS: u64 = 600_000;
/// The number of significant decimal digits of durations.
const SIGNIFICANT_DIGITS: u8 = 1;

/// The durations of recent requests by their kind, such as their route.
#[derive(Debug, Clone)]
pub struct Durations<K> {
    kinds: BTreeMap<K, Kind>,
}

/// The durations of requests of one kind.
#[derive(Debug, Clone)]
struct Kind {
    /// When the first request ended.
    since: Time,
    /// When the current window began.
    turned_at: Time,
    current: Histogram<u32>,
    former: Histogram<u32>,
}

impl<K> Default for Durations<K> {
    fn default() -> Self {
        Self {
            kinds: BTreeMap::new(),
        }
    }
}

impl<K: Clone + Ord> Durations<K> {
    /// Records that a request of a kind has ended after a duration.
    pub fn record(&mut self, now: Time, kind: &K, duration: Duration) {
        if !self.kinds.contains_key(kind) {
            let Some(added) = Kind::new(now) else {
                return;
            };
            self.kinds.insert(kind.clone(), added);
        }
        if let Some(kind) = self.kinds.get_mut(kind) {
            kind.turn(now);
            let millis = u64::try_from(duration.as_millis()).unwrap_or(MAX_MS);
            kind.current.saturating_record(millis.max(1));
        }
    }

    /// Returns how long requests of a kind last at most, but for a few.
    ///
    /// It is unknown until requests have ended for as long as one may take, `longest`: before, only
    /// shorter ones can have ended.
    pub fn expected(&self, now: Time, kind: &K, longest: Duration) -> Option<Duration> {
        let kind = self.kinds.get(kind)?;
        if now.since(kind.since) < longest {
            return None;
        }
        let windows = kind.windows(now).into_iter().flatten();
        let filled = windows.filter(|window| !window.is_empty());
        let millis = filled
            .map(|window| window.value_at_quantile(QUANTILE))
            .max();
        millis.map(Duration::from_millis)
    }

    /// Forgets the kinds that are not to be kept.
    pub fn retain(&mut self, keeps: impl Fn(&K) -> bool) {
        self.kinds.retain(|kind, _| keeps(kind));
    }
}

impl Kind {
    /// Returns a kind without durations; its bounds are valid, so there is always one.
    fn new(now: Time) -> Option<Self> {
        let empty = Histogram::new_with_max(MAX_MS, SIGNIFICANT_DIGITS).ok()?;
        Some(Self {
            since: now,
            turned_at: now,
            current: empty.clone(),
            former: empty,
        })
    }

    /// Begins another window if the current one is over.
    fn turn(&mut self, now: Time) {
        let age = now.since(self.turned_at);
        if age < WINDOW {
            return;
        }
        self.turned_at = now;
        std::mem::swap(&mut self.current, &mut self.former);
        self.current.reset();
        if age >= 2 * WINDOW {
            self.former.reset();
        }
    }

    /// Returns the windows whose durations still count.
    fn windows(&self, now: Time) -> [Option<&Histogram<u32>>; 2] {
        let age = now.since(self.turned_at);
        [
            (age < 2 * WINDOW).then_some(&self.current),
            (age < WINDOW).then_some(&self.former),
        ]
    }
}
