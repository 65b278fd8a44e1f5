//! The loads that other entries report.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_types::Time;

use crate::dispatcher::WorkerKey;
use crate::dispatcher::worker::InProgress;
use crate::request::Load;

/// The requests that each other entry has in progress.
#[derive(Debug, Default)]
pub(super) struct PeerLoads(BTreeMap<String, (Time, BTreeMap<WorkerKey, InProgress>)>);

impl PeerLoads {
    /// Replaces the loads of an entry, and forgets entries whose loads are no longer valid.
    pub(super) fn record(
        &mut self,
        now: Time,
        ttl: Duration,
        peer: &str,
        loads: impl IntoIterator<Item = Load>,
    ) {
        let in_progress = loads.into_iter().map(|load| {
            let Load {
                running, backlog, ..
            } = load;
            ((load.instance, load.fence), InProgress { running, backlog })
        });
        self.0.retain(|_, (at, _)| now.since(*at) < ttl);
        self.0
            .insert(peer.to_string(), (now, in_progress.collect()));
    }

    /// Returns the sum of the valid loads on each worker.
    pub(super) fn sums(&self, now: Time, ttl: Duration) -> BTreeMap<WorkerKey, InProgress> {
        let mut sums: BTreeMap<WorkerKey, InProgress> = BTreeMap::new();
        let fresh = self.0.values().filter(|(at, _)| now.since(*at) < ttl);
        for (key, in_progress) in fresh.flat_map(|(_, loads)| loads) {
            let sum = sums.entry(key.clone()).or_default();
            *sum = sum.plus(*in_progress);
        }
        sums
    }

    /// Returns the number of entries whose loads are held.
    pub(super) fn count(&self) -> usize {
        self.0.len()
    }
}
