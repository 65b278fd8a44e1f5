//! Signals during a shutdown.

use std::future::pending;

use async_signal::{Signal, Signals};
use smol::stream::StreamExt;

/// Waits for SIGINT; other signals are logged.
pub async fn interrupted(mut signals: Signals) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Int) => {
                log::warn!("event=interrupted");
                return;
            }
            Ok(signal) => log::info!("event=signal_ignored signal={signal:?}"),
            Err(error) => log::warn!("event=signal_not_read reason=\"{error}\""),
        }
    }
    pending().await
}
