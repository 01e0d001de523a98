//! Sets up the logging of a process.

use env_logger::{Env, Target};
use log::LevelFilter;

use crate::util::logger::Logger;

/// Starts to write logs to standard error; `RUST_LOG` overrides the level.
///
/// Libraries log every request, hence only their warnings and errors are written.
pub fn start(level: LevelFilter) {
    let libraries = level.min(LevelFilter::Warn);
    let env = Env::default().default_filter_or(format!("{libraries},geraniummount={level}"));
    let started = env_logger::Builder::from_env(env)
        .format_timestamp_millis()
        .format_target(false)
        .target(Target::Stderr)
        .try_init();
    if started.is_err() {
        log::debug!("log: a logger is already set; its level and format stay");
    }
}

/// Starts to write structured lines to standard output.
///
/// A line is `t=SECONDS level=LEVEL vm=NAME KIND key=value ...`. Logging never
/// blocks the calling thread: lines that exceed the queue are dropped and counted.
pub fn start_structured(level: LevelFilter, vm: &str) {
    let lines = match Logger::start(vm, level, std::io::stdout()) {
        Ok(lines) => lines,
        Err(error) => return eprintln!("log: can't start the log thread: {error}"),
    };
    if log::set_boxed_logger(Box::new(lines)).is_ok() {
        log::set_max_level(level);
    }
}
