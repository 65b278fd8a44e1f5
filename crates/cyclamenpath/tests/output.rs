//! Writing a log line never blocks the writer.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use cyclamenpath::output::Output;

/// A sink that blocks every write until it is opened.
struct BlockedSink {
    opened: Receiver<()>,
    open: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedSink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.open {
            self.opened.recv().unwrap();
            self.open = true;
        }
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn blocked_sink() -> (BlockedSink, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (opener, opened) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let sink = BlockedSink {
        opened,
        open: false,
        written: written.clone(),
    };
    (sink, opener, written)
}

fn wait_until(message: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < Duration::from_secs(10), "{message}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_blocked_sink_does_not_block_writers_and_dropped_lines_are_counted() {
    let (sink, opener, written) = blocked_sink();
    let mut output = Output::start(sink).unwrap();
    let start = Instant::now();
    for n in 0..20_000 {
        writeln!(output, "event=test n={n}").unwrap();
    }
    assert!(start.elapsed() < Duration::from_secs(5));
    opener.send(()).unwrap();
    let text = || String::from_utf8(written.lock().unwrap().clone()).unwrap();
    wait_until("the dropped lines are not reported", || {
        text().contains("event=log_lines_dropped count=")
    });
    let lines = text()
        .lines()
        .filter(|l| l.starts_with("event=test"))
        .count();
    assert!(lines <= 4_200, "{lines}");
}

#[test]
fn pieces_of_a_line_stay_together() {
    let (sink, opener, written) = blocked_sink();
    opener.send(()).unwrap();
    let mut output = Output::start(sink).unwrap();
    for piece in ["level=info ", "event=a", "\n"] {
        output.write_all(piece.as_bytes()).unwrap();
    }
    wait_until("the line is not written", || {
        *written.lock().unwrap() == b"level=info event=a\n"
    });
}

/// A sink that takes some time for each write.
struct SlowSink(Arc<Mutex<Vec<u8>>>);

impl Write for SlowSink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        std::thread::sleep(Duration::from_millis(20));
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_flush_waits_until_queued_lines_are_written() {
    let written = Arc::new(Mutex::new(Vec::new()));
    let mut output = Output::start(SlowSink(written.clone())).unwrap();
    for n in 0..5 {
        writeln!(output, "event=test n={n}").unwrap();
    }
    output.flush().unwrap();
    let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
    assert!(text.ends_with("event=test n=4\n"), "{text}");
}

#[test]
fn a_flush_to_a_blocked_sink_ends() {
    let (sink, _opener, _written) = blocked_sink();
    let mut output = Output::start(sink).unwrap();
    for n in 0..20_000 {
        writeln!(output, "event=test n={n}").unwrap();
    }
    let start = Instant::now();
    assert!(output.flush().is_err());
    assert!(start.elapsed() < Duration::from_secs(5));
}
