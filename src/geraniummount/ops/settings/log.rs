//! Section `[log]`: what is logged.

use ::log::LevelFilter;

use super::section::Section;

const LEVELS: &[&str] = &["off", "error", "warn", "info", "debug", "trace"];

/// What is logged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Log {
    /// Least serious level that is written; `RUST_LOG` overrides it.
    pub level: LevelFilter,
}

impl Log {
    pub(super) fn read(section: &mut Section<'_>) -> Option<Log> {
        section.allow(&["level"]);
        let level = section.word("level", LevelFilter::Info, LEVELS);
        Some(Log { level: level? })
    }
}
