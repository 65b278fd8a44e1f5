//! Soft separation of long and short prompts.
//!
//! An engine prefills a prompt of more than one chunk over several rounds, and the prompts behind it
//! wait for all of them. So the workers of a model are divided: those at the head of a fixed order
//! are preferred for long prompts, as many as the long prompts' share of the work, and the others for
//! short ones. The preference is a small cost, so that each kind uses the other's workers while they
//! have room, and it fades while no prompts wait.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use cyclamen_types::{Time, instance, model, pool};

/// The mean number of chunks that wait on a worker from which on the cost is whole; below it, a short
/// prompt seldom finds a long one before it.
const FULL_COST_CHUNKS: f64 = 0.25;

/// Options of the separation.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// The time in which the recorded work of a kind falls to a half.
    pub half_life: Duration,
    /// The cost of a worker that is preferred for the other kind, as a fraction of the request's
    /// latency goal.
    pub cost: f64,
    /// The number of recorded requests of each kind below which nothing is separated.
    pub min_requests: f64,
    /// The long prompts' share of the work below which nothing is separated: they delay so few short
    /// ones that a worker avoided by these would cost more.
    pub min_long_share: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            half_life: Duration::from_secs(10),
            cost: 0.1,
            min_requests: 3.0,
            min_long_share: 0.1,
        }
    }
}

/// Whether a prompt is prefilled in one round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Size {
    /// It fits into one chunk.
    Short,
    /// It takes several rounds.
    Long,
}

impl Size {
    /// Returns the size of a prompt for an engine that prefills `chunk` tokens in a round.
    pub fn of(tokens: u64, chunk: u64) -> Self {
        if tokens > chunk.max(1) {
            Self::Long
        } else {
            Self::Short
        }
    }
}

/// The decayed work of the requests of one size.
#[derive(Debug, Clone, Copy, Default)]
struct Work {
    requests: f64,
    tokens: f64,
}

impl Work {
    fn decay(&mut self, factor: f64) {
        self.requests *= factor;
        self.tokens *= factor;
    }

    fn record(&mut self, tokens: u64) {
        self.requests += 1.0;
        self.tokens += tokens as f64;
    }
}

/// The work of one model.
#[derive(Debug, Clone, Copy)]
struct Mix {
    short: Work,
    long: Work,
    updated_at: Time,
}

impl Mix {
    fn new(now: Time) -> Self {
        Self {
            short: Work::default(),
            long: Work::default(),
            updated_at: now,
        }
    }

    fn decay(&mut self, now: Time, half_life: Duration) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let factor = (-elapsed / half_life.as_secs_f64().max(f64::MIN_POSITIVE)).exp2();
        self.short.decay(factor);
        self.long.decay(factor);
        self.updated_at = now;
    }

    /// Returns the share of the long prompts in the work; `None` if either kind is too rare.
    fn long_share(&self, options: &Options) -> Option<f64> {
        let requests = self.short.requests.min(self.long.requests);
        let sum = (self.short.tokens + self.long.tokens).max(f64::MIN_POSITIVE);
        let share = self.long.tokens / sum;
        let is_mixed = requests >= options.min_requests && share >= options.min_long_share;
        is_mixed.then_some(share)
    }
}

/// The work of each model by the size of its prompts.
#[derive(Debug, Default)]
pub struct Split {
    options: Options,
    mixes: BTreeMap<(pool::Service, model::Name), Mix>,
}

impl Split {
    /// Creates a split without recorded work.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            mixes: BTreeMap::new(),
        }
    }

    /// Records a request of a model.
    pub fn record(
        &mut self,
        now: Time,
        service: &pool::Service,
        model: &model::Name,
        tokens: u64,
        size: Size,
    ) {
        let key = (service.clone(), model.clone());
        let mix = self.mixes.entry(key).or_insert_with(|| Mix::new(now));
        mix.decay(now, self.options.half_life);
        match size {
            Size::Short => mix.short.record(tokens),
            Size::Long => mix.long.record(tokens),
        }
    }

    /// Divides the workers of a model; `None` if its prompts are of one size.
    ///
    /// All entries put the same workers in the same order, so that their divisions differ by little.
    pub fn division<'a>(
        &self,
        service: &pool::Service,
        model: &model::Name,
        workers: impl IntoIterator<Item = &'a instance::Id>,
    ) -> Option<Division> {
        let mix = self.mixes.get(&(service.clone(), model.clone()))?;
        let long_share = mix.long_share(&self.options)?;
        let mut order: Vec<u64> = workers.into_iter().map(position).collect();
        order.sort_unstable();
        Some(Division {
            long_workers: long_share * order.len() as f64,
            order,
            cost: self.options.cost,
        })
    }
}

/// Returns the place of a worker in an order that does not change when others come and go.
fn position(worker: &instance::Id) -> u64 {
    let mut hasher = DefaultHasher::new();
    worker.as_str().hash(&mut hasher);
    hasher.finish()
}

/// The division of the workers of a model between long and short prompts.
#[derive(Debug, Clone, PartialEq)]
pub struct Division {
    order: Vec<u64>,
    /// How many workers are preferred for long prompts; the last of them in part.
    long_workers: f64,
    cost: f64,
}

impl Division {
    /// Returns how far a worker is preferred for long prompts, from 0 to 1.
    pub fn long_preference(&self, worker: &instance::Id) -> f64 {
        let rank = self.order.partition_point(|at| *at < position(worker));
        (self.long_workers - rank as f64).clamp(0.0, 1.0)
    }

    /// Returns the cost of a worker for a prompt, as a fraction of the latency goal.
    ///
    /// `queued` is the mean number of chunks that wait on the workers of the model.
    pub fn cost(&self, worker: &instance::Id, size: Size, queued: f64) -> f64 {
        let preference = self.long_preference(worker);
        let share = match size {
            Size::Long => 1.0 - preference,
            Size::Short => preference,
        };
        self.cost * share * (queued / FULL_COST_CHUNKS).clamp(0.0, 1.0)
    }
}
