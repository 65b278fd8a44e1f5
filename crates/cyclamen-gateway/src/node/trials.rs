//! Requests that show which of several parts of prompts crashes workers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_route::containment::Part;
use cyclamen_types::Time;

use crate::node::Node;

/// How long other requests with a part wait for a trial at most: a worker may be slow or silent.
const MAX_TRIAL_DURATION: Duration = Duration::from_secs(1);

/// The undecided parts with which a request runs that may still crash its worker, and when it began.
///
/// One request at a time runs with each part, so that a burst of requests crashes few workers
/// before the part that does it is known.
#[derive(Debug, Default)]
pub(crate) struct Trials(BTreeMap<Part, Time>);

impl Trials {
    /// Begins a trial of these parts; returns whether none of them is on trial already.
    fn begin(&mut self, now: Time, parts: &[Part]) -> bool {
        let is_free = |part| {
            let began_at = self.0.get(part);
            began_at.is_none_or(|at| now.since(*at) >= MAX_TRIAL_DURATION)
        };
        if !parts.iter().all(is_free) {
            return false;
        }
        self.0.extend(parts.iter().map(|part| (part.clone(), now)));
        true
    }

    /// Ends the trial that began at a time.
    fn end(&mut self, began_at: Time, parts: &[Part]) {
        self.0
            .retain(|part, at| *at != began_at || !parts.contains(part));
    }
}

/// The trial of one request, which ends when this is dropped. The node must not be locked then.
pub(crate) struct Trial {
    node: Arc<Node>,
    began_at: Time,
    parts: Vec<Part>,
}

impl Trial {
    /// Begins a trial; returns nothing if another request is on trial with one of the parts.
    pub(crate) fn begin(node: &Arc<Node>, parts: Vec<Part>) -> Option<Self> {
        let began_at = node.now();
        let has_begun = node.state().trials.begin(began_at, &parts);
        has_begun.then(|| Self {
            node: node.clone(),
            began_at,
            parts,
        })
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.node.state().trials.end(self.began_at, &self.parts);
    }
}
