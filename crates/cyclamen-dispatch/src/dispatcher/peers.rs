//! The loads that other entries report.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use cyclamen_types::Time;

use crate::dispatcher::WorkerKey;
use crate::dispatcher::worker::InProgress;
use crate::request::Load;

/// The most queued tokens that a load may name, so that sums stay exact; more than any worker has.
const MAX_BACKLOG: u64 = 1 << 40;

/// The requests that each other entry has in progress, and their sums.
#[derive(Debug, Default)]
pub(super) struct PeerLoads {
    entries: BTreeMap<String, (Time, Vec<(WorkerKey, InProgress)>)>,
    sums: HashMap<WorkerKey, Sum>,
    /// No entry's loads are older.
    oldest: Option<Time>,
}

/// The exact sum of the loads on a worker; the largest one of the counts cannot overflow it.
#[derive(Debug, Default)]
struct Sum {
    loads: usize,
    running: u64,
    backlog: u64,
}

impl PeerLoads {
    /// Replaces the loads of an entry, and forgets entries whose loads are no longer valid.
    pub(super) fn record(
        &mut self,
        now: Time,
        ttl: Duration,
        peer: &str,
        loads: impl IntoIterator<Item = Load>,
    ) {
        // A worker that is named twice counts once, as it was named last.
        let loads: BTreeMap<WorkerKey, InProgress> = loads
            .into_iter()
            .map(|load| {
                let in_progress = InProgress {
                    running: load.running,
                    backlog: load.backlog.min(MAX_BACKLOG),
                };
                ((load.instance, load.fence), in_progress)
            })
            .collect();
        let loads: Vec<_> = loads.into_iter().collect();
        for (key, in_progress) in &loads {
            let sum = self.sums.entry(key.clone()).or_default();
            sum.loads += 1;
            sum.running += u64::from(in_progress.running);
            sum.backlog += in_progress.backlog;
        }
        self.oldest = Some(self.oldest.map_or(now, |oldest| oldest.min(now)));
        if let Some((_, former)) = self.entries.insert(peer.to_string(), (now, loads)) {
            self.subtract(former);
        }
        self.expire(now, ttl);
    }

    /// Forgets entries whose loads are no longer valid.
    pub(super) fn expire(&mut self, now: Time, ttl: Duration) {
        if self.oldest.is_none_or(|oldest| now.since(oldest) < ttl) {
            return;
        }
        let is_old = |(at, _): &(Time, Vec<_>)| now.since(*at) >= ttl;
        let old = self.entries.iter().filter(|(_, loads)| is_old(loads));
        let old: Vec<String> = old.map(|(peer, _)| peer.clone()).collect();
        for peer in old {
            if let Some((_, loads)) = self.entries.remove(&peer) {
                self.subtract(loads);
            }
        }
        self.oldest = self.entries.values().map(|(at, _)| *at).min();
    }

    fn subtract(&mut self, loads: Vec<(WorkerKey, InProgress)>) {
        for (key, in_progress) in loads {
            let Some(sum) = self.sums.get_mut(&key) else {
                continue;
            };
            sum.loads -= 1;
            sum.running -= u64::from(in_progress.running);
            sum.backlog -= in_progress.backlog;
            if sum.loads == 0 {
                self.sums.remove(&key);
            }
        }
    }

    /// Returns the sum of the loads on a worker; [`Self::expire`] has to be called before.
    pub(super) fn sum(&self, key: &WorkerKey) -> Option<InProgress> {
        let sum = self.sums.get(key)?;
        Some(InProgress {
            running: u32::try_from(sum.running).unwrap_or(u32::MAX),
            backlog: sum.backlog,
        })
    }

    /// Returns the number of entries whose loads are held.
    pub(super) fn count(&self) -> usize {
        self.entries.len()
    }
}
