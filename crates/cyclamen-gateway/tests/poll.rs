//! How long calls for the changes of a table may take.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::Duration;

use cyclamen_gateway::platform::poll::Options;
use proptest::prelude::*;

/// The time that a retry may take beside its call.
const RETRY: Duration = Duration::from_millis(200);

fn millis(range: std::ops::Range<u64>) -> impl Strategy<Value = Duration> {
    range.prop_map(Duration::from_millis)
}

proptest! {
    /// A poll that is never answered, and the answer to its retry, take less than the time
    /// within which a change has to be known.
    #[test]
    fn a_poll_that_is_never_answered_ends_in_time(
        timeout in millis(50..2_000),
        slack in millis(0..8_000),
        max_hold in millis(300..10_000),
        delay in millis(0..3_000),
    ) {
        let freshness = Options::min_freshness(timeout) + slack;
        let options = Options { freshness, max_hold, timeout };
        let delay = delay.min(options.max_delay());
        let poll = options.next(delay);
        prop_assert!(delay + poll.timeout + RETRY < freshness);
        prop_assert!(poll.hold < poll.timeout && timeout <= poll.timeout);
        prop_assert!(poll.hold > Duration::ZERO);
        let retry = options.retry();
        prop_assert!(retry.timeout + RETRY < freshness);
        prop_assert!(retry.hold.is_zero() && timeout <= retry.timeout);
    }
}
