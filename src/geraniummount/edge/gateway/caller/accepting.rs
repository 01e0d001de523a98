//! Accepts the connections of callers and of other VMs.
//!
//! A request that has arrived with its connection is answered at once if it can't be served. A crowd
//! of callers that come again at once, on a new connection each time, therefore keeps the queue of
//! new connections filled for as long as it is read. Connections to leaves and timers must get their
//! turn meanwhile, so a bounded number is accepted in a row.

use std::io;

use log::warn;
use mio::Interest;
use mio::net::{TcpListener, TcpStream};

use super::Origin;
use crate::edge::gateway::Gateway;
use crate::edge::gateway::token::EventSource;

/// Maximum number of connections that are accepted in a row.
const MAX_ACCEPTED: usize = 64;

/// Maximum number of connections that are pending, which is the backlog that `mio` sets.
const MAX_PENDING: usize = 1024;

impl Gateway {
    /// Accepts pending connections. If there may be more, a further event reports them.
    pub(in crate::edge::gateway) fn accept(&mut self, origin: Origin) {
        if self.accept_up_to(origin, MAX_ACCEPTED) {
            self.register_listener_again(origin);
        }
    }

    /// Accepts all connections that were pending at the call, before the listener is closed.
    pub(in crate::edge::gateway) fn accept_all(&mut self, origin: Origin) {
        self.accept_up_to(origin, MAX_PENDING);
    }

    /// Accepts a number of connections; returns whether more may be pending.
    fn accept_up_to(&mut self, origin: Origin, max: usize) -> bool {
        for _ in 0..max {
            let listener = match origin {
                Origin::Caller => self.callers_listener.as_ref(),
                Origin::Peer => self.delegation.listener.as_ref(),
            };
            let Some(stream) = listener.and_then(accept_one) else {
                return false;
            };
            self.add_caller(stream, origin);
        }
        true
    }

    fn register_listener_again(&mut self, origin: Origin) {
        let (listener, source) = match origin {
            Origin::Caller => (self.callers_listener.as_mut(), EventSource::CallersListener),
            Origin::Peer => (
                self.delegation.listener.as_mut(),
                EventSource::PeersListener,
            ),
        };
        let Some(listener) = listener else {
            return;
        };
        let registry = self.poll.registry();
        if let Err(error) = registry.reregister(listener, source.token(), Interest::READABLE) {
            warn!("accept event=not-registered error=\"{error}\"");
        }
    }
}

/// Accepts the next pending connection; returns `None` if there is none or the listener fails.
fn accept_one(listener: &TcpListener) -> Option<TcpStream> {
    loop {
        match listener.accept() {
            Ok((stream, _)) => return Some(stream),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return None,
            Err(error) => {
                warn!("accept outcome=failed error=\"{error}\"");
                return None;
            }
        }
    }
}
