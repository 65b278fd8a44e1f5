//! The abortion of work in progress.

use std::convert::Infallible;
use std::future::Future;

use async_channel::{Receiver, Sender};
use smol::future::or;

/// Aborts work in progress, all of it at once and for good.
#[derive(Debug, Clone)]
pub struct Abortion {
    /// Closed when the work is aborted; nothing is ever sent.
    sender: Sender<Infallible>,
    receiver: Receiver<Infallible>,
}

impl Default for Abortion {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }
}

impl Abortion {
    /// Aborts the work.
    pub fn abort(&self) {
        self.sender.close();
    }

    /// Returns the result of work, or `None` if it is aborted before it ends.
    pub async fn or_aborted<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let aborted = async {
            // Fails when the channel is closed.
            let _ = self.receiver.recv().await;
            None
        };
        or(async { Some(work.await) }, aborted).await
    }
}
