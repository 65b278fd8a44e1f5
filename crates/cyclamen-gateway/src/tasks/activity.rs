//! Reports what this entry does besides serving requests, and how late its timers run.

use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::Timer;

use crate::node::Node;

/// The pause after which a timer is due whose delay is measured.
const MEASURED_PAUSE: Duration = Duration::from_millis(250);

/// Measures how much later than it was due a timer runs.
pub(super) async fn measure_timers(node: &Arc<Node>) {
    let due = Instant::now() + MEASURED_PAUSE;
    Timer::at(due).await;
    let delay = due.elapsed();
    node.metrics.record_timer_delay(delay);
    node.state().activity.record_timer_delay(delay);
}

/// Logs the activity since the last time.
pub(super) async fn report(node: &Arc<Node>) {
    let exchanged = node.peers().map_or(0, |peers| {
        let traffic = peers.traffic();
        traffic.read() + traffic.written()
    });
    let activity = {
        let mut state = node.state();
        let before = std::mem::replace(&mut state.gossip_bytes, exchanged);
        let bytes = exchanged.saturating_sub(before);
        state.activity.record_gossip(bytes);
        std::mem::take(&mut state.activity)
    };
    log::info!("event=activity {activity}");
}
