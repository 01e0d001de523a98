//! Structured lines of a log, bounded in number and never blocking.

use std::fmt::Write as _;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use log::{LevelFilter, Log, Metadata, Record};

/// Lines that wait to be written; further ones are dropped.
const QUEUE: usize = 1024;

/// Lines of one kind that are written in a second.
const PER_KIND: u32 = 100;

/// Bytes that are written in one go at most; more would take lines out of the
/// queue while the reader is stuck.
const BATCH_BYTES: usize = 16 * 1024;

/// Span in which lines of a kind are counted.
const SPAN: Duration = Duration::from_secs(1);

/// Longest wait for lines that a process leaves when it ends.
const FLUSH_LIMIT: Duration = Duration::from_millis(100);

/// Lines that were not written, in all.
static SUPPRESSED: AtomicU64 = AtomicU64::new(0);

/// Returns how many lines were not written.
pub fn suppressed() -> u64 {
    SUPPRESSED.load(Ordering::Relaxed)
}

/// A logger that hands lines to a thread of its own.
#[derive(Debug)]
pub struct Lines {
    vm: String,
    level: LevelFilter,
    queue: SyncSender<Vec<u8>>,
    /// Sorted by kind.
    kinds: Mutex<Vec<Kind>>,
    written: std::sync::Arc<AtomicU64>,
    queued: AtomicU64,
}

/// Lines of one kind in the present span.
#[derive(Debug)]
struct Kind {
    name: String,
    since: Instant,
    lines: u32,
    suppressed: u64,
}

impl Lines {
    /// Starts the thread that writes.
    ///
    /// # Errors
    ///
    /// The operating system has no thread to give.
    pub fn start(
        vm: &str,
        level: LevelFilter,
        out: impl Write + Send + 'static,
    ) -> io::Result<Lines> {
        let (queue, lines) = sync_channel(QUEUE);
        let written = std::sync::Arc::new(AtomicU64::new(0));
        let count = std::sync::Arc::clone(&written);
        let thread = thread::Builder::new().name("log".to_string());
        thread.spawn(move || write_all(&lines, out, &count))?;
        Ok(Lines {
            vm: vm.to_string(),
            level,
            queue,
            kinds: Mutex::new(Vec::new()),
            written,
            queued: AtomicU64::new(0),
        })
    }

    /// Counts a line of a kind. Returns `None` where the kind has had its
    /// share of this second, else how many lines were suppressed since.
    fn pass(&self, kind: &str) -> Option<u64> {
        let now = Instant::now();
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        let place = kinds.binary_search_by(|known| known.name.as_str().cmp(kind));
        let place = place.unwrap_or_else(|place| {
            kinds.insert(place, Kind::new(kind, now));
            place
        });
        kinds[place].pass(now)
    }
}

impl Kind {
    fn new(name: &str, now: Instant) -> Kind {
        Kind {
            name: name.to_string(),
            since: now,
            lines: 0,
            suppressed: 0,
        }
    }

    fn pass(&mut self, now: Instant) -> Option<u64> {
        if now.saturating_duration_since(self.since) >= SPAN {
            self.since = now;
            self.lines = 0;
        }
        if self.lines >= PER_KIND {
            self.suppressed += 1;
            SUPPRESSED.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}

impl Log for Lines {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level && metadata.target().starts_with("geraniummount")
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let message = record.args().to_string();
        let kind = message.split(' ').next().unwrap_or_default();
        let Some(suppressed) = self.pass(kind) else {
            return;
        };
        let time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let level = record.level().as_str().to_ascii_lowercase();
        let (seconds, vm) = (time.as_secs_f64(), &self.vm);
        let message = message.replace('\n', "\\n");
        let mut line = format!("t={seconds:.3} level={level} vm={vm} event={message}");
        if suppressed > 0 {
            // Writing to memory can't fail.
            let _ = write!(line, " suppressed={suppressed}");
        }
        line.push('\n');
        match self.queue.try_send(line.into_bytes()) {
            Ok(()) => self.queued.fetch_add(1, Ordering::Relaxed),
            Err(_) => SUPPRESSED.fetch_add(1, Ordering::Relaxed),
        };
    }

    fn flush(&self) {
        let end = Instant::now() + FLUSH_LIMIT;
        let is_done =
            || self.written.load(Ordering::Acquire) >= self.queued.load(Ordering::Relaxed);
        while !is_done() && Instant::now() < end {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

/// Writes lines until the logger is gone, as many as wait in one go.
fn write_all(lines: &Receiver<Vec<u8>>, mut out: impl Write, written: &AtomicU64) {
    while let Ok(mut batch) = lines.recv() {
        let mut count = 1;
        while batch.len() < BATCH_BYTES
            && let Ok(line) = lines.try_recv()
        {
            batch.extend_from_slice(&line);
            count += 1;
        }
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            SUPPRESSED.fetch_add(count, Ordering::Relaxed);
        }
        written.fetch_add(count, Ordering::Release);
    }
}
