//! The observer's side of leases.

use std::collections::BTreeMap;

use cyclamen_types::Time;

use crate::types::Options;

/// Tracks when the lease of each observed holder was last seen to change.
///
/// `H` names a holder, and `R` is the revision of a lease row.
#[derive(Debug)]
pub struct Observer<H, R> {
    options: Options,
    observations: BTreeMap<H, Observation<R>>,
}

#[derive(Debug)]
struct Observation<R> {
    revision: R,
    first_read_at: Time,
}

impl<H: Clone + Ord, R: Copy + Ord> Observer<H, R> {
    /// Creates an observer without any observations.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            observations: BTreeMap::new(),
        }
    }

    /// Records a lease row; `read_at` is when the response with the row arrived.
    pub fn observe(&mut self, read_at: Time, holder: &H, revision: R) {
        let observation = self.observations.get(holder);
        if observation.is_some_and(|o| o.revision >= revision) {
            return;
        }
        let observation = Observation {
            revision,
            first_read_at: read_at,
        };
        self.observations.insert(holder.clone(), observation);
    }

    /// Returns the revision of a lease that has certainly expired.
    ///
    /// The row may be deleted on the condition that it still has that revision.
    pub fn expired(&self, now: Time, holder: &H) -> Option<R> {
        let observation = self.observations.get(holder)?;
        let wait = self.options.lifetime + self.options.margin;
        (now.since(observation.first_read_at) > wait).then_some(observation.revision)
    }

    /// Removes the observations of holders for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&H) -> bool) {
        self.observations.retain(|holder, _| keep(holder));
    }
}
