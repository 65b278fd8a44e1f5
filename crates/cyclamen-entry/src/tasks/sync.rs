//! Keeps the cache in sync with the shared rows of the table service.

use std::sync::Arc;

use cyclamen_platform::keys;

use crate::node::Node;

/// Reads and merges the changes since the last read.
pub(crate) async fn step(node: &Arc<Node>) {
    let since = node.state().cache.as_of();
    match node.platform.changes(keys::SHARED, since).await {
        Ok(delta) => {
            let now = node.now();
            let mut state = node.state();
            state.merge_delta(now, delta);
            state.synced_at = Some(now);
            state.update_limiter_position(now);
        }
        Err(error) => log::warn!("event=sync_failed reason=\"{error}\""),
    }
}
