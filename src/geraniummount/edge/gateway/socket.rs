//! A non-blocking socket with its input and output buffers.

use std::io::{self, IoSlice, Read, Write};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use mio::net::TcpStream;
use socket2::{Domain, Protocol, Type};

use super::content::Content;
use crate::core::memory_account::Share;

/// Size of the buffer that is passed to one read.
pub(super) const READ_BUF_BYTES: usize = 32 * 1024;

/// Number of bytes after which reading is interrupted, so that a peer that sends without end does
/// not occupy the event loop.
pub(super) const MAX_BYTES_PER_EVENT: usize = 256 * 1024;

/// Unused space that a buffer keeps for the next message.
const KEPT_BYTES: usize = 8 * 1024;

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
    /// Body that is written after `output`. It is shared between all connections that carry it.
    tail: Option<Arc<Content>>,
    /// Number of bytes of `output` and `tail` that have been written.
    written: usize,
    /// Memory that `input` takes.
    input_share: Share,
    /// Memory that `output` takes.
    output_share: Share,
}

impl Socket {
    /// Creates a socket whose buffers are recorded in the given shares.
    pub(super) fn new(stream: TcpStream, input_share: Share, output_share: Share) -> Socket {
        Socket {
            stream,
            input: Vec::new(),
            output: Vec::new(),
            tail: None,
            written: 0,
            input_share,
            output_share,
        }
    }

    /// Returns the number of bytes that the buffers take.
    pub(super) fn held_bytes(&self) -> usize {
        self.input_share.bytes() + self.output_share.bytes()
    }

    /// Records what the buffers take, and releases the space that was used for a large message.
    pub(super) fn settle(&mut self) {
        for buffer in [&mut self.input, &mut self.output] {
            if buffer.capacity() > KEPT_BYTES.max(buffer.len().saturating_mul(2)) {
                buffer.shrink_to(buffer.len());
            }
        }
        self.input_share.resize(self.input.capacity());
        self.output_share.resize(self.output.capacity());
    }

    /// Reads the available bytes into the input buffer, at most [`MAX_BYTES_PER_EVENT`] and the rest of
    /// one read.
    pub(super) fn read(&mut self, scratch: &mut [u8], closed: bool) -> ReadStatus {
        self.read_up_to(scratch, closed, MAX_BYTES_PER_EVENT)
    }

    /// Reads the available bytes into the input buffer, at most `max_bytes` and the rest of one read.
    /// A short read normally means that no more bytes are available and ends the loop. If `closed` is
    /// set, the peer may have closed its sending side, and reading goes on after a short read to
    /// reach the end of the stream.
    pub(super) fn read_up_to(
        &mut self,
        scratch: &mut [u8],
        closed: bool,
        max_bytes: usize,
    ) -> ReadStatus {
        let mut left = max_bytes;
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
        if let Some(tail) = self.tail.take() {
            self.output.extend_from_slice(tail.bytes());
        }
        self.output.extend_from_slice(bytes);
    }

    /// Appends a message to the output buffer, without copying it if nothing else is pending.
    pub(super) fn queue_message(&mut self, message: Vec<u8>) {
        if self.has_pending_output() {
            return self.queue(&message);
        }
        self.output = message;
    }

    /// Appends a head to the output buffer, and a body that is not copied.
    pub(super) fn queue_with_body(&mut self, head: Vec<u8>, body: Arc<Content>) {
        self.queue_message(head);
        self.tail = Some(body);
    }

    /// Returns the number of bytes that are to be written.
    pub(super) fn pending_output(&self) -> usize {
        let tail = self.tail.as_ref().map_or(0, |tail| tail.bytes().len());
        self.output.len() + tail - self.written
    }

    /// Returns whether the output buffer contains unwritten bytes.
    pub(super) fn has_pending_output(&self) -> bool {
        self.pending_output() > 0
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
        self.tail = None;
        true
    }

    /// Writes as much of the output buffer as the socket accepts, which is nothing while the
    /// connection is being established.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed or could not be established.
    pub(super) fn flush(&mut self) -> io::Result<()> {
        let flushed = self.write_pending();
        self.settle();
        flushed
    }

    fn write_pending(&mut self) -> io::Result<()> {
        while self.has_pending_output() {
            match self.write_once() {
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
        self.tail = None;
        self.written = 0;
        Ok(())
    }

    fn write_once(&mut self) -> io::Result<usize> {
        let tail = self.tail.as_ref().map_or(&[][..], |tail| tail.bytes());
        match self.output.get(self.written..) {
            Some(rest) if tail.is_empty() => self.stream.write(rest),
            Some(rest) => {
                let parts = [IoSlice::new(rest), IoSlice::new(tail)];
                self.stream.write_vectored(&parts)
            }
            None => self.stream.write(&tail[self.written - self.output.len()..]),
        }
    }
}
