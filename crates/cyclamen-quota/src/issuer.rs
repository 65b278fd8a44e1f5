//! Issues the permits of limited workers, at the one entry that does so for a worker.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_types::{Time, instance};

use crate::rate::Rate;

/// How many seconds' worth of permits a worker may save up besides one permit.
const BURST_SECONDS: f64 = 0.2;
/// How many permits a worker may save up at least.
const MIN_BURST: f64 = 2.0;
/// The time since the last request for a permit after which a worker is forgotten.
const IDLE_LIFETIME: Duration = Duration::from_secs(60);
/// How long the last permit is kept for more urgent requests after one was denied.
const RESERVE_DURATION: Duration = Duration::from_secs(1);
/// The number of permits in a row that may pass to more urgent requests.
const MAX_URGENT_IN_A_ROW: u32 = 3;
/// The longest wait between a denial and the next request for a permit.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// A request for a permit.
#[derive(Debug, Clone, PartialEq)]
pub struct Ask {
    /// The worker.
    pub instance: instance::Id,
    /// Its incarnation.
    pub incarnation: instance::Incarnation,
    /// The rate limit of the worker.
    pub rate: Rate,
    /// The priority of the request; zero is the most urgent.
    pub priority: u8,
}

/// The decision on a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// One request may be sent within [`PERMIT_LIFETIME`](crate::PERMIT_LIFETIME) of asking.
    Issued,
    /// None may be sent now; holds the time after which to ask again.
    Denied(Duration),
}

/// Issues permits, each for one request, so that the sum over all entries that ask keeps the rate of
/// the worker.
///
/// In any time `t`, at most `rate * t + burst` permits of a worker are issued, where the burst is what
/// may be saved up: `max(rate * 0.2 s + 1, 2)`. A worker
/// begins without any, so that an issuer that replaces another one adds nothing to what that one has
/// issued.
#[derive(Debug, Default)]
pub struct Issuer(BTreeMap<(instance::Id, instance::Incarnation), Bucket>);

/// The permits of one worker.
#[derive(Debug)]
struct Bucket {
    /// The permits that can be issued now.
    level: f64,
    refilled_at: Time,
    /// When the entry that was denied a permit last asks again.
    promised_until: Time,
    /// The priority of the most urgent request that was denied lately, and when.
    denied: Option<(u8, Time)>,
    /// Permits issued to such requests since a less urgent one got one.
    urgent_in_a_row: u32,
}

impl Issuer {
    /// Decides on a request for a permit.
    pub fn issue(&mut self, now: Time, ask: &Ask) -> Decision {
        self.0
            .retain(|_, bucket| now.since(bucket.refilled_at) < IDLE_LIFETIME);
        let key = (ask.instance.clone(), ask.incarnation);
        let bucket = self.0.entry(key).or_insert_with(|| Bucket::new(now));
        bucket.refill(now, ask.rate);
        bucket.issue(now, ask.rate, ask.priority)
    }
}

impl Bucket {
    fn new(now: Time) -> Self {
        Self {
            level: 0.0,
            refilled_at: now,
            promised_until: now,
            denied: None,
            urgent_in_a_row: 0,
        }
    }

    fn refill(&mut self, now: Time, rate: Rate) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        let capacity = (1.0 + rate.per_second() * BURST_SECONDS).max(MIN_BURST);
        self.level = (self.level + elapsed * rate.per_second()).min(capacity);
        self.refilled_at = now;
    }

    fn issue(&mut self, now: Time, rate: Rate, priority: u8) -> Decision {
        let is_reserved = self.is_reserved(now, priority);
        let needed = if is_reserved { 2.0 } else { 1.0 };
        if self.level < needed || rate.per_second() == 0.0 {
            return Decision::Denied(self.deny(now, rate, priority));
        }
        self.level -= 1.0;
        let is_urgent = self.denied.is_some_and(|(denied, _)| priority <= denied);
        self.urgent_in_a_row = if is_urgent {
            self.urgent_in_a_row + 1
        } else {
            0
        };
        Decision::Issued
    }

    /// Returns whether the last permit is kept for more urgent requests.
    fn is_reserved(&self, now: Time, priority: u8) -> bool {
        let is_less_urgent = self
            .denied
            .is_some_and(|(denied, at)| denied < priority && now.since(at) < RESERVE_DURATION);
        is_less_urgent && self.urgent_in_a_row < MAX_URGENT_IN_A_ROW
    }

    /// Records a denial and returns the time after which to ask again, which is another one for each
    /// entry that asks.
    fn deny(&mut self, now: Time, rate: Rate, priority: u8) -> Duration {
        let recent = self
            .denied
            .filter(|(_, at)| now.since(*at) < RESERVE_DURATION);
        if recent.is_none_or(|(denied, _)| priority <= denied) {
            self.denied = Some((priority, now));
        }
        let interval = seconds(1.0 / rate.per_second());
        let missing = seconds((1.0 - self.level).max(0.0) / rate.per_second());
        let retry_at = (now + missing).max(self.promised_until + interval);
        let retry_at = retry_at.min(now + MAX_WAIT);
        self.promised_until = retry_at;
        retry_at.since(now)
    }
}

/// Returns a duration of at most [`MAX_WAIT`].
fn seconds(seconds: f64) -> Duration {
    let seconds = seconds.clamp(0.0, MAX_WAIT.as_secs_f64());
    Duration::try_from_secs_f64(seconds).unwrap_or(MAX_WAIT)
}
