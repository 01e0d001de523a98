//! TCP beneath the HTTP library.
//!
//! Differs from the library's own transport in what it costs and in what it
//! tells: a request's head and body leave in one write, a time limit is set
//! on the socket only when it changes much, and the moment at which bytes may
//! first have left is known. A limit on the socket may pass late by an eighth;
//! the leaf's task ends a request at its deadline.

use std::io::{self, Read, Write};
use std::mem::MaybeUninit;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use socket2::SockRef;
use ureq::Timeout;
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, LazyBuffers, NextTimeout, ShutdownHandle, Transport,
};

/// Output that is not pending_output back any longer.
const MAX_PENDING_OUTPUT_BYTES: usize = 64 * 1024;

/// Leading bits of a time limit that count; the rest is rounded up.
const TIMEOUT_SIGNIFICANT_BITS: u32 = 4;

/// Opens streams, which note in `sent` when bytes may have left.
#[derive(Debug)]
pub(super) struct TcpConnector {
    pub(super) sent: Arc<AtomicBool>,
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
            sent: Arc::clone(&self.sent),
        }))
    }
}

#[derive(Debug)]
struct Socket(TcpStream);

impl ShutdownHandle for Socket {
    fn shutdown(&self) {
        // A socket that is closed already needs no shutdown.
        let _ = self.0.shutdown(Shutdown::Both);
    }
}

/// An open stream.
pub(super) struct Stream {
    socket: Arc<Socket>,
    buffers: LazyBuffers,
    /// Output that leaves with the next output or before the next input.
    pending_output: Vec<u8>,
    read_timeout: Option<Duration>,
    write_timeout: Option<Duration>,
    sent: Arc<AtomicBool>,
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
        self.sent.store(true, Ordering::Release);
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
        self.buffers.input_appended(amount);
        Ok(amount > 0)
    }

    /// An idle stream is open while there is nothing to read from it.
    fn is_open(&mut self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let flags = libc::MSG_PEEK | libc::MSG_DONTWAIT;
        let peeked = SockRef::from(&self.socket.0).recv_with_flags(&mut byte, flags);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Reads again after a signal, as when the process is told to stop.
fn read_uninterrupted(mut stream: &TcpStream, input: &mut [u8]) -> io::Result<usize> {
    loop {
        match stream.read(input) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Tells a passed time limit from other errors.
fn convert_error(error: io::Error, reason: Timeout) -> ureq::Error {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => ureq::Error::Timeout(reason),
        _ => ureq::Error::Io(error),
    }
}

/// Rounds a time limit up, so that limits that differ little are the same.
fn round_up_timeout(timeout: &NextTimeout) -> Option<Duration> {
    let remaining = timeout.not_zero()?;
    let ms = u64::try_from(remaining.as_millis()).ok()? + 1;
    let dropped_bits = (u64::BITS - ms.leading_zeros()).saturating_sub(TIMEOUT_SIGNIFICANT_BITS);
    let step = 1 << dropped_bits;
    Some(Duration::from_millis(ms.next_multiple_of(step)))
}
