//! Log lines never block who writes them.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use cyclamenpath::output::Output;

/// A sink that takes nothing until it is opened.
struct Gate {
    opened: Receiver<()>,
    open: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Gate {
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

fn gate() -> (Gate, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (opener, opened) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let gate = Gate {
        opened,
        open: false,
        written: written.clone(),
    };
    (gate, opener, written)
}

fn until(what: &str, holds: impl Fn() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < Duration::from_secs(10), "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_stuck_output_blocks_nobody_and_what_is_lost_is_counted() {
    let (gate, opener, written) = gate();
    let mut output = Output::start(gate).unwrap();
    let start = Instant::now();
    for n in 0..20_000 {
        writeln!(output, "event=test n={n}").unwrap();
    }
    assert!(start.elapsed() < Duration::from_secs(5));
    opener.send(()).unwrap();
    let text = || String::from_utf8(written.lock().unwrap().clone()).unwrap();
    until("the loss is counted", || {
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
    let (gate, opener, written) = gate();
    opener.send(()).unwrap();
    let mut output = Output::start(gate).unwrap();
    for piece in ["level=info ", "event=a", "\n"] {
        output.write_all(piece.as_bytes()).unwrap();
    }
    until("the line is written", || {
        *written.lock().unwrap() == b"level=info event=a\n"
    });
}
