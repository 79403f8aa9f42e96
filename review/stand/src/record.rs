//! The record of a case: what was sent, answered and run, with the time since the start in seconds.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    begun: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record { begun: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    /// Seconds since the start.
    pub fn seconds(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    pub fn note(&self, who: &str, what: &str) {
        let line = format!("{:8.3} {who:<12} {what}\n", self.seconds());
        if let Ok(mut file) = self.file.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }
}
