//! Record of what was sent, answered and run, which is written to `record.txt`.

use std::fs;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Lines with their times.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            began: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Adds a line.
    pub fn add(&self, line: &str) {
        let ms = self.began.elapsed().as_secs_f64() * 1e3;
        let line = format!("{ms:10.1} {line}");
        self.lines.lock().expect("the record").push(line);
    }

    /// Adds a line and prints it.
    pub fn say(&self, line: &str) {
        println!("{line}");
        self.add(line);
    }

    /// Writes all lines to a file.
    pub fn write(&self, file: &Path) {
        let lines = self.lines.lock().expect("the record").join("\n");
        if let Err(error) = fs::write(file, lines + "\n") {
            println!("the record can't be written: {error}");
        }
    }
}
