//! The record of a case: what was sent, answered and run, with the time of each event.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The record, also as a list of events for the check.
pub struct Record {
    started: Instant,
    inner: Mutex<Inner>,
}

struct Inner {
    file: BufWriter<File>,
    runs: Vec<Run>,
    answers: Vec<Answer>,
    orders: Vec<String>,
}

/// A request that a leaf began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub leaf: String,
    pub at: Duration,
}

/// How a client's attempt ended.
#[derive(Clone, Debug)]
pub struct Answer {
    pub id: String,
    /// 0 if the connection ended or the client gave up.
    pub status: u16,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            started: Instant::now(),
            inner: Mutex::new(Inner {
                file: BufWriter::new(File::create(path)?),
                runs: Vec::new(),
                answers: Vec::new(),
                orders: Vec::new(),
            }),
        })
    }

    /// Returns the time since the start of the case.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line.
    pub fn note(&self, text: &str) {
        let at = self.now();
        let mut inner = self.inner.lock().unwrap();
        let _ = writeln!(inner.file, "{:9.3} s  {text}", at.as_secs_f64());
    }

    /// Records that a leaf began to work on a request.
    pub fn ran(&self, id: &str, leaf: &str, what: &str) {
        self.note(&format!("leaf {leaf} runs {id} {what}"));
        let run = Run {
            id: id.to_string(),
            leaf: leaf.to_string(),
            at: self.now(),
        };
        self.inner.lock().unwrap().runs.push(run);
    }

    /// Records how a client's attempt ended.
    pub fn answered(&self, id: &str, status: u16, what: &str) {
        self.note(&format!("client got {status} for {id} {what}"));
        let answer = Answer {
            id: id.to_string(),
            status,
        };
        self.inner.lock().unwrap().answers.push(answer);
    }

    /// Records that a client sends a request that may run only once.
    pub fn ordered(&self, id: &str) {
        self.inner.lock().unwrap().orders.push(id.to_string());
    }

    /// Returns the ids of the requests that may run only once.
    pub fn orders(&self) -> Vec<String> {
        self.inner.lock().unwrap().orders.clone()
    }

    pub fn runs(&self) -> Vec<Run> {
        self.inner.lock().unwrap().runs.clone()
    }

    pub fn answers(&self) -> Vec<Answer> {
        self.inner.lock().unwrap().answers.clone()
    }

    pub fn flush(&self) {
        let _ = self.inner.lock().unwrap().file.flush();
    }
}
