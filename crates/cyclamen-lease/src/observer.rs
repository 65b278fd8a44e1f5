//! The observer's side of leases.

use std::collections::BTreeMap;

use cyclamen_types::Time;

use crate::types::Options;

/// When the lease of each watched holder was last seen to change.
#[derive(Debug)]
pub struct Observer<H> {
    options: Options,
    seen: BTreeMap<H, Sight>,
}

#[derive(Debug)]
struct Sight {
    revision: u64,
    first: Time,
}

impl<H: Clone + Ord> Observer<H> {
    /// An observer that has seen nothing.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            seen: BTreeMap::new(),
        }
    }

    /// Takes note of a lease row; `read` is the moment its answer arrived.
    pub fn observe(&mut self, read: Time, holder: &H, revision: u64) {
        let sight = self.seen.get(holder);
        if sight.is_some_and(|s| s.revision >= revision) {
            return;
        }
        let sight = Sight {
            revision,
            first: read,
        };
        self.seen.insert(holder.clone(), sight);
    }

    /// The revision of a lease that has run out for certain.
    ///
    /// The row may be deleted on the condition that it still has that revision.
    pub fn expired(&self, now: Time, holder: &H) -> Option<u64> {
        let sight = self.seen.get(holder)?;
        let wait = self.options.lifetime + self.options.margin;
        (now.since(sight.first) > wait).then_some(sight.revision)
    }

    /// Forgets every lease that is not to be watched any more.
    pub fn retain(&mut self, keep: impl Fn(&H) -> bool) {
        self.seen.retain(|holder, _| keep(holder));
    }
}
