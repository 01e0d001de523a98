//! What was sent, answered and run, in order of time.

use std::sync::Mutex;
use std::time::Instant;

/// Lines with the time since the start, in milliseconds.
pub struct Record {
    began: Instant,
    lines: Mutex<Vec<(u64, String)>>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            began: Instant::now(),
            lines: Mutex::new(Vec::new()),
        }
    }

    /// Returns the time since the start, in milliseconds.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Adds a line at this moment; returns its time.
    pub fn add(&self, line: impl Into<String>) -> u64 {
        let now = self.now();
        self.lines.lock().unwrap().push((now, line.into()));
        now
    }

    /// Adds a line and shows it.
    pub fn say(&self, line: impl Into<String>) -> u64 {
        let line = line.into();
        println!("{:>6} {line}", self.now());
        self.add(line)
    }

    /// Writes all lines to a file.
    pub fn write(&self, path: &str) -> std::io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{at:>6} {line}\n"))
            .collect();
        std::fs::write(path, text)
    }
}
