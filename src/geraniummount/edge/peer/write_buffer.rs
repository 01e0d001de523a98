//! Buffers the bytes that are to be written to a peer (another VM).
//!
//! capnp-rpc flushes after each message. The buffer ignores these flushes and
//! sends all messages of one turn of the executor in one write. This reduces the
//! number of system calls, and also the number of packets that can get lost.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use futures::AsyncWrite;

/// Number of buffered bytes from which on the [`Writer`] has to wait.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Maximum capacity that an empty buffer keeps. The rest is deallocated.
const MAX_RETAINED_BYTES: usize = 32 * 1024;

#[derive(Debug, Default)]
struct State {
    bytes: Vec<u8>,
    /// Number of leading bytes that are already written to the stream.
    written: usize,
    /// Whether a write to the stream has failed.
    has_failed: bool,
    /// Set while the [`Writer`] waits for the buffer to be emptied.
    writer_waker: Option<Waker>,
    /// Set while the [`Flusher`] waits for bytes in the empty buffer.
    flusher_waker: Option<Waker>,
}

/// End of the buffer that accepts messages. Its flush does nothing, because the
/// [`Flusher`] writes to the stream.
#[derive(Debug)]
pub struct Writer {
    state: Rc<RefCell<State>>,
}

/// Future that writes the buffered bytes to the stream. It ends when a write
/// fails and returns the error.
#[derive(Debug)]
pub struct Flusher<W> {
    stream: W,
    state: Rc<RefCell<State>>,
}

/// Makes a write buffer for a stream.
pub fn write_buffer<W: AsyncWrite + Unpin>(stream: W) -> (Writer, Flusher<W>) {
    let state = Rc::default();
    let writer = Writer {
        state: Rc::clone(&state),
    };
    (writer, Flusher { stream, state })
}

impl AsyncWrite for Writer {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.state.borrow_mut();
        if state.has_failed {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        if state.bytes.len() - state.written >= MAX_BUFFERED_BYTES {
            state.writer_waker = Some(context.waker().clone());
            return Poll::Pending;
        }
        state.bytes.extend_from_slice(bytes);
        if let Some(waker) = state.flusher_waker.take() {
            waker.wake();
        }
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

impl<W: AsyncWrite + Unpin> Future for Flusher<W> {
    type Output = io::Error;

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Error> {
        let flusher = self.get_mut();
        let mut state = flusher.state.borrow_mut();
        while state.written < state.bytes.len() {
            let unwritten = &state.bytes[state.written..];
            match Pin::new(&mut flusher.stream).poll_write(context, unwritten) {
                Poll::Ready(Ok(count)) if count > 0 => state.written += count,
                Poll::Ready(result) => return Poll::Ready(state.fail(result)),
                Poll::Pending => return Poll::Pending,
            }
        }
        state.clear();
        state.flusher_waker = Some(context.waker().clone());
        Poll::Pending
    }
}

impl State {
    fn fail(&mut self, result: io::Result<usize>) -> io::Error {
        self.has_failed = true;
        self.wake_writer();
        result
            .err()
            .unwrap_or_else(|| io::ErrorKind::WriteZero.into())
    }

    fn clear(&mut self) {
        self.bytes.clear();
        self.bytes.shrink_to(MAX_RETAINED_BYTES);
        self.written = 0;
        self.wake_writer();
    }

    fn wake_writer(&mut self) {
        if let Some(waker) = self.writer_waker.take() {
            waker.wake();
        }
    }
}
