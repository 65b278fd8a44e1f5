//! The ids of the events that a caller has received.

/// The distance between the ids of successive events.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Step {
    /// Less than two events with ids were received.
    #[default]
    Unknown,
    /// It was the same between all events.
    Regular(u64),
    /// It was not.
    Irregular,
}

/// The ids of the events that a caller has received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Sequence {
    last: Option<u64>,
    step: Step,
}

impl Sequence {
    /// Creates a sequence whose last event, if there is one, has the id `last`.
    pub(super) fn after(last: Option<u64>) -> Self {
        Self {
            last,
            step: Step::Unknown,
        }
    }

    /// Returns the id of the last event that has one.
    pub(super) fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether an event was received before.
    pub(super) fn contains(&self, id: Option<u64>) -> bool {
        id.zip(self.last).is_some_and(|(id, last)| id <= last)
    }

    /// Returns whether an event may be the next one in the response of another worker: it has an id,
    /// and as far as the ids are regular, none is missing before it.
    pub(super) fn is_next(&self, id: Option<u64>) -> bool {
        match (id, self.last, self.step) {
            (Some(id), Some(last), Step::Regular(step)) => id.checked_sub(last) == Some(step),
            (Some(_), ..) => true,
            (None, last, _) => last.is_none(),
        }
    }

    /// Records an event.
    pub(super) fn record(&mut self, id: Option<u64>) {
        let Some(id) = id else {
            return;
        };
        if let Some(step) = self.last.and_then(|last| id.checked_sub(last)) {
            self.step = match self.step {
                Step::Unknown => Step::Regular(step),
                Step::Regular(known) if known == step => Step::Regular(step),
                Step::Regular(_) | Step::Irregular => Step::Irregular,
            };
        }
        self.last = Some(id);
    }
}
