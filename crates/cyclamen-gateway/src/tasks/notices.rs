//! Records what workers say of themselves in their responses, and tells other entries.

use std::sync::Arc;

use cyclamen_replica::Start;
use cyclamen_types::Time;

use crate::node::{LimitSource, Node};
use crate::platform::Notices;
use crate::tasks::gossip_now;

/// Records what a worker says in the response to a request that was sent at `sent_at`.
pub(crate) fn record_notices(
    node: &Arc<Node>,
    worker: &Start,
    sent_at: Time,
    notices: Notices,
    source: LimitSource<'_>,
) {
    let now = node.now();
    let mut state = node.state();
    let leaves = notices.is_leaving && state.record_leaving(now, worker);
    let limit_changed = state.record_limit(now, sent_at, worker, notices.limit, source);
    drop(state);
    if leaves || limit_changed {
        gossip_now(node);
    }
    if leaves {
        node.wake_planner();
    }
}
