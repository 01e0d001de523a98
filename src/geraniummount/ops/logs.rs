//! Logs of a process.

use env_logger::{Env, Target};
use log::LevelFilter;

/// Starts to write logs to standard error; `RUST_LOG` overrides the level.
///
/// Of the libraries only warnings are written, as they log every request.
pub fn start(level: LevelFilter) {
    let libraries = level.min(LevelFilter::Warn);
    let env = Env::default().default_filter_or(format!("{libraries},geraniummount={level}"));
    let started = env_logger::Builder::from_env(env)
        .format_timestamp_millis()
        .format_target(false)
        .target(Target::Stderr)
        .try_init();
    if started.is_err() {
        log::debug!("log: a logger was set before");
    }
}
