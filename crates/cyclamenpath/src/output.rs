//! A bounded output that never blocks its writers.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

const MAX_QUEUED_LINES: usize = 4_096;
/// The maximum time for which a flush waits until the queued lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
/// The interval at which a flush retries while the queue is full.
const FLUSH_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// An item of the queue.
#[derive(Debug)]
enum Item {
    /// A line to write.
    Line(Vec<u8>),
    /// A request to report that all lines before it are written.
    Flush(SyncSender<()>),
}

/// Queues complete lines for a writer thread; drops and counts lines while the queue is full.
#[derive(Debug)]
pub struct Output {
    line: Vec<u8>,
    items: SyncSender<Item>,
    dropped: Arc<AtomicU64>,
}

impl Output {
    /// Starts the thread that writes to `sink`.
    pub fn start(sink: impl Write + Send + 'static) -> io::Result<Self> {
        let (items, queue) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let thread_dropped = dropped.clone();
        let thread = std::thread::Builder::new().name("log".into());
        thread.spawn(move || write_lines(sink, &queue, &thread_dropped))?;
        Ok(Self {
            line: Vec::new(),
            items,
            dropped,
        })
    }
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            if let Err(TrySendError::Full(_)) = self.items.try_send(Item::Line(line)) {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(bytes.len())
    }

    /// Waits until the queued lines are written, for [`FLUSH_TIMEOUT`] at most.
    fn flush(&mut self) -> io::Result<()> {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let (reply, written) = sync_channel(1);
        let mut request = Item::Flush(reply);
        while let Err(error) = self.items.try_send(request) {
            let TrySendError::Full(unsent) = error else {
                return Err(io::ErrorKind::BrokenPipe.into());
            };
            if Instant::now() >= deadline {
                return Err(io::ErrorKind::TimedOut.into());
            }
            request = unsent;
            std::thread::sleep(FLUSH_RETRY_INTERVAL);
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        let flushed = written.recv_timeout(remaining);
        flushed.map_err(|_| io::ErrorKind::TimedOut.into())
    }
}

/// Writes queued lines until all senders are dropped or a write to the sink fails.
fn write_lines(mut sink: impl Write, queue: &Receiver<Item>, dropped: &AtomicU64) {
    while let Ok(item) = queue.recv() {
        let line = match item {
            Item::Line(line) => line,
            Item::Flush(reply) => {
                // The flush may have given up.
                let _ = reply.try_send(());
                continue;
            }
        };
        let count = dropped.swap(0, Ordering::Relaxed);
        let reported = if count > 0 {
            writeln!(sink, "level=warn event=log_lines_dropped count={count}")
        } else {
            Ok(())
        };
        let written = reported.and_then(|()| sink.write_all(&line));
        if written.and_then(|()| sink.flush()).is_err() {
            return;
        }
    }
}
