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

/// Output that is not held back any longer.
const HELD_OUTPUT_BYTES: usize = 64 * 1024;

/// Leading bits of a time limit that count; the rest is rounded up.
const TIMEOUT_BITS: u32 = 4;

/// Opens streams, which note in `sent` when bytes may have left.
#[derive(Debug)]
pub(super) struct Opener {
    pub(super) sent: Arc<AtomicBool>,
}

impl Connector<()> for Opener {
    type Out = Stream;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        _chained: Option<()>,
    ) -> Result<Option<Stream>, ureq::Error> {
        let address = details.addrs.first().ok_or(ureq::Error::HostNotFound)?;
        let stream = match details.timeout.not_zero() {
            Some(limit) => TcpStream::connect_timeout(address, *limit),
            None => TcpStream::connect(address),
        };
        let stream = stream.map_err(|error| limited(error, Timeout::Connect))?;
        stream.set_nodelay(true)?;
        let socket = Arc::new(Socket(stream));
        let weak: Weak<Socket> = Arc::downgrade(&socket);
        (details.register_shutdown)(weak)?;
        let config = details.config;
        Ok(Some(Stream {
            socket,
            buffers: LazyBuffers::new(config.input_buffer_size(), config.output_buffer_size()),
            held: Vec::new(),
            read_limit: None,
            write_limit: None,
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
    held: Vec<u8>,
    read_limit: Option<Duration>,
    write_limit: Option<Duration>,
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
    fn send_held(&mut self, timeout: &NextTimeout) -> Result<(), ureq::Error> {
        if self.held.is_empty() {
            return Ok(());
        }
        let limit = rounded(timeout);
        if limit != self.write_limit {
            self.socket.0.set_write_timeout(limit)?;
            self.write_limit = limit;
        }
        self.sent.store(true, Ordering::Release);
        let written = (&self.socket.0).write_all(&self.held);
        self.held.clear();
        written.map_err(|error| limited(error, timeout.reason))
    }
}

impl Transport for Stream {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), ureq::Error> {
        self.held
            .extend_from_slice(&self.buffers.output()[..amount]);
        if self.held.len() < HELD_OUTPUT_BYTES {
            return Ok(());
        }
        self.send_held(&timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, ureq::Error> {
        self.send_held(&timeout)?;
        let limit = rounded(&timeout);
        if limit != self.read_limit {
            self.socket.0.set_read_timeout(limit)?;
            self.read_limit = limit;
        }
        let input = self.buffers.input_append_buf();
        let read = read_uninterrupted(&self.socket.0, input);
        let amount = read.map_err(|error| limited(error, timeout.reason))?;
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
fn limited(error: io::Error, reason: Timeout) -> ureq::Error {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => ureq::Error::Timeout(reason),
        _ => ureq::Error::Io(error),
    }
}

/// Rounds a time limit up, so that limits that differ little are the same.
fn rounded(timeout: &NextTimeout) -> Option<Duration> {
    let limit = timeout.not_zero()?;
    let ms = u64::try_from(limit.as_millis()).ok()? + 1;
    let dropped = (u64::BITS - ms.leading_zeros()).saturating_sub(TIMEOUT_BITS);
    let step = 1 << dropped;
    Some(Duration::from_millis(ms.next_multiple_of(step)))
}
