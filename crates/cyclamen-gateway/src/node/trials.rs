//! Requests that show which of several parts of prompts crashes workers.

use std::collections::BTreeSet;
use std::sync::Arc;

use cyclamen_route::containment::Part;

use crate::node::Node;

/// The undecided parts with which a request runs that may still crash its worker.
///
/// One request at a time runs with each part, so that a burst of requests crashes few workers
/// before the part that does it is known.
#[derive(Debug, Default)]
pub(crate) struct Trials(BTreeSet<Part>);

impl Trials {
    /// Begins a trial of these parts; returns whether none of them is on trial already.
    fn begin(&mut self, parts: &[Part]) -> bool {
        let is_free = parts.iter().all(|part| !self.0.contains(part));
        if is_free {
            self.0.extend(parts.iter().cloned());
        }
        is_free
    }

    fn end(&mut self, parts: &[Part]) {
        for part in parts {
            self.0.remove(part);
        }
    }
}

/// The trial of one request, which ends when this is dropped. The node must not be locked then.
pub(crate) struct Trial {
    node: Arc<Node>,
    parts: Vec<Part>,
}

impl Trial {
    /// Begins a trial; returns nothing if another request is on trial with one of the parts.
    pub(crate) fn begin(node: &Arc<Node>, parts: Vec<Part>) -> Option<Self> {
        let has_begun = node.state().trials.begin(&parts);
        has_begun.then(|| Self {
            node: node.clone(),
            parts,
        })
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.node.state().trials.end(&self.parts);
    }
}
