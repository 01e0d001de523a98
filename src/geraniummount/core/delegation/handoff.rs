//! A delegated request at the peer that has it, or to which a connection is being opened.

use std::time::{Duration, Instant};

use super::Purpose;
use crate::core::not_run::Progress;
use crate::prelude::*;

/// Time from sending a request until the peer has to acknowledge it. A packet that was lost is sent
/// again after some 200 ms, and a slow peer reads the request later than that only if it notices
/// that it was stalled. A peer that is given up too early runs the request beside the next one.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time from choosing a peer for an offloaded request until the request has to be sent to it. This VM
/// can still serve it in time then.
const OFFLOAD_SEND_TIMEOUT: Duration = Duration::from_millis(40);

/// As [`ACKNOWLEDGE_TIMEOUT`], for an offloaded request. It is not served here after that, as the
/// peer may have used all attempts that the route permits; the caller repeats it.
const OFFLOAD_ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(100);

/// A peer that has the request.
#[derive(Debug)]
pub(super) struct Handoff {
    pub(super) id: HandoffId,
    pub(super) peer: VmName,
    /// When the peer was chosen.
    pub(super) chosen_at: Instant,
    /// When the request was sent; `None` while a connection is being opened.
    pub(super) sent_at: Option<Instant>,
    /// Whether the peer has read the request.
    pub(super) is_acknowledged: bool,
    /// Whether the peer has been counted as failed.
    pub(super) is_late: bool,
}

impl Handoff {
    /// Creates the state of a request that is about to be sent to a peer.
    pub(super) fn new(id: HandoffId, peer: VmName, now: Instant) -> Handoff {
        Handoff {
            id,
            peer,
            chosen_at: now,
            sent_at: None,
            is_acknowledged: false,
            is_late: false,
        }
    }

    /// Returns how far the request has got on its way to the peer.
    pub(super) fn progress(&self) -> Progress {
        match self.sent_at {
            Some(_) => Progress::Sent,
            None => Progress::Queued,
        }
    }

    /// Returns when the peer counts as failed; `None` if it has acknowledged the request or has not
    /// got it yet.
    pub(super) fn late_at(&self, purpose: Purpose) -> Option<Instant> {
        if self.is_acknowledged {
            return None;
        }
        match purpose {
            Purpose::Necessity => self.sent_at.map(|at| at + ACKNOWLEDGE_TIMEOUT),
            Purpose::Offload => Some(match self.sent_at {
                Some(at) => at + OFFLOAD_ACKNOWLEDGE_TIMEOUT,
                None => self.chosen_at + OFFLOAD_SEND_TIMEOUT,
            }),
        }
    }
}
