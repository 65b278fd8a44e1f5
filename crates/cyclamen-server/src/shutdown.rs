//! The shutdown of servers by the steps of a schedule.

use std::pin::pin;
use std::time::Duration;

use cyclamen_drain::{Options, Schedule};
use cyclamen_task::Abortion;
use cyclamen_types::Time;
use futures::future::join_all;
use smol::Timer;
use smol::future::or;

use crate::server::Server;

/// The time for telling callers that their requests are aborted.
const ABORT_TIMEOUT: Duration = Duration::from_millis(250);
/// The longest sleep before the clock is read again, which timers don't follow while the instance is
/// suspended.
const MAX_SLEEP: Duration = Duration::from_millis(100);

/// A shutdown of servers: they say that their connections close, later refuse new ones, and then complete
/// their responses.
#[derive(Debug)]
pub struct Shutdown<'a, N, P> {
    /// The servers, all of whose connections are closed at the end.
    pub servers: Vec<&'a Server>,
    /// When the steps are due.
    pub schedule: Schedule,
    /// Aborts the requests that remain at the limit; they must answer to it.
    pub abortion: &'a Abortion,
    /// Returns the present time.
    pub now: N,
    /// Returns the number of requests in progress.
    pub in_progress: P,
}

impl<N: Fn() -> Time, P: Fn() -> u64> Shutdown<'_, N, P> {
    /// Shuts the servers down, and returns the number of requests that were aborted.
    pub async fn run(&self) -> u64 {
        self.servers.iter().for_each(|server| server.say_close());
        let Options { notice, limit } = self.schedule.options();
        log::info!(
            "event=draining notice_ms={} limit_ms={}",
            notice.as_millis(),
            limit.as_millis()
        );
        self.wait_until(self.schedule.refuses_at()).await;
        self.log_step("refusing_connections");
        let aborted = self.close().await;
        self.log_step("closed");
        aborted
    }

    /// Waits until all connections are closed, each after its last response; aborts the requests that
    /// remain at the limit.
    async fn close(&self) -> u64 {
        let mut closing = pin!(join_all(self.servers.iter().map(|server| server.close())));
        let aborts_at = self.schedule.aborts_at();
        if self.ends_by(closing.as_mut(), aborts_at).await {
            return 0;
        }
        let aborted = (self.in_progress)();
        self.abortion.abort();
        self.log_step("aborted");
        if !self.ends_by(closing, aborts_at + ABORT_TIMEOUT).await {
            log::warn!("event=connections_not_closed");
        }
        aborted
    }

    /// Waits for work until a point in time; returns whether it has ended.
    async fn ends_by(&self, work: impl Future, until: Time) -> bool {
        let work = async {
            work.await;
            true
        };
        let timeout = async {
            self.wait_until(until).await;
            false
        };
        or(work, timeout).await
    }

    /// Waits until a point in time, also if the instance is suspended meanwhile.
    async fn wait_until(&self, at: Time) {
        while let rest = at.since((self.now)())
            && !rest.is_zero()
        {
            Timer::after(rest.min(MAX_SLEEP)).await;
        }
    }

    /// Logs that a step has ended, with the time since the signal and the requests in progress.
    fn log_step(&self, step: &'static str) {
        log::info!(
            "event=drain_step step={step} drain_ms={} requests={}",
            self.schedule.elapsed((self.now)()).as_millis(),
            (self.in_progress)()
        );
    }
}
