//! Datagrams between VMs: short questions and their answers.
//!
//! A datagram is sent from the address on which the VM accepts the requests of other VMs, to the
//! same address of the other VM. It contains the secret that the receiver has registered in the
//! platform's store, which only VMs can read, and the number of the question that it asks or
//! answers. Datagrams may be lost, repeated or late; who asks keeps the time. A datagram that is
//! malformed, or whose sender is not registered, is dropped.

mod envelope;
mod message;

use std::io;
use std::net::SocketAddr;

use log::debug;
use mio::Interest;
use mio::net::UdpSocket;

use self::envelope::Envelope;
use super::token::EventSource;
use super::{Gateway, Options};
use crate::core::key_lease::Statement;
use crate::prelude::*;
use crate::util::bounded;

pub(super) use self::message::Message;

/// Maximum size of a datagram in bytes. Each fits into one packet.
const MAX_BYTES: usize = 1_400;

/// Maximum number of datagrams that are read before other events are handled.
const MAX_PER_EVENT: usize = 64;

/// Socket for datagrams, as the event loop knows it.
#[derive(Debug)]
pub(super) struct Datagrams {
    /// `None` if this VM takes no part.
    socket: Option<UdpSocket>,
    /// Number of the last question.
    last_id: u64,
}

impl Datagrams {
    /// Binds the socket, if an address for other VMs is configured.
    pub(super) fn bind(options: &Options) -> io::Result<Datagrams> {
        Ok(Datagrams {
            socket: options.peer_listen.map(UdpSocket::bind).transpose()?,
            // Answers to the questions of an earlier process are not taken for those to this one.
            last_id: rand::random::<u64>() >> 1,
        })
    }

    /// Registers the socket with the event loop.
    pub(super) fn register(&mut self, registry: &mio::Registry) -> io::Result<()> {
        let Some(socket) = &mut self.socket else {
            return Ok(());
        };
        let token = EventSource::Datagrams.token();
        registry.register(socket, token, Interest::READABLE)
    }

    /// Receives the next datagram; `None` if there is none.
    fn receive(&self, buf: &mut [u8]) -> Option<(usize, SocketAddr)> {
        match self.socket.as_ref()?.recv_from(buf) {
            Ok(received) => Some(received),
            Err(error) => {
                if error.kind() != io::ErrorKind::WouldBlock {
                    debug!("datagram event=not-received error=\"{error}\"");
                }
                None
            }
        }
    }
}

impl Gateway {
    /// Sends a question to a VM. Returns its number, which the answer repeats; `None` if the VM is
    /// not known, or the question could not be sent.
    #[allow(dead_code, reason = "used by the part that confirms the configuration")]
    pub(super) fn ask(&mut self, peer: &str, question: Message) -> Option<u64> {
        self.datagrams.last_id += 1;
        let id = self.datagrams.last_id;
        self.send_datagram(peer, id, question).then_some(id)
    }

    /// Answers a question of a VM, or asks one whose number the part that asks has chosen.
    pub(super) fn answer(&mut self, peer: &str, id: u64, answer: Message) {
        self.send_datagram(peer, id, answer);
    }

    fn send_datagram(&mut self, peer: &str, id: u64, message: Message) -> bool {
        let (Some(socket), Some(peer)) = (&self.datagrams.socket, self.delegation.peer(peer))
        else {
            return false;
        };
        let envelope = Envelope {
            from: self.options.name.clone(),
            key: peer.key.clone(),
            id,
            message,
        };
        let sent = socket.send_to(&envelope.encode(), peer.address);
        if let Err(error) = &sent {
            let name = &peer.name;
            debug!("datagram peer={name} event=not-sent error=\"{error}\"");
        }
        sent.is_ok()
    }

    /// Receives and handles the datagrams that have arrived.
    pub(super) fn receive_datagrams(&mut self) {
        let mut buf = [0; MAX_BYTES];
        for _ in 0..MAX_PER_EVENT {
            let Some((length, from)) = self.datagrams.receive(&mut buf) else {
                return;
            };
            if let Some(envelope) = self.open_envelope(&buf[..length], from) {
                let Envelope {
                    from, id, message, ..
                } = envelope;
                self.on_message(&from, id, message);
            }
        }
        // No event reports the datagrams that are left.
        if let Err(error) = self.register_datagrams_again() {
            debug!("datagram event=not-registered error=\"{error}\"");
        }
    }

    fn register_datagrams_again(&mut self) -> io::Result<()> {
        let Some(socket) = &mut self.datagrams.socket else {
            return Ok(());
        };
        let token = EventSource::Datagrams.token();
        let registry = self.poll.registry();
        registry.reregister(socket, token, Interest::READABLE)
    }

    /// Decodes a datagram; `None` if it is not from a registered VM to this one.
    fn open_envelope(&self, bytes: &[u8], from: SocketAddr) -> Option<Envelope> {
        let envelope = Envelope::decode(bytes)?;
        let sender = self.delegation.peer(&envelope.from)?;
        let is_sender = sender.address == from;
        let is_for_this_vm = self.delegation.is_own_key(&envelope.key);
        (is_sender && is_for_this_vm).then_some(envelope)
    }

    /// Handles a message of a registered VM; `id` is the number of the question.
    fn on_message(&mut self, from: &VmName, id: u64, message: Message) {
        match message {
            Message::AskConfirmation => self.on_keys_question(from, id),
            Message::Confirmation {
                version,
                era,
                age_ms,
            } => {
                let age = age_ms.map(bounded::millis);
                let statement = Statement { version, era, age };
                self.on_keys_answer(from, id, statement);
            }
            Message::Quota(message) => self.on_quota_message(from, id, message),
            Message::Unknown => debug!("datagram peer={from} id={id} event=ignored"),
        }
    }
}
