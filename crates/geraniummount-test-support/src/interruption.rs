//! Reads that go on after the process was stopped for a while.
//!
//! A read with a timeout ends with `Interrupted` if the process is stopped and continued meanwhile,
//! although the connection still works.

use std::io::{self, ErrorKind, Read};

/// Reads once, again after an interruption; returns the number of bytes, 0 at the end of the
/// stream.
///
/// # Errors
///
/// Fails like [`Read::read`], but never with `Interrupted`.
pub(crate) fn read(stream: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    loop {
        match stream.read(buffer) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}
