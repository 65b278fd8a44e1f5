//! Stand-ins for the platform's store, plain workers and clients, and the scripts of this review.
//!
//! Standard library only. Every address is on loopback; every process that is started is ended.

mod case_crash;
mod case_expect;
mod case_gone;
mod case_memory;
mod case_target;
mod gateway;
mod http;
mod link;
mod store;
mod worker;

use std::fmt::Write as _;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The time after which a script that has not ended is given up.
const TIME_LIMIT: Duration = Duration::from_secs(112);

/// What a script has sent, and what was answered and run.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    lines: Arc<Mutex<String>>,
}

impl Record {
    fn new() -> Self {
        Self {
            begun: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Adds a line with the time since the script began.
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.begun.elapsed().as_secs_f64();
        let mut lines = self.lines.lock().unwrap();
        let _ = writeln!(lines, "{at:8.3} s  {}", text.as_ref());
    }
}

/// How a script ended.
pub enum Verdict {
    Held,
    Broken,
}

fn main() {
    let mut args = std::env::args().skip(1);
    let case = args.next().unwrap_or_default();
    let folder = args.next().unwrap_or_else(|| ".".into());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    record.line(format!("case {case}, trouble {trouble}"));
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        gateway::kill_all();
        eprintln!("the case could not run: it took too long");
        std::process::exit(2);
    });
    let result = match case.as_str() {
        "crash" => case_crash::run(&record, trouble),
        "crash-cut" => case_crash::run_cut(&record, trouble),
        "expect" => case_expect::run(&record, trouble),
        "gone" => case_gone::run(&record, trouble),
        "memory" => case_memory::run(&record, trouble),
        "target" => case_target::run(&record, trouble),
        other => Err(format!("unknown case {other:?}")),
    };
    let (text, code) = match result {
        Ok(Verdict::Held) => ("the rule held".to_string(), 0),
        Ok(Verdict::Broken) => ("the rule was broken".to_string(), 1),
        Err(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record.line(&text);
    let lines = record.lines.lock().unwrap().clone();
    let _ = std::fs::write(format!("{folder}/record.txt"), &lines);
    println!("{text}");
    std::process::exit(code);
}
