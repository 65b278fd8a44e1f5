//! The record of a case: what was sent, answered and run.

use std::fmt::Display;
use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::Instant;

/// The record of a case.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Result<Self, String> {
        let file = File::create(folder.join("record.txt")).map_err(|e| e.to_string())?;
        Ok(Self {
            file: Mutex::new(file),
            started: Instant::now(),
        })
    }

    /// Writes a line about something that happened at a time.
    pub fn write_at(&self, at: Instant, line: impl Display) {
        let seconds = at.saturating_duration_since(self.started).as_secs_f64();
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{seconds:7.3} s  {line}");
    }

    pub fn write(&self, line: impl Display) {
        self.write_at(Instant::now(), line);
    }
}

/// A temporary folder, which is removed when this is dropped.
pub struct Temporary(pub PathBuf);

impl Temporary {
    pub fn create() -> Result<Self, String> {
        let path = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(|e| e.to_string())?;
        Ok(Self(path))
    }
}

impl Drop for Temporary {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}
