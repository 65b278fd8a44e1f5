//! When requests with each part of a prompt were last answered.

use std::collections::BTreeMap;

use cyclamen_types::Time;

use crate::containment::Part;

/// Number of parts at which the half that was answered longest ago is forgotten.
const MAX_PARTS: usize = 4_096;

/// When requests with each part of a prompt were last answered.
#[derive(Debug, Default)]
pub(super) struct Answers(BTreeMap<Part, Time>);

impl Answers {
    /// Records that a request with a part was answered.
    pub(super) fn record(&mut self, at: Time, part: &Part) {
        if let Some(last) = self.0.get_mut(part) {
            *last = at.max(*last);
            return;
        }
        if self.0.len() >= MAX_PARTS {
            self.forget_oldest();
        }
        self.0.insert(part.clone(), at);
    }

    /// Returns when a request with a part was last answered.
    pub(super) fn last(&self, part: &Part) -> Option<Time> {
        self.0.get(part).copied()
    }

    /// Returns when requests with each part were last answered.
    pub(super) fn by_part(&self) -> &BTreeMap<Part, Time> {
        &self.0
    }

    fn forget_oldest(&mut self) {
        let mut times: Vec<Time> = self.0.values().copied().collect();
        times.sort_unstable();
        if let Some(median) = times.get(times.len() / 2).copied() {
            self.0.retain(|_, at| *at > median);
        }
    }
}
