//! Server that answers requests with arbitrary bytes, valid HTTP or not, and records what it receives.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

use crate::monitor::Monitor;

/// A request that the server received.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Number of the connection, counted from 0.
    pub connection: usize,
    /// Head of the request.
    pub head: String,
}

impl Arrival {
    /// Returns the value of a header field, or an empty text.
    pub fn field(&self, name: &str) -> &str {
        let fields = self.head.lines().filter_map(|line| line.split_once(": "));
        let mut values = fields.filter(|(key, _)| key.eq_ignore_ascii_case(name));
        values.next().map_or("", |(_, value)| value)
    }
}

/// A running server. Its threads end with their connections.
#[derive(Debug)]
pub struct RawServer {
    address: SocketAddr,
    arrivals: Arc<Monitor<Vec<Arrival>>>,
}

impl RawServer {
    /// Listens on a free port of 127.0.0.1. `answer` returns the bytes that are sent for a request.
    pub fn start(answer: impl Fn(&Arrival) -> Vec<u8> + Send + Sync + 'static) -> RawServer {
        RawServer::start_at(Ipv4Addr::LOCALHOST, answer)
    }

    /// As [`RawServer::start`], on another loopback address: a port of 127.0.0.1 may have been that of
    /// a stand-in which has ended, and which somebody still calls.
    pub fn start_at(
        ip: Ipv4Addr,
        answer: impl Fn(&Arrival) -> Vec<u8> + Send + Sync + 'static,
    ) -> RawServer {
        let listener = TcpListener::bind((ip, 0)).expect("no free port on the address");
        let address = listener
            .local_addr()
            .expect("listener has no local address");
        let arrivals: Arc<Monitor<Vec<Arrival>>> = Arc::default();
        let (recorded, answer) = (Arc::clone(&arrivals), Arc::new(answer));
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let (recorded, answer) = (Arc::clone(&recorded), Arc::clone(&answer));
                thread::spawn(move || serve(stream, number, &recorded, &*answer));
            }
        });
        RawServer { address, arrivals }
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns all requests so far, in the order of arrival.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().clone()
    }
}

/// Answers each request on a connection until the client closes it.
fn serve(
    mut stream: TcpStream,
    connection: usize,
    arrivals: &Monitor<Vec<Arrival>>,
    answer: &dyn Fn(&Arrival) -> Vec<u8>,
) {
    let mut input = Vec::new();
    while let Some(arrival) = read_request(&mut stream, connection, &mut input) {
        arrivals.update(|arrivals| arrivals.push(arrival.clone()));
        if stream.write_all(&answer(&arrival)).is_err() {
            return;
        }
    }
}

/// Reads a request whose body, if it has one, is delimited by its length.
fn read_request(stream: &mut TcpStream, connection: usize, input: &mut Vec<u8>) -> Option<Arrival> {
    loop {
        if let Some(end) = input.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&input[..end]).into_owned();
            let arrival = Arrival { connection, head };
            let length: usize = arrival.field("Content-Length").parse().unwrap_or_default();
            if input.len() >= end + 4 + length {
                input.drain(..end + 4 + length);
                return Some(arrival);
            }
        }
        let mut chunk = [0; 16 * 1024];
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => input.extend_from_slice(&chunk[..count]),
            _ => return None,
        }
    }
}
