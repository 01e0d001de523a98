//! Numbers from outside this process, read with a bound.
//!
//! A time or a count that another process states can be any number, because of a fault or on
//! purpose. Added to a clock or multiplied, the greatest ones overflow, which ends the process and
//! with it all requests in flight. Modules that read from outside use these functions instead of
//! those of [`Duration`], which the linter forbids there.

use std::time::Duration;

use serde::{Deserialize, Deserializer};

/// Longest time that is read. It exceeds every time that has a use here, and can be added to a
/// clock and multiplied without an overflow.
pub const MAX_TIME: Duration = Duration::from_secs(24 * 60 * 60);

/// Greatest count that is read.
pub const MAX_COUNT: u32 = 1 << 30;

/// Returns a time in whole seconds, at most [`MAX_TIME`].
pub const fn seconds(count: u64) -> Duration {
    at_most_max(Duration::from_secs(count))
}

/// Returns a time in milliseconds, at most [`MAX_TIME`].
pub const fn millis(count: u64) -> Duration {
    at_most_max(Duration::from_millis(count))
}

/// Returns a time in microseconds, at most [`MAX_TIME`].
pub const fn micros(count: u64) -> Duration {
    at_most_max(Duration::from_micros(count))
}

const fn at_most_max(time: Duration) -> Duration {
    if time.as_micros() < MAX_TIME.as_micros() {
        time
    } else {
        MAX_TIME
    }
}

/// Returns a time in seconds with fractions, at most [`MAX_TIME`]; `None` if the number is not
/// positive.
pub fn fractional_seconds(count: f64) -> Option<Duration> {
    let is_positive = count > 0.0;
    is_positive.then(|| Duration::from_secs_f64(count.min(MAX_TIME.as_secs_f64())))
}

/// Parses a number of whole seconds, of any number of digits; `None` if the text is not one.
pub fn parse_seconds(text: &str) -> Option<Duration> {
    parse_whole(text).map(seconds)
}

/// Parses a number of milliseconds, of any number of digits; `None` if the text is not one.
pub fn parse_millis(text: &str) -> Option<Duration> {
    parse_whole(text).map(millis)
}

/// Parses a count, at most [`MAX_COUNT`]; `None` if the text is not a whole number.
pub fn parse_count(text: &str) -> Option<u32> {
    let count = parse_whole(text)?.min(u64::from(MAX_COUNT));
    u32::try_from(count).ok()
}

/// Parses a whole number; the greatest one stands for a number that is too large.
fn parse_whole(text: &str) -> Option<u64> {
    let text = text.trim();
    let is_whole = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    is_whole.then(|| text.parse().unwrap_or(u64::MAX))
}

/// Deserializes a time that is stored in milliseconds.
///
/// # Errors
///
/// Returns an error if the value is not a whole number that fits into 64 bits.
pub fn deserialize_millis<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Duration, D::Error> {
    u64::deserialize(deserializer).map(millis)
}

/// Deserializes a count; [`MAX_COUNT`] stands for a greater one.
///
/// # Errors
///
/// Returns an error if the value is not a whole number that fits into 64 bits.
pub fn deserialize_count<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
    let count = u64::deserialize(deserializer)?;
    Ok(u32::try_from(count).unwrap_or(MAX_COUNT).min(MAX_COUNT))
}

/// Deserializes a number of bytes or objects in memory; [`MAX_COUNT`] stands for a greater one.
///
/// # Errors
///
/// Returns an error if the value is not a whole number that fits into 64 bits.
pub fn deserialize_size<'de, D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
    deserialize_count(deserializer).map(|count| count as usize)
}
