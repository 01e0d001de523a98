//! Section `[log]`: the log level.

use ::log::LevelFilter;

use super::section::Section;

const LEVELS: &[&str] = &["off", "error", "warn", "info", "debug", "trace"];

/// Settings of the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Log {
    /// Lowest severity that is logged; for `serve`, `RUST_LOG` overrides it.
    pub level: LevelFilter,
}

impl Log {
    pub(super) fn read(section: &mut Section<'_>) -> Option<Log> {
        section.check_keys(&["level"]);
        let level = section.choice("level", LevelFilter::Info, LEVELS);
        Some(Log { level: level? })
    }
}
