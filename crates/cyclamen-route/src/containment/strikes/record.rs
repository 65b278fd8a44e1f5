//! Recorded strikes.

use std::sync::Arc;

use cyclamen_types::Time;

use crate::containment::Part;

/// The state of a recorded strike.
#[derive(Debug, Clone)]
pub(super) struct Record {
    pub(super) recorded_at: Time,
    /// The parts of the request's prompt that other requests may share.
    pub(super) parts: Arc<[Part]>,
    /// Whether the request has received a complete response since.
    pub(super) cleared: bool,
}

impl Record {
    /// Adds parts that are not known yet: of a stored strike, only those are kept that were
    /// contained.
    pub(super) fn extend(&mut self, parts: &[Part]) -> Insertion {
        let added = parts.iter().filter(|part| !self.parts.contains(part));
        let added: Vec<&Part> = added.collect();
        if added.is_empty() {
            return Insertion::Known;
        }
        self.parts = self.parts.iter().chain(added).cloned().collect();
        Insertion::Extended
    }
}

/// What became of a strike.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Insertion {
    /// It was not known.
    New,
    /// It was known with fewer parts.
    Extended,
    /// It was known.
    Known,
}
