//! A bounded output that never blocks its writers.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

const MAX_QUEUED_LINES: usize = 4_096;

/// Queues complete lines for a writer thread; drops and counts lines while the queue is full.
#[derive(Debug)]
pub struct Output {
    line: Vec<u8>,
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Output {
    /// Starts the thread that writes to `sink`.
    pub fn start(sink: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let thread_dropped = dropped.clone();
        let thread = std::thread::Builder::new().name("log".into());
        thread.spawn(move || write_lines(sink, &queue, &thread_dropped))?;
        Ok(Self {
            line: Vec::new(),
            lines,
            dropped,
        })
    }
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            if let Err(TrySendError::Full(_)) = self.lines.try_send(line) {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes queued lines until all senders are dropped or a write to the sink fails.
fn write_lines(mut sink: impl Write, queue: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    while let Ok(line) = queue.recv() {
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
