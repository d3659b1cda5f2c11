//! The record of what was sent, answered and run.

use std::{fs::File, io::Write, path::Path, sync::Mutex, time::Instant};

/// Writes lines with the time since the start of the case.
pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: Mutex::new(File::create(path)?), began: Instant::now() })
    }

    /// Returns the milliseconds since the start of the case.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.now_ms();
        let line = format!("{:>9.3} {}\n", ms as f64 / 1_000.0, text.as_ref());
        let mut file = self.file.lock().expect("no panic under the lock");
        // A record that can't be written must not end the case and leave processes behind.
        let _ = file.write_all(line.as_bytes());
        print!("{line}");
    }
}
