//! Stand-in for clients.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::http::{Connection, Message};

pub const HOST: &str = "shop.example";

static LAST_ID: AtomicU64 = AtomicU64::new(0x1000);

/// Returns an id for the next request.
pub fn next_id() -> String {
    format!("{:016x}", LAST_ID.fetch_add(1, Ordering::Relaxed))
}

/// Connects to a VM; answers are awaited for a time.
pub fn connect(front: SocketAddr, wait: Duration) -> io::Result<Connection> {
    let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(wait))?;
    Ok(Connection::new(stream))
}

/// Sends a request.
pub fn send(
    connection: &mut Connection,
    (method, path): (&str, &str),
    id: &str,
    deadline: Duration,
    body: &[u8],
) -> io::Result<()> {
    let (deadline, length) = (deadline.as_millis().to_string(), body.len().to_string());
    let mut fields = vec![
        ("Host", HOST),
        ("Request-Id", id),
        ("Deadline-Ms", deadline.as_str()),
    ];
    if method != "GET" {
        fields.push(("Content-Length", &length));
    }
    connection.write(&format!("{method} {path} HTTP/1.1"), &fields, body)
}

/// Sends a request with a key and reads its answer.
pub fn ask_with_key(
    connection: &mut Connection,
    (method, path): (&str, &str),
    id: &str,
    key: &str,
) -> io::Result<Message> {
    let authorization = format!("Token {key}");
    let fields = [
        ("Host", HOST),
        ("Request-Id", id),
        ("Deadline-Ms", "2000"),
        ("Authorization", authorization.as_str()),
    ];
    connection.write(&format!("{method} {path} HTTP/1.1"), &fields, b"")?;
    connection.read()
}

/// Sends a request and reads its answer.
pub fn ask(
    connection: &mut Connection,
    line: (&str, &str),
    id: &str,
    deadline: Duration,
) -> io::Result<Message> {
    send(connection, line, id, deadline, b"")?;
    connection.read()
}
