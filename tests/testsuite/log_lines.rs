//! Structured logs: the logger never blocks, limits its output, and its lines can be traced by
//! request.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

use geraniummount::ops::trace::{self, Line};
use geraniummount::util::logger::{Logger, suppressed_lines};
use log::{Level, LevelFilter, Log, Record};

/// A writer that blocks until the sender of its channel is dropped.
struct BlockedWriter(Receiver<()>);

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Returns when the test drops the sender.
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A writer that keeps what is written in memory.
#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write(logger: &Logger, text: &str) {
    let record = Record::builder();
    let mut record = record;
    let record = record.level(Level::Info).target("geraniummount::test");
    logger.log(&record.args(format_args!("{text}")).build());
}

#[test]
fn log_lines_are_dropped_and_counted_while_the_writer_is_blocked() {
    let (release, blocked): (Sender<()>, _) = channel();
    let logger = Logger::start("vm1", LevelFilter::Info, BlockedWriter(blocked)).unwrap();
    let before = suppressed_lines();
    // Each kind of line has its own rate limit. Different kinds fill the queue instead.
    for number in 0..5000 {
        write(&logger, &format!("kind{number} id=1"));
    }
    assert!(suppressed_lines() - before >= 3000);
    drop(release);
}

#[test]
fn log_lines_of_one_kind_are_rate_limited() {
    let buffer = SharedBuffer::default();
    let logger = Logger::start("vm1", LevelFilter::Info, buffer.clone()).unwrap();
    for number in 0..1000 {
        write(&logger, &format!("attempt id={number}"));
    }
    write(&logger, "request id=7 outcome=answered");
    logger.flush();
    let text = String::from_utf8(buffer.0.lock().unwrap().clone()).unwrap();
    let attempts = text.matches("event=attempt").count();
    // The lines may take more than a second on a busy machine, which starts a new limit period.
    assert!((1..1000).contains(&attempts), "{attempts} of 1000 lines");
    assert!(text.contains("event=request id=7 outcome=answered"));
}

#[test]
fn log_lines_below_the_level_are_not_written() {
    let buffer = SharedBuffer::default();
    let logger = Logger::start("vm1", LevelFilter::Warn, buffer.clone()).unwrap();
    write(&logger, "request id=7");
    logger.flush();
    assert!(buffer.0.lock().unwrap().is_empty());
}

#[test]
fn log_lines_are_parsed_with_quotes_and_a_prefix() {
    let line = "   2.2 vm-1 t=17.250 level=warn vm=vm-1 event=store topic=leaves event=lost error=\"it is = away\"";
    let line = Line::parse(line).unwrap();
    assert_eq!(line.get("t"), Some("17.250"));
    assert_eq!(line.get("event"), Some("store"));
    assert_eq!(line.get("what"), Some("lost"));
    assert_eq!(line.get("error"), Some("it is = away"));
    assert!(Line::parse("no line of a log").is_none());
    let quoted = r#"t=1.000 level=warn vm=vm1 event=leaf key="a\" id=7 \\" outcome=ignored"#;
    let line = Line::parse(quoted).unwrap();
    assert_eq!(line.get("key"), Some(r#"a\" id=7 \\"#));
    assert_eq!(
        (line.get("id"), line.get("outcome")),
        (None, Some("ignored"))
    );
    let cut = r#"t=1.000 level=warn vm=vm1 event=leaf key="a b c cut_bytes=7"#;
    let line = Line::parse(cut).unwrap();
    assert_eq!(line.get("key"), Some("a b c cut_bytes=7"));
}

#[test]
fn log_lines_of_a_request_are_shown_in_order() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("a.log");
    let text = "t=2.500 level=info vm=vm1 event=request id=x outcome=failed status=502\n\
                t=1.000 level=info vm=vm1 event=request id=y outcome=answered\n\
                t=2.250 level=info vm=vm1 event=attempt id=x leaf=i-1 outcome=lost\n";
    std::fs::write(&file, text).unwrap();
    let files = [file];
    let mut out = Vec::new();
    trace::run("x", &files, false, &mut out).unwrap();
    let shown = String::from_utf8(out).unwrap();
    let expected = "       0 ms  vm1  attempt   leaf=i-1 outcome=lost\n     \
                    250 ms  vm1  request   outcome=failed status=502\n";
    assert_eq!(shown, expected);
    let mut out = Vec::new();
    trace::run("x", &files, true, &mut out).unwrap();
    assert_eq!(String::from_utf8(out).unwrap().lines().count(), 2);
    assert!(trace::run("z", &files, false, &mut Vec::new()).is_err());
}

/// A message that quotes a value from outside, and what the line has to contain of it.
struct Quoted {
    message: &'static str,
    written: &'static str,
}

const QUOTED: &[Quoted] = &[
    Quoted {
        message: "leaf key=a\nt=1 event=forged",
        written: "leaf key=a\\nt=1 event=forged",
    },
    Quoted {
        message: "leaf key=a\rt=1 event=forged",
        written: "leaf key=a\\rt=1 event=forged",
    },
    Quoted {
        message: "leaf key=\u{1b}[2J\u{0}\u{7f}\u{85}",
        written: "leaf key=\\u{1b}[2J\\u{0}\\u{7f}\\u{85}",
    },
    Quoted {
        message: "leaf key=a\u{2028}b\u{2029}c\u{202e}d",
        written: "leaf key=a\\u{2028}b\\u{2029}c\\u{202e}d",
    },
    Quoted {
        message: "leaf key=k\u{fc}che-\u{1f33a}",
        written: "leaf key=k\u{fc}che-\u{1f33a}",
    },
];

/// Returns what is written for a message.
fn written(message: &str) -> String {
    let buffer = SharedBuffer::default();
    let logger = Logger::start("vm1", LevelFilter::Info, buffer.clone()).unwrap();
    write(&logger, message);
    logger.flush();
    let bytes = buffer.0.lock().unwrap().clone();
    String::from_utf8(bytes).unwrap()
}

#[test]
fn log_lines_stay_single_lines_whatever_they_quote() {
    for case in QUOTED {
        let line = written(case.message);
        let end = format!(" event={}\n", case.written);
        assert!(line.ends_with(&end), "{:?}: {line:?}", case.message);
    }
}

/// Errors quote values of the store, which are a megabyte long, and a thousand lines wait to be
/// written.
#[test]
fn log_lines_are_short_whatever_they_quote() {
    const MAX_LINE_BYTES: usize = 8 * 1024;
    for quoted in ["x", "\u{fc}", "\n"] {
        let line = written(&format!("routes error=\"{}\"", quoted.repeat(1024 * 1024)));
        assert!(line.len() < MAX_LINE_BYTES, "{} bytes", line.len());
        assert!(line.contains("event=routes error=") && line.contains(" cut_bytes="));
        assert!(line.ends_with('\n'));
    }
}
