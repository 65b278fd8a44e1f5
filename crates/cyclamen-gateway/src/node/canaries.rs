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
pub(crate) struct Canaries(BTreeMap<Part, Run>);

/// The run of a canary.
#[derive(Debug, Clone, Copy)]
struct Run {
    began_at: Time,
    /// Whether a worker has closed its connection, so that it is being probed.
    may_have_crashed: bool,
}

impl Run {
    /// Returns whether other requests with the part have to wait.
    fn keeps_others(self, now: Time) -> bool {
        self.may_have_crashed || now.since(self.began_at) < MAX_CANARY_DURATION
    }
}

impl Canaries {
    /// Records a canary of these parts; returns false if one of them has another already.
    fn begin(&mut self, now: Time, parts: &[Part]) -> bool {
        let run = |part| self.0.get(part);
        if parts
            .iter()
            .filter_map(run)
            .any(|run| run.keeps_others(now))
        {
            return false;
        }
        let run = Run {
            began_at: now,
            may_have_crashed: false,
        };
        self.0.extend(parts.iter().map(|part| (part.clone(), run)));
        true
    }

    /// Records that the worker of the canary that began at a time may have crashed.
    fn record_disconnect(&mut self, began_at: Time, parts: &[Part]) {
        for (part, run) in &mut self.0 {
            run.may_have_crashed |= run.began_at == began_at && parts.contains(part);
        }
    }

    /// Removes the canary that began at a time.
    fn end(&mut self, began_at: Time, parts: &[Part]) {
        self.0
            .retain(|part, run| run.began_at != began_at || !parts.contains(part));
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

    /// Records that its worker may have crashed: others wait until that is known.
    pub(crate) fn record_disconnect(&self) {
        let mut state = self.node.state();
        state.canaries.record_disconnect(self.began_at, &self.parts);
    }
}

impl Drop for Canary {
    fn drop(&mut self) {
        self.node.state().canaries.end(self.began_at, &self.parts);
    }
}
