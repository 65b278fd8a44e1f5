//! Memory that the requests held by a process share, while they come and until they end.
//!
//! When it is short, the requests that hold most and move least are evicted, as long as they have not come
//! completely. Those that are complete, which a worker may run, are never evicted.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use cyclamen_types::Time;

/// The options of an [`Intake`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// The number of bytes that all requests share.
    pub limit: usize,
    /// The part of it that only small requests may use.
    pub reserve: usize,
    /// The largest number of bytes that a small request holds.
    pub small: usize,
    /// A request of which less than [`Options::step`] comes in this time may be evicted.
    pub stall: Duration,
    /// The number of bytes that count as progress.
    pub step: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            limit: 40 << 20,
            reserve: 4 << 20,
            small: 32 << 10,
            stall: Duration::from_secs(1),
            step: 16 << 10,
        }
    }
}

/// What becomes of an attempt to reserve memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Growth {
    /// The bytes are reserved.
    Granted,
    /// None are; another request is being evicted, which will make room.
    Evicting,
    /// None are, and no request can be evicted.
    Refused,
}

/// The requests that share memory; clones share the same one.
#[derive(Debug, Clone)]
pub struct Intake {
    options: Options,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    reserved: usize,
    last_id: u64,
    uploads: BTreeMap<u64, Entry>,
}

/// What one request holds.
#[derive(Debug)]
struct Entry {
    held: usize,
    /// The bytes that have come since `moved_at`.
    come: usize,
    /// When it last made progress.
    moved_at: Time,
    phase: Phase,
}

#[derive(Debug)]
enum Phase {
    /// It still comes; dropping the sender evicts it.
    Incoming { _evict: Sender<()> },
    /// It is evicted, and has not given back what it holds.
    Evicted,
    /// It has come completely.
    Complete,
}

impl Intake {
    /// Creates the memory that requests share.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            state: Arc::default(),
        }
    }

    /// Returns the place of a request that begins to come, which holds nothing yet.
    pub fn upload(&self, now: Time) -> Upload {
        let (evict, evicted) = async_channel::bounded(1);
        let mut state = self.lock();
        state.last_id += 1;
        let id = state.last_id;
        let entry = Entry {
            held: 0,
            come: 0,
            moved_at: now,
            phase: Phase::Incoming { _evict: evict },
        };
        state.uploads.insert(id, entry);
        drop(state);
        Upload {
            intake: self.clone(),
            id,
            evicted,
        }
    }

    /// Returns the number of bytes that are reserved.
    pub fn reserved(&self) -> usize {
        self.lock().reserved
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn grow(&mut self, options: &Options, now: Time, (id, bytes): (u64, usize)) -> Growth {
        let held = self.uploads.get(&id).map_or(0, |entry| entry.held);
        let enlarged = held.saturating_add(bytes);
        let limit = if enlarged <= options.small {
            options.limit
        } else {
            options.limit.saturating_sub(options.reserve)
        };
        let reserved = self.reserved.saturating_add(bytes);
        // A request that is alone is served whatever it needs; its size has limits of its own.
        let is_alone = self.reserved == held;
        if reserved > limit && !is_alone {
            return self.evict(options, now, id);
        }
        if let Some(entry) = self.uploads.get_mut(&id) {
            entry.held = enlarged;
            self.reserved = reserved;
        }
        Growth::Granted
    }

    /// Evicts the request that holds most among those that do not move.
    fn evict(&mut self, options: &Options, now: Time, id: u64) -> Growth {
        let is_evicted = |entry: &Entry| matches!(entry.phase, Phase::Evicted);
        if self.uploads.values().any(is_evicted) {
            return Growth::Evicting;
        }
        let others = self.uploads.iter_mut().filter(|(other, _)| **other != id);
        let stalled = others.map(|(_, entry)| entry).filter(|entry| {
            matches!(entry.phase, Phase::Incoming { .. })
                && entry.held > 0
                && now.since(entry.moved_at) >= options.stall
        });
        let Some(victim) = stalled.max_by_key(|entry| entry.held) else {
            return Growth::Refused;
        };
        victim.phase = Phase::Evicted;
        Growth::Evicting
    }
}

/// A request that comes, or has come; what it holds is given back on drop.
#[derive(Debug)]
pub struct Upload {
    intake: Intake,
    id: u64,
    evicted: Receiver<()>,
}

impl Upload {
    /// Reserves more bytes, or makes another request give back what it holds.
    pub fn grow(&mut self, now: Time, bytes: usize) -> Growth {
        let options = &self.intake.options;
        self.intake.lock().grow(options, now, (self.id, bytes))
    }

    /// Records that bytes of the request have come.
    pub fn record(&mut self, now: Time, bytes: usize) {
        let step = self.intake.options.step;
        if let Some(entry) = self.intake.lock().uploads.get_mut(&self.id) {
            entry.come += bytes;
            if entry.come >= step {
                entry.come = 0;
                entry.moved_at = now;
            }
        }
    }

    /// Records that the request has come completely: it is not evicted any more.
    ///
    /// Returns `false` if it is evicted already.
    pub fn complete(&mut self) -> bool {
        let mut state = self.intake.lock();
        let entry = state.uploads.get_mut(&self.id);
        match entry {
            Some(entry) if !matches!(entry.phase, Phase::Evicted) => {
                entry.phase = Phase::Complete;
                true
            }
            _ => false,
        }
    }

    /// Completes once the request is evicted or complete.
    pub fn evicted(&self) -> impl Future<Output = ()> + Send + use<> {
        let evicted = self.evicted.clone();
        async move {
            // Nothing is ever sent: the channel closes.
            let _ = evicted.recv().await;
        }
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        let mut state = self.intake.lock();
        if let Some(entry) = state.uploads.remove(&self.id) {
            state.reserved -= entry.held;
        }
    }
}
