//! Waits that do not end before this process has processed the events of its connections.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, Wake, Waker};
use std::time::Duration;

use futures::task::AtomicWaker;
use smol::Timer;

/// The number of turns of the event loop that a call has before its time ends.
const TURNS: u32 = 3;

/// Waits for a duration, and for as many turns of the event loop as it takes to notice a connection
/// that was made meanwhile.
///
/// A [`Timer`] that is polled ends by the clock. In a busy process each turn, in which it reads the
/// events of its sockets and then polls the tasks, may take longer than that, and a connection may
/// take two turns to be noticed: the delay of this process would count as one of the other end.
pub(crate) async fn wait(duration: Duration) {
    for _ in 0..TURNS {
        Alarm::after(duration / TURNS).await;
    }
}

/// Ends after a duration, by the call that also reads the events of the sockets.
#[derive(Debug)]
struct Alarm {
    timer: Timer,
    is_set: bool,
    waker: Arc<TimerWaker>,
}

/// Wakes the task when the timer ends.
#[derive(Debug, Default)]
struct TimerWaker {
    has_ended: AtomicBool,
    task: AtomicWaker,
}

impl Alarm {
    /// Creates an alarm that ends after a duration.
    fn after(duration: Duration) -> Self {
        Self {
            timer: Timer::after(duration),
            is_set: false,
            waker: Arc::default(),
        }
    }
}

impl Future for Alarm {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        self.waker.task.register(cx.waker());
        if self.waker.has_ended.load(Ordering::Acquire) {
            return Poll::Ready(());
        }
        if self.is_set {
            return Poll::Pending;
        }
        self.is_set = true;
        let waker = Waker::from(self.waker.clone());
        let timer = Pin::new(&mut self.timer);
        timer.poll(&mut Context::from_waker(&waker)).map(|_| ())
    }
}

impl Wake for TimerWaker {
    fn wake(self: Arc<Self>) {
        self.has_ended.store(true, Ordering::Release);
        self.task.wake();
    }
}
