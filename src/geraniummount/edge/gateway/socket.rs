//! A non-blocking socket with its input and output buffers.

use std::io::{self, Read, Write};
use std::net::{IpAddr, SocketAddr};

use mio::net::TcpStream;
use socket2::{Domain, Protocol, Type};

/// Size of the buffer that is passed to one read.
pub(super) const READ_BUF_BYTES: usize = 32 * 1024;

/// Number of bytes after which reading is interrupted, so that a peer that sends without end does
/// not occupy the event loop.
const MAX_BYTES_PER_EVENT: usize = 256 * 1024;

/// Begins to connect to `address` from the IP address `source`, without blocking.
pub(super) fn connect(address: SocketAddr, source: Option<IpAddr>) -> io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(address);
    };
    let domain = Domain::for_address(address);
    let socket = socket2::Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::new(source, 0).into())?;
    match socket.connect(&address.into()) {
        Err(error) if error.raw_os_error() != Some(libc::EINPROGRESS) => Err(error),
        _ => Ok(TcpStream::from_std(socket.into())),
    }
}

/// Outcome of reading from a socket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReadStatus {
    /// The connection is open and more input may follow.
    Open,
    /// Reading was interrupted; more bytes may be available. No event reports them unless the
    /// socket is registered again.
    Interrupted,
    /// The peer has closed its sending side.
    Eof,
    /// The connection failed.
    Broken,
    /// The peer did not respond in time.
    TimedOut,
}

/// A socket with its buffers.
#[derive(Debug)]
pub(super) struct Socket {
    pub(super) stream: TcpStream,
    /// Bytes that were read and have not been consumed.
    pub(super) input: Vec<u8>,
    output: Vec<u8>,
    /// Number of bytes of `output` that have been written.
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

    /// Reads the available bytes into the input buffer, at most [`MAX_BYTES_PER_EVENT`] and the
    /// rest of one read. A short read normally means that no more bytes are available and ends the
    /// loop. If `closed` is set, the peer may have closed its sending side, and reading goes on
    /// after a short read to reach the end of the stream.
    pub(super) fn read(&mut self, scratch: &mut [u8], closed: bool) -> ReadStatus {
        let mut left = MAX_BYTES_PER_EVENT;
        loop {
            match self.stream.read(scratch) {
                Ok(0) => return ReadStatus::Eof,
                Ok(count) => {
                    self.input.extend_from_slice(&scratch[..count]);
                    left = left.saturating_sub(count);
                    if count < scratch.len() && !closed {
                        return ReadStatus::Open;
                    }
                    if left == 0 {
                        return ReadStatus::Interrupted;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return ReadStatus::Open,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::TimedOut => {
                    return ReadStatus::TimedOut;
                }
                Err(_) => return ReadStatus::Broken,
            }
        }
    }

    /// Appends bytes to the output buffer.
    pub(super) fn queue(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// Returns whether the output buffer contains unwritten bytes.
    pub(super) fn has_pending_output(&self) -> bool {
        self.written < self.output.len()
    }

    /// Returns whether any byte of the queued output has been written. Also returns `true` if the
    /// output buffer is empty, because all of the output has been written then.
    pub(super) fn has_written(&self) -> bool {
        self.written > 0 || self.output.is_empty()
    }

    /// Returns whether a part of the output that is still buffered has been written.
    pub(super) fn has_written_part(&self) -> bool {
        self.written > 0
    }

    /// Removes the queued output if no byte of it has been written; returns whether it was removed.
    pub(super) fn take_back(&mut self) -> bool {
        if self.written > 0 || self.output.is_empty() {
            return false;
        }
        self.output.clear();
        true
    }

    /// Writes as much of the output buffer as the socket accepts, which is nothing while the
    /// connection is being established.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed or could not be established.
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
