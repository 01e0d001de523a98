//! Non-blocking logger for structured lines, with a rate limit per event kind.
//!
//! Messages quote names and values from outside the process, so each line is escaped and cut here.
//!
//! The event kind of a line is the first word of its message.

use std::fmt::Write as _;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use log::{LevelFilter, Log, Metadata, Record};

/// Maximum number of lines in the queue to the writer thread; further lines are dropped.
const MAX_QUEUED_LINES: usize = 1024;

/// Maximum number of lines of one event kind per [`RATE_WINDOW`].
const MAX_LINES_PER_KIND: u32 = 100;

/// Size in bytes from which a batch (the lines of one write) takes no further lines. It bounds the
/// memory that lines use outside the bounded queue while a write is blocked.
const BATCH_BYTES: usize = 16 * 1024;

/// Maximum length of a message in bytes, before characters are escaped. An error may quote a value
/// of the store, which is a megabyte long.
const MAX_MESSAGE_BYTES: usize = 1024;

/// Window of the rate limit.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Timeout for writing the queued lines when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Total number of lines that were lost: suppressed by a rate limit, or not written because of a
/// full queue or a failed write.
static LOST_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the total number of lines that were not written, because of the rate limit, a full queue
/// or a failed write.
pub fn suppressed_lines() -> u64 {
    LOST_LINES.load(Ordering::Relaxed)
}

/// Logger that passes lines to a dedicated writer thread through a bounded queue.
#[derive(Debug)]
pub struct Logger {
    /// Name of the VM, included in each line.
    vm: String,
    /// Least severe level that is logged.
    level: LevelFilter,
    /// Queue to the writer thread.
    queue: SyncSender<Vec<u8>>,
    /// Rate limits, sorted by event kind.
    rate_limits: Mutex<Vec<RateLimit>>,
    /// Number of queued lines that the writer thread has written or failed to write.
    processed: std::sync::Arc<AtomicU64>,
    /// Number of lines that were queued.
    queued: AtomicU64,
}

/// Rate limit of one event kind.
#[derive(Debug)]
struct RateLimit {
    kind: String,
    window_start: Instant,
    /// Lines admitted in the current window.
    lines: u32,
    /// Lines rejected since the last admitted one.
    suppressed: u64,
}

impl Logger {
    /// Creates a logger and starts its writer thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system cannot create the thread.
    pub fn start(
        vm: &str,
        level: LevelFilter,
        out: impl Write + Send + 'static,
    ) -> io::Result<Logger> {
        let (queue, lines) = sync_channel(MAX_QUEUED_LINES);
        let processed = std::sync::Arc::new(AtomicU64::new(0));
        let count = std::sync::Arc::clone(&processed);
        let thread = thread::Builder::new().name("log".to_string());
        thread.spawn(move || write_all(&lines, out, &count))?;
        Ok(Logger {
            vm: vm.to_string(),
            level,
            queue,
            rate_limits: Mutex::new(Vec::new()),
            processed,
            queued: AtomicU64::new(0),
        })
    }

    /// Applies the rate limit of an event kind to a line. Returns `None` if the limit is reached;
    /// otherwise the number of lines suppressed since the last admitted one.
    fn admit(&self, kind: &str) -> Option<u64> {
        let now = Instant::now();
        let mut rate_limits = self
            .rate_limits
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let index = rate_limits.binary_search_by(|limit| limit.kind.as_str().cmp(kind));
        let index = index.unwrap_or_else(|index| {
            rate_limits.insert(index, RateLimit::new(kind, now));
            index
        });
        rate_limits[index].admit(now)
    }
}

impl RateLimit {
    fn new(kind: &str, now: Instant) -> RateLimit {
        RateLimit {
            kind: kind.to_string(),
            window_start: now,
            lines: 0,
            suppressed: 0,
        }
    }

    /// Counts a line; otherwise like [`Logger::admit`].
    fn admit(&mut self, now: Instant) -> Option<u64> {
        if now.saturating_duration_since(self.window_start) >= RATE_WINDOW {
            self.window_start = now;
            self.lines = 0;
        }
        if self.lines >= MAX_LINES_PER_KIND {
            self.suppressed += 1;
            LOST_LINES.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level && metadata.target().starts_with("geraniummount")
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let message = record.args().to_string();
        let kind = message.split(' ').next().unwrap_or_default();
        let Some(suppressed) = self.admit(kind) else {
            return;
        };
        let time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let level = record.level().as_str().to_ascii_lowercase();
        let (seconds, vm) = (time.as_secs_f64(), &self.vm);
        let mut line = format!("t={seconds:.3} level={level} vm={vm} event=");
        append_message(&mut line, &message);
        if suppressed > 0 {
            // Writing to a string cannot fail.
            let _ = write!(line, " suppressed={suppressed}");
        }
        line.push('\n');
        match self.queue.try_send(line.into_bytes()) {
            Ok(()) => self.queued.fetch_add(1, Ordering::Relaxed),
            Err(_) => LOST_LINES.fetch_add(1, Ordering::Relaxed),
        };
    }

    fn flush(&self) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let is_flushed =
            || self.processed.load(Ordering::Acquire) >= self.queued.load(Ordering::Relaxed);
        while !is_flushed() && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

/// Appends a message as a part of one line. Names and values from outside that it contains must not
/// begin a line of their own, control a terminal, or fill the queue.
fn append_message(line: &mut String, message: &str) {
    let end = message.floor_char_boundary(MAX_MESSAGE_BYTES);
    for character in message[..end].chars() {
        match is_harmful(character) {
            true => line.extend(character.escape_default()),
            false => line.push(character),
        }
    }
    if end < message.len() {
        // Writing to a string cannot fail.
        let _ = write!(line, " cut_bytes={}", message.len() - end);
    }
}

/// Returns whether a character ends a line, controls a terminal or changes the direction of a text.
fn is_harmful(character: char) -> bool {
    let is_separator = matches!(character, '\u{2028}' | '\u{2029}');
    let is_direction = matches!(character, '\u{202a}'..='\u{202e}' | '\u{2066}'..='\u{2069}');
    character.is_control() || is_separator || is_direction
}

/// Writes the queued lines in batches until the logger is dropped.
fn write_all(lines: &Receiver<Vec<u8>>, mut out: impl Write, processed: &AtomicU64) {
    while let Ok(mut batch) = lines.recv() {
        let mut count = 1;
        while batch.len() < BATCH_BYTES
            && let Ok(line) = lines.try_recv()
        {
            batch.extend_from_slice(&line);
            count += 1;
        }
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            LOST_LINES.fetch_add(count, Ordering::Relaxed);
        }
        processed.fetch_add(count, Ordering::Release);
    }
}
