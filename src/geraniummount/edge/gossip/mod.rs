//! Datagrams between VMs.
//!
//! One socket on the peer address sends and receives. A datagram is answered
//! at the address that its sender states, not at its source, so that it may
//! pass through a forwarder.

mod codec;

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use log::debug;

use crate::core::gossip::Message;
use crate::edge::metrics::Metrics;

/// Longest datagram; longer ones do not pass every link in one piece.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Room to see that a datagram is longer than any that peers send.
const RECEIVE_BYTES: usize = 2_048;

/// The socket for datagrams.
#[derive(Debug)]
pub struct Socket {
    udp: UdpSocket,
    metrics: Metrics,
}

impl Socket {
    /// Binds the socket; [`Socket::receive`] waits at most `wait`.
    pub fn bind(listen: SocketAddr, wait: Duration, metrics: Metrics) -> io::Result<Socket> {
        let udp = UdpSocket::bind(listen)?;
        udp.set_read_timeout(Some(wait))?;
        Ok(Socket { udp, metrics })
    }

    /// Returns another handle of the same socket.
    pub fn try_clone(&self) -> io::Result<Socket> {
        Ok(Socket {
            udp: self.udp.try_clone()?,
            metrics: self.metrics.clone(),
        })
    }

    /// Sends a datagram. One that can't be sent counts as lost on the way.
    pub fn send(&self, to: SocketAddr, message: &Message) {
        let Some(bytes) = encode(message) else {
            return;
        };
        match self.udp.send_to(&bytes, to) {
            Ok(sent) => self.metrics.count_control_sent(sent),
            Err(error) => debug!("gossip: can't send to {to}: {error}"),
        }
    }

    /// Waits for a datagram; `None` when none came in time or it was bad.
    pub fn receive(&self) -> Option<Message> {
        let mut bytes = [0; RECEIVE_BYTES];
        let (length, source) = self.udp.recv_from(&mut bytes).ok()?;
        self.metrics.count_control_received(length);
        let message = codec::decode(&bytes[..length]);
        if let Err(error) = &message {
            debug!("gossip: bad datagram from {source}: {error}");
        }
        message.ok()
    }
}

/// Decodes a datagram; `None` when it is bad.
pub fn decode(bytes: &[u8]) -> Option<Message> {
    codec::decode(bytes).ok()
}

/// Encodes a message, with fewer of its samples where it is too long.
pub fn encode(message: &Message) -> Option<Vec<u8>> {
    let mut message = message.clone();
    loop {
        let bytes = codec::encode(&message).ok()?;
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            return Some(bytes);
        }
        let shortened = message.vms.pop().is_some() | message.notices.pop().is_some();
        if !shortened {
            return None;
        }
    }
}
