//! The record of a case: what was sent, answered and run.

use std::fmt::Display;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// The record, with times since its beginning.
pub struct Record {
    file: Mutex<File>,
    since: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("the record");
        Self {
            file: Mutex::new(file),
            since: Instant::now(),
        }
    }

    /// Adds a line, which is printed too.
    pub fn line(&self, text: impl Display) {
        let line = format!("{:8.3} s  {text}", self.since.elapsed().as_secs_f64());
        println!("{line}");
        let _ = writeln!(self.file.lock().unwrap(), "{line}");
    }
}
