//! A bounded output that never blocks who writes to it.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

/// Lines that may wait to be written.
const LINE_LIMIT: usize = 4_096;

/// Hands whole lines to a thread that writes them; lines that find no room are counted.
#[derive(Debug)]
pub struct Output {
    line: Vec<u8>,
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Output {
    /// Starts the thread that writes to `sink`.
    pub fn start(sink: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, waiting) = sync_channel(LINE_LIMIT);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        let thread = std::thread::Builder::new().name("log".into());
        thread.spawn(move || write(sink, &waiting, &counted))?;
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

/// Writes lines until nobody sends any more, or until the sink is closed.
fn write(mut sink: impl Write, waiting: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    while let Ok(line) = waiting.recv() {
        let lost = dropped.swap(0, Ordering::Relaxed);
        let noted = if lost > 0 {
            writeln!(sink, "level=warn event=log_lines_dropped count={lost}")
        } else {
            Ok(())
        };
        let written = noted.and_then(|()| sink.write_all(&line));
        if written.and_then(|()| sink.flush()).is_err() {
            return;
        }
    }
}
