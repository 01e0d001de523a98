//! Stand-in for a client: one attempt on a connection of its own or on a kept one.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::Connection;

/// A request of a client.
pub struct Attempt<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    pub id: &'a str,
    /// How long the client waits.
    pub deadline: Duration,
    pub body: &'a [u8],
}

/// How an attempt ended.
pub struct Outcome {
    pub status: u16,
    pub retry_after: Option<f64>,
    pub reason: String,
}

impl Attempt<'_> {
    /// Sends the request on a new connection; an error means that there was no complete answer.
    pub fn send(&self, front: SocketAddr) -> io::Result<Outcome> {
        let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
        self.send_on(&mut Connection::new(stream))
    }

    /// Sends the request on an open connection.
    pub fn send_on(&self, connection: &mut Connection) -> io::Result<Outcome> {
        let mut request = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\n",
            self.method,
            self.path,
            self.host,
            self.id,
            self.deadline.as_millis()
        );
        if self.method != "GET" {
            request += &format!("Content-Length: {}\r\n", self.body.len());
        }
        request += "\r\n";
        let mut request = request.into_bytes();
        request.extend_from_slice(self.body);
        connection.set_timeout(self.deadline);
        connection.write(&request)?;
        let head = connection.read_head()?;
        let head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        let length = head.number("Content-Length").unwrap_or(0) as usize;
        let body = connection.read_body(length)?;
        let retry_after = head.field("Retry-After");
        Ok(Outcome {
            status: head.status(),
            retry_after: retry_after.and_then(|text| text.parse().ok()),
            reason: String::from_utf8_lossy(&body).trim().to_string(),
        })
    }
}
