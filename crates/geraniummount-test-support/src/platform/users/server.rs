//! Server that runs a thread for each connection.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use crate::http::Connection;

/// A listener and its connections, closed when it is dropped.
#[derive(Debug)]
pub(super) struct Server {
    address: SocketAddr,
    closed: Arc<AtomicBool>,
    /// Clones of the sockets of all connections accepted since the last `disconnect_all`.
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Listens on a free port of 127.0.0.1 and runs `serve` for each connection on a thread of its
    /// own.
    pub(super) fn start(serve: impl Fn(Connection) + Clone + Send + 'static) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port on 127.0.0.1");
        let server = Server {
            address: listener
                .local_addr()
                .expect("listener has no local address"),
            closed: Arc::default(),
            streams: Arc::default(),
        };
        let (closed, streams) = (server.closed.clone(), server.streams.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if closed.load(Ordering::Acquire) {
                    return;
                }
                let mut kept = streams.lock().unwrap_or_else(PoisonError::into_inner);
                kept.extend(stream.try_clone());
                drop(kept);
                let serve = serve.clone();
                thread::spawn(move || serve(Connection::new(stream)));
            }
        });
        server
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections; the listener stays open.
    pub(super) fn disconnect_all(&self) {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        for stream in streams.drain(..) {
            // Fails if the connection is closed already, which is harmless.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.closed.store(true, Ordering::Release);
        self.disconnect_all();
        // Wakes the accepting thread, which then notices that the server is closed and exits.
        drop(TcpStream::connect(self.address));
    }
}
