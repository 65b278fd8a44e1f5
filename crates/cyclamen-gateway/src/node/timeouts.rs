//! How long the peers of the listeners may take, by the operators' limits.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_directory::catalog::Limits;
use cyclamen_server::Timeouts;

/// What a peer may take more than the operators' limits, for what passes on the way.
const MARGIN: Duration = Duration::from_secs(1);
/// The longest limit that has an effect.
const MAX_TIMEOUT: Duration = Duration::from_secs(24 * 60 * 60);

/// Returns the timeouts until a configuration is known.
pub(super) fn new() -> Arc<Timeouts> {
    let timeouts = Arc::new(Timeouts::default());
    set(&timeouts, &Limits::default());
    timeouts
}

/// Sets the timeouts by the limits of a configuration.
pub(super) fn set(timeouts: &Timeouts, limits: &Limits) {
    let with_margin = |time: Duration| time.min(MAX_TIMEOUT) + MARGIN;
    timeouts.set(
        with_margin(limits.head_timeout),
        with_margin(limits.idle_timeout),
    );
}
