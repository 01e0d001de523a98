//! A socket with what was read and what waits to be written.

use std::io::{self, Read, Write};

use mio::net::TcpStream;

/// Bytes that one read takes at most.
pub(super) const READ_BUF_BYTES: usize = 32 * 1024;

/// What a read found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReadStatus {
    /// More may come.
    Open,
    /// The other side sends nothing more.
    Eof,
    /// The connection broke.
    Broken,
}

/// A socket with its buffers.
#[derive(Debug)]
pub(super) struct Socket {
    pub(super) stream: TcpStream,
    /// What was read and not yet used.
    pub(super) input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
}

impl Socket {
    pub(super) fn new(stream: TcpStream) -> Socket {
        Socket {
            stream,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
        }
    }

    /// Reads what is there. `closed` says that the end is known to be near, so
    /// that a short read does not end the reading.
    pub(super) fn read(&mut self, scratch: &mut [u8], closed: bool) -> ReadStatus {
        loop {
            match self.stream.read(scratch) {
                Ok(0) => return ReadStatus::Eof,
                Ok(count) => {
                    self.input.extend_from_slice(&scratch[..count]);
                    if count < scratch.len() && !closed {
                        return ReadStatus::Open;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return ReadStatus::Open,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return ReadStatus::Broken,
            }
        }
    }

    /// Adds bytes to be written.
    pub(super) fn queue(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// Returns whether bytes wait to be written.
    pub(super) fn has_pending_output(&self) -> bool {
        self.written < self.output.len()
    }

    /// Returns whether any byte of what was queued last has been written.
    pub(super) fn has_written(&self) -> bool {
        self.written > 0 || self.output.is_empty()
    }

    /// Writes what it can.
    ///
    /// # Errors
    ///
    /// The connection broke, or could not be opened.
    pub(super) fn flush(&mut self) -> io::Result<()> {
        while self.written < self.output.len() {
            match self.stream.write(&self.output[self.written..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => self.written += count,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error)
                    if matches!(
                        error.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected
                    ) =>
                {
                    return Ok(());
                }
                Err(error) => return Err(error),
            }
        }
        self.output.clear();
        self.written = 0;
        Ok(())
    }
}
