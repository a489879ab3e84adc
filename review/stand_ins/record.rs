//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub struct Record {
    path: PathBuf,
    /// The start by the time of day, which the processes of the stand-ins share.
    start: SystemTime,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        File::create(path)?;
        Record::open(path, SystemTime::now())
    }

    /// Opens the record of another process, which started at `start`.
    pub fn open(path: &Path, start: SystemTime) -> io::Result<Record> {
        let file = Mutex::new(File::options().append(true).open(path)?);
        Ok(Record { path: path.to_owned(), start, file })
    }

    pub fn path(&self) -> &Path {
        &self.path
    }

    /// The start in milliseconds since 1970.
    pub fn start_ms(&self) -> u64 {
        self.start.duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
    }

    /// The time that [`Record::start_ms`] returned in another process.
    pub fn time_of_ms(start_ms: u64) -> SystemTime {
        UNIX_EPOCH + Duration::from_millis(start_ms)
    }

    /// Adds a line with the time since the start in milliseconds.
    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().unwrap_or_default().as_millis();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{at:>7} {text}");
        }
    }
}
