//! One part of a request.

use std::time::Instant;

use super::reply::Response;
use crate::core::placement::Key;
use crate::prelude::*;

/// State of one part.
#[derive(Debug)]
pub(super) struct Shard {
    pub(super) service: ServiceName,
    /// Leaves that were chosen so far.
    pub(super) tried: Vec<Key>,
    /// Attempts that reached, or may have reached, a leaf.
    pub(super) sends: u32,
    pub(super) open: Vec<Open>,
    /// When another attempt is due.
    pub(super) again_at: Option<Instant>,
    pub(super) may_have_run: bool,
    /// Whether its last attempt was rejected.
    pub(super) rejected: bool,
    /// The last failure that a leaf answered with.
    pub(super) failure: Option<Response>,
    pub(super) settled: Option<Settled>,
}

/// An attempt that is not over.
#[derive(Debug)]
pub(super) struct Open {
    pub(super) attempt: AttemptId,
    pub(super) replica: Key,
    /// Whether the leaf may have the request.
    pub(super) sent: bool,
}

/// How a part ended.
#[derive(Debug)]
pub(super) enum Settled {
    Included(Response),
    Missing,
}

/// How a part went, for logs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Story<'a> {
    /// The service.
    pub service: &'a str,
    /// Leaves that it was sent to.
    pub sends: u32,
    /// Whether its answer is in.
    pub included: bool,
    /// Whether an attempt was still open.
    pub open: bool,
}

impl Shard {
    pub(super) fn new(service: ServiceName) -> Shard {
        Shard {
            service,
            tried: Vec::new(),
            sends: 0,
            open: Vec::new(),
            again_at: None,
            may_have_run: false,
            rejected: false,
            failure: None,
            settled: None,
        }
    }

    pub(super) fn is_included(&self) -> bool {
        matches!(self.settled, Some(Settled::Included(_)))
    }

    /// Whether the leaves had no room for it, or not in time.
    pub(super) fn is_overdue(&self) -> bool {
        match self.settled {
            None => true,
            Some(Settled::Missing) => self.rejected,
            Some(Settled::Included(_)) => false,
        }
    }

    pub(super) fn close(&mut self, attempt: AttemptId) -> Option<Key> {
        let place = self.open.iter().position(|open| open.attempt == attempt)?;
        Some(self.open.swap_remove(place).replica)
    }

    pub(super) fn settle(&mut self, settled: Settled) {
        self.again_at = None;
        self.settled = Some(settled);
    }

    pub(super) fn story(&self) -> Story<'_> {
        Story {
            service: &self.service,
            sends: self.sends,
            included: self.is_included(),
            open: !self.open.is_empty(),
        }
    }
}
