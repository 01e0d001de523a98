//! A listener with a thread for each connection, closed when it is dropped.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use crate::http::Connection;

/// A listener and its connections.
#[derive(Debug)]
pub(super) struct Server {
    address: SocketAddr,
    closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves each connection of a free port of 127.0.0.1 on its own thread.
    pub(super) fn start(serve: impl Fn(Connection) + Clone + Send + 'static) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Server {
            address: listener.local_addr().expect("the port's address"),
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

    /// Ends all connections.
    pub(super) fn disconnect_all(&self) {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        for stream in streams.drain(..) {
            // It may have ended already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.closed.store(true, Ordering::Release);
        self.disconnect_all();
        // Wakes the accepting thread, which then sees the end.
        drop(TcpStream::connect(self.address));
    }
}
