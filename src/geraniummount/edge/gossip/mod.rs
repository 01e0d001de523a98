//! Sends and receives gossip datagrams, by which VMs learn of the state of other VMs and of leaves.
//!
//! One socket on the peer address, at which other VMs reach this one, is used in both directions.
//! The answer to a datagram goes to the address that the message states as its sender, not to the
//! source address of the datagram. This lets datagrams pass through a forwarder.

mod codec;

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use log::debug;

use crate::core::gossip::Message;
use crate::edge::metrics::Metrics;

/// Maximum size of a sent datagram. Longer datagrams are fragmented on some links.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Size of the receive buffer. It exceeds [`MAX_DATAGRAM_BYTES`], so that a received length above
/// that maximum shows a datagram that is longer than any that peers send.
const RECEIVE_BUFFER_BYTES: usize = 2_048;

/// UDP socket for gossip messages.
#[derive(Debug)]
pub struct Socket {
    udp: UdpSocket,
    metrics: Metrics,
}

impl Socket {
    /// Binds the socket to `listen`. [`Socket::receive`] waits `receive_timeout` at most.
    pub fn bind(
        listen: SocketAddr,
        receive_timeout: Duration,
        metrics: Metrics,
    ) -> io::Result<Socket> {
        let udp = UdpSocket::bind(listen)?;
        udp.set_read_timeout(Some(receive_timeout))?;
        Ok(Socket { udp, metrics })
    }

    /// Returns another handle to the same socket.
    pub fn try_clone(&self) -> io::Result<Socket> {
        Ok(Socket {
            udp: self.udp.try_clone()?,
            metrics: self.metrics.clone(),
        })
    }

    /// Sends a message. A message that can't be sent is dropped, like one that the
    /// network loses.
    pub fn send(&self, to: SocketAddr, message: &Message) {
        let Some(bytes) = encode(message) else {
            return;
        };
        match self.udp.send_to(&bytes, to) {
            Ok(sent) => self.metrics.count_control_sent(sent),
            Err(error) => debug!("gossip: failed to send a datagram to {to}: {error}"),
        }
    }

    /// Waits for a message. Returns `None` if none arrives in time or if the
    /// datagram can't be decoded.
    pub fn receive(&self) -> Option<Message> {
        let mut bytes = [0; RECEIVE_BUFFER_BYTES];
        let (length, source) = self.udp.recv_from(&mut bytes).ok()?;
        self.metrics.count_control_received(length);
        let message = codec::decode(&bytes[..length]);
        if let Err(error) = &message {
            debug!("gossip: failed to decode a datagram from {source}: {error}");
        }
        message.ok()
    }
}

/// Decodes a datagram. Returns `None` if it is malformed.
pub fn decode(bytes: &[u8]) -> Option<Message> {
    codec::decode(bytes).ok()
}

/// Encodes a message. Drops records of VMs and notices (statements about leaves that are draining)
/// from the end of their lists until the message fits into a datagram. Returns `None` if the
/// message can't be encoded or is still too long without them.
pub fn encode(message: &Message) -> Option<Vec<u8>> {
    let mut message = message.clone();
    loop {
        let bytes = codec::encode(&message).ok()?;
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            return Some(bytes);
        }
        let was_shortened = message.vms.pop().is_some() | message.notices.pop().is_some();
        if !was_shortened {
            return None;
        }
    }
}
