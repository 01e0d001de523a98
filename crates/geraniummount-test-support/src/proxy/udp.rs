//! Forwards UDP datagrams through a proxy, towards the listener only.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use super::{Flow, State};
use crate::monitor::Monitor;

const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Longest wait for a datagram, after which the thread checks whether the proxy is closed.
const MAX_READ_TIMEOUT: Duration = Duration::from_millis(50);

/// Shortest read timeout in use, because a socket rejects a timeout of zero.
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(1);

/// Forwards datagrams until the proxy is closed.
pub(super) fn forward(socket: &UdpSocket, upstream: SocketAddr, state: &Monitor<State>) {
    let mut delayed = BinaryHeap::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    while !state.lock().is_closed {
        let due: Option<&Reverse<(Instant, Vec<u8>)>> = delayed.peek();
        let wait = due.map_or(MAX_READ_TIMEOUT, |Reverse((due, _))| {
            due.saturating_duration_since(Instant::now())
        });
        let timeout = wait.clamp(MIN_READ_TIMEOUT, MAX_READ_TIMEOUT);
        socket
            .set_read_timeout(Some(timeout))
            .expect("cannot set the read timeout of the proxy's UDP socket");
        if let Ok((length, source)) = socket.recv_from(&mut buffer) {
            let due = state.update(|state| due_time(state, source));
            delayed.extend(due.map(|due| Reverse((due, buffer[..length].to_vec()))));
        }
        while let Some(Reverse((due, _))) = delayed.peek()
            && *due <= Instant::now()
        {
            if let Some(Reverse((_, datagram))) = delayed.pop() {
                // A datagram that cannot be sent counts as lost.
                let _ = socket.send_to(&datagram, upstream);
            }
        }
    }
}

/// Returns the time at which a datagram is delivered, or `None` when it is lost.
fn due_time(state: &mut State, source: SocketAddr) -> Option<Instant> {
    let link = state.link(source.ip());
    if link.forward == Flow::Cut || state.is_lost(&link) {
        return None;
    }
    Some(Instant::now() + state.draw_delay(&link))
}
