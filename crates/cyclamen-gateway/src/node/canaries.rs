//! Canaries: requests that show which of several parts of prompts crashes workers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_route::containment::Part;
use cyclamen_types::Time;

use crate::node::Node;

/// How long a request keeps others with a part from running at most: its worker may be slow or silent.
const MAX_CANARY_DURATION: Duration = Duration::from_secs(1);

/// The undecided parts that have a canary, and since when.
///
/// One request at a time runs with each part until its worker begins to answer, so that a burst of
/// requests crashes few workers before the part that does it is known.
#[derive(Debug, Default)]
pub(crate) struct Canaries(BTreeMap<Part, Time>);

impl Canaries {
    /// Records a canary of these parts; returns false if one of them has another already.
    fn begin(&mut self, now: Time, parts: &[Part]) -> bool {
        let is_free = |part| {
            let began_at = self.0.get(part);
            began_at.is_none_or(|at| now.since(*at) >= MAX_CANARY_DURATION)
        };
        if !parts.iter().all(is_free) {
            return false;
        }
        self.0.extend(parts.iter().map(|part| (part.clone(), now)));
        true
    }

    /// Removes the canary that began at a time.
    fn end(&mut self, began_at: Time, parts: &[Part]) {
        self.0
            .retain(|part, at| *at != began_at || !parts.contains(part));
    }
}

/// A request that is the canary of some parts until this is dropped. The node must not be locked then.
pub(crate) struct Canary {
    node: Arc<Node>,
    began_at: Time,
    parts: Vec<Part>,
}

impl Canary {
    /// Makes a request the canary of these parts, unless another one is that of one of them.
    pub(crate) fn begin(node: &Arc<Node>, parts: Vec<Part>) -> Option<Self> {
        let began_at = node.now();
        let has_begun = node.state().canaries.begin(began_at, &parts);
        has_begun.then(|| Self {
            node: node.clone(),
            began_at,
            parts,
        })
    }
}

impl Drop for Canary {
    fn drop(&mut self) {
        self.node.state().canaries.end(self.began_at, &self.parts);
    }
}
