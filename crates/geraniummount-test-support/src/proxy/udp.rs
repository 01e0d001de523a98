//! Datagrams through a proxy, towards the listener.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use super::{Flow, State};
use crate::monitor::Monitor;

const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Longest wait for a datagram, after which the thread looks for the end.
const MAX_READ_TIMEOUT: Duration = Duration::from_millis(50);

/// Shortest read timeout that a socket takes.
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(1);

/// Forwards datagrams until the proxy closes.
pub(super) fn forward(socket: &UdpSocket, upstream: SocketAddr, state: &Monitor<State>) {
    let mut delayed = BinaryHeap::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    while !state.lock().closed {
        let due: Option<&Reverse<(Instant, Vec<u8>)>> = delayed.peek();
        let wait = due.map_or(MAX_READ_TIMEOUT, |Reverse((due, _))| {
            due.saturating_duration_since(Instant::now())
        });
        let timeout = wait.clamp(MIN_READ_TIMEOUT, MAX_READ_TIMEOUT);
        socket
            .set_read_timeout(Some(timeout))
            .expect("socket refused a timeout");
        if let Ok((length, source)) = socket.recv_from(&mut buffer) {
            let due = state.update(|state| due_time(state, source));
            delayed.extend(due.map(|due| Reverse((due, buffer[..length].to_vec()))));
        }
        while let Some(Reverse((due, _))) = delayed.peek()
            && *due <= Instant::now()
        {
            if let Some(Reverse((_, datagram))) = delayed.pop() {
                // A datagram that can't be sent counts as lost.
                let _ = socket.send_to(&datagram, upstream);
            }
        }
    }
}

/// Returns when a datagram arrives; `None` when it is lost.
fn due_time(state: &mut State, source: SocketAddr) -> Option<Instant> {
    let link = state.link(source.ip());
    if link.forward == Flow::Cut || state.is_lost(&link) {
        return None;
    }
    Some(Instant::now() + state.draw_delay(&link))
}
