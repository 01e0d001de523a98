//! Paths in the operator's configuration, which become targets of requests.

use percent_encoding::{AsciiSet, CONTROLS, utf8_percent_encode};

/// Characters that can't stand in the target of a request. `%` can, as a path may be encoded already.
const ENCODED: &AsciiSet = &CONTROLS
    .add(b' ')
    .add(b'"')
    .add(b'#')
    .add(b'<')
    .add(b'>')
    .add(b'\\')
    .add(b'^')
    .add(b'`')
    .add(b'{')
    .add(b'|')
    .add(b'}');

/// Returns a path, which may have a query, as the target of a request.
pub(super) fn to_target(path: &str) -> String {
    let start = if path.starts_with('/') { "" } else { "/" };
    format!("{start}{}", utf8_percent_encode(path, ENCODED))
}
