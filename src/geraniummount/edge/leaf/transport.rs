//! TCP transport for `ureq`.
//!
//! Compared with the transport of `ureq` itself, this one makes fewer system calls, and it records
//! whether bytes of a request may have been sent: a request of which no byte was sent is known not
//! to have run. It also ends a reply that becomes too long, as a faulty leaf may send interim
//! replies or trailers without end. The head and the body of a request are sent in one write. Timeouts are rounded up,
//! and a socket's timeout is set only when its rounded value changes. A socket timeout may
//! therefore fire late, by up to an eighth of its length. The lateness is harmless, because the
//! leaf's task (the thread of this process that queues the requests to one leaf) ends each request
//! at its deadline without waiting for the socket.

use std::io::{self, Read, Write};
use std::mem::MaybeUninit;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Weak};
use std::time::Duration;

use socket2::SockRef;
use ureq::Timeout;
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, LazyBuffers, NextTimeout, ShutdownHandle, Transport,
};

use super::traffic::Traffic;

/// Size at which pending output is sent without waiting for more.
const MAX_PENDING_OUTPUT_BYTES: usize = 64 * 1024;

/// Number of leading binary digits that a timeout in milliseconds keeps when it is rounded up.
const TIMEOUT_SIGNIFICANT_BITS: u32 = 4;

/// Opens streams, which record their bytes in one place.
#[derive(Debug)]
pub(super) struct TcpConnector {
    /// Bytes of the current exchange; reset only by the user of the connector.
    pub(super) traffic: Arc<Traffic>,
}

impl Connector<()> for TcpConnector {
    type Out = Stream;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        _chained: Option<()>,
    ) -> Result<Option<Stream>, ureq::Error> {
        let address = details.addrs.first().ok_or(ureq::Error::HostNotFound)?;
        let stream = match details.timeout.not_zero() {
            Some(timeout) => TcpStream::connect_timeout(address, *timeout),
            None => TcpStream::connect(address),
        };
        let stream = stream.map_err(|error| convert_error(error, Timeout::Connect))?;
        stream.set_nodelay(true)?;
        let socket = Arc::new(Socket(stream));
        let weak: Weak<Socket> = Arc::downgrade(&socket);
        (details.register_shutdown)(weak)?;
        let config = details.config;
        Ok(Some(Stream {
            socket,
            buffers: LazyBuffers::new(config.input_buffer_size(), config.output_buffer_size()),
            pending_output: Vec::new(),
            read_timeout: None,
            write_timeout: None,
            traffic: Arc::clone(&self.traffic),
        }))
    }
}

#[derive(Debug)]
struct Socket(TcpStream);

impl ShutdownHandle for Socket {
    fn shutdown(&self) {
        // Shutting down a socket that is already closed fails, which is harmless.
        let _ = self.0.shutdown(Shutdown::Both);
    }
}

/// An open TCP stream.
pub(super) struct Stream {
    socket: Arc<Socket>,
    buffers: LazyBuffers,
    /// Output that is sent once it reaches [`MAX_PENDING_OUTPUT_BYTES`], or before the next read.
    pending_output: Vec<u8>,
    /// Read timeout that is set on the socket.
    read_timeout: Option<Duration>,
    /// Write timeout that is set on the socket.
    write_timeout: Option<Duration>,
    /// The connector's [`TcpConnector::traffic`].
    traffic: Arc<Traffic>,
}

impl std::fmt::Debug for Stream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Stream")
            .field("socket", &self.socket)
            .finish()
    }
}

impl Stream {
    fn flush_pending(&mut self, timeout: &NextTimeout) -> Result<(), ureq::Error> {
        if self.pending_output.is_empty() {
            return Ok(());
        }
        let rounded = round_up_timeout(timeout);
        if rounded != self.write_timeout {
            self.socket.0.set_write_timeout(rounded)?;
            self.write_timeout = rounded;
        }
        self.traffic.record_sending();
        let written = (&self.socket.0).write_all(&self.pending_output);
        self.pending_output.clear();
        written.map_err(|error| convert_error(error, timeout.reason))
    }
}

impl Transport for Stream {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), ureq::Error> {
        self.pending_output
            .extend_from_slice(&self.buffers.output()[..amount]);
        if self.pending_output.len() < MAX_PENDING_OUTPUT_BYTES {
            return Ok(());
        }
        self.flush_pending(&timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, ureq::Error> {
        self.flush_pending(&timeout)?;
        let rounded = round_up_timeout(&timeout);
        if rounded != self.read_timeout {
            self.socket.0.set_read_timeout(rounded)?;
            self.read_timeout = rounded;
        }
        let input = self.buffers.input_append_buf();
        let read = read_uninterrupted(&self.socket.0, input);
        let amount = read.map_err(|error| convert_error(error, timeout.reason))?;
        if !self.traffic.record_received(amount) {
            return Err(ureq::Error::Io(io::ErrorKind::InvalidData.into()));
        }
        self.buffers.input_appended(amount);
        Ok(amount > 0)
    }

    /// Returns whether an idle stream is open. A stream with input to read is not usable: the input
    /// is either the end of the stream or data that no request asked for.
    fn is_open(&mut self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let flags = libc::MSG_PEEK | libc::MSG_DONTWAIT;
        let peeked = SockRef::from(&self.socket.0).recv_with_flags(&mut byte, flags);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Reads from a stream, and retries if a signal interrupts the read. The signal that asks the
/// process to stop is one of these; requests in flight are still completed then.
fn read_uninterrupted(mut stream: &TcpStream, input: &mut [u8]) -> io::Result<usize> {
    loop {
        match stream.read(input) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Converts an I/O error. An expired socket timeout becomes [`ureq::Error::Timeout`].
fn convert_error(error: io::Error, reason: Timeout) -> ureq::Error {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => ureq::Error::Timeout(reason),
        _ => ureq::Error::Io(error),
    }
}

/// Rounds a timeout up to a number of milliseconds with at most [`TIMEOUT_SIGNIFICANT_BITS`]
/// significant bits. Timeouts that differ little become equal, which saves setting them on the
/// socket again. Returns `None` if there is no timeout.
fn round_up_timeout(timeout: &NextTimeout) -> Option<Duration> {
    let remaining = timeout.not_zero()?;
    // Rounds a started millisecond up, and keeps the result above zero as a socket requires.
    let ms = u64::try_from(remaining.as_millis()).ok()? + 1;
    let dropped_bits = (u64::BITS - ms.leading_zeros()).saturating_sub(TIMEOUT_SIGNIFICANT_BITS);
    let step = 1 << dropped_bits;
    Some(Duration::from_millis(ms.next_multiple_of(step)))
}
