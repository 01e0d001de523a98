//! Detects that this VM has lost its links to the leaves.
//!
//! Load pattern: a VM, or all VMs of a failure domain, lose the links to all leaves for seconds,
//! while callers, the platform's store and the other VMs still reach them. Connections to leaves
//! hang, are reset, or live on while new ones are refused. Every request that such a VM sends to
//! leaves itself fails, although another VM could serve it.
//!
//! Single failures prove nothing: leaves pause, are overloaded or crash, also many at once. The
//! links are suspected if several requests are left unanswered while no leaf responds, or if
//! several connections fail while none succeeds. The VM then checks them by a health request to a
//! few leaves drawn at random, of all failure domains, over new connections. Only if none of them
//! responds, the links are lost. From then on the check is repeated, and the first response to it
//! ends the loss. A connection that is established proves nothing, as something between the VM and
//! the leaf may accept connections for it.
//!
//! A request that ends all leaves looks like lost links, too, until the leaves are back. Searches are
//! therefore sent with caution for some seconds after a loss in which leaves closed or refused
//! connections, as leaves do that have ended.

use std::time::{Duration, Instant};

/// Minimum number of failures for the links to be suspected.
const MIN_FAILURES: usize = 3;

/// Maximum number of failures of a kind that are remembered.
const MAX_FAILURES: usize = 256;

/// Time in which one of the leaves of a check has to respond. A health request may wait for a slot
/// of the leaf.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// Minimum interval between two checks while the links work.
const MIN_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between two checks while the links are lost.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time after a doubt in which a leaf has to respond, else the links are checked.
const DOUBT_DELAY: Duration = Duration::from_millis(100);

/// Time for which a response shows that connections of before still work.
const RECENT_RESPONSE_TTL: Duration = Duration::from_millis(500);

/// Time after the end of a loss in which this VM may still hear that a request had ended all leaves:
/// the leaves have registered again, and the VM that has seen the crashes has shared them.
const CAUTION_TIME: Duration = Duration::from_secs(4);

/// Number of leaves that a check asks.
pub const CHECKED_LEAVES: usize = 6;

/// Detector of the loss of the links to the leaves, each of which has a key of type `K`.
#[derive(Debug)]
pub struct LeafLinks<K> {
    /// Requests that were left unanswered since a leaf last responded, each by its leaf and time,
    /// sorted.
    silent: Vec<(K, Instant)>,
    /// Connections that could not be opened since one was last opened, each by its leaf and the
    /// time of the failure, sorted.
    unreachable: Vec<(K, Instant)>,
    /// When the first of the `unreachable` connections failed.
    unreachable_since: Option<Instant>,
    /// When a leaf last responded.
    responded_at: Option<Instant>,
    /// When the links are checked unless a leaf responds before.
    doubt_until: Option<Instant>,
    /// When the last check began while the links were not known to be lost.
    checked_at: Option<Instant>,
    /// Earliest start of the next check.
    next_check: Option<Instant>,
    /// Whether leaves have closed or refused connections since the links last worked. Leaves that have
    /// ended do that; a cut of the links may, too.
    has_closed_connection: bool,
    /// When the last loss ended in which leaves closed or refused connections; `None` if there was
    /// none.
    regained_at: Option<Instant>,
    state: State<K>,
}

#[derive(Debug)]
enum State<K> {
    /// The links work as far as is known.
    Working,
    /// One of the leaves that are left has to respond until a time.
    Checking { left: Vec<K>, until: Instant },
    /// The links are lost.
    Lost,
}

/// A change of the state of the links.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The links are lost now.
    Lost,
    /// The links work again.
    Regained,
}

impl<K> Default for LeafLinks<K> {
    fn default() -> LeafLinks<K> {
        LeafLinks {
            silent: Vec::new(),
            unreachable: Vec::new(),
            unreachable_since: None,
            responded_at: None,
            doubt_until: None,
            checked_at: None,
            next_check: None,
            has_closed_connection: false,
            regained_at: None,
            state: State::Working,
        }
    }
}

impl<K: Clone + Ord> LeafLinks<K> {
    /// Records a response of a leaf on a connection that was opened at `opened_at`.
    ///
    /// A response on a connection that is older than the first failed one says nothing about new
    /// connections, and does not dismiss a doubt.
    pub fn on_response(&mut self, opened_at: Instant, now: Instant) -> Option<Change> {
        self.silent.clear();
        self.responded_at = Some(now);
        let is_older = |since: Instant| opened_at < since;
        if self.unreachable_since.is_some_and(is_older) {
            return None;
        }
        self.doubt_until = None;
        match self.is_lost() {
            true => None,
            false => self.on_check_passed(now),
        }
    }

    /// Records that a leaf has responded to a check.
    pub fn on_check_passed(&mut self, now: Instant) -> Option<Change> {
        self.silent.clear();
        self.unreachable.clear();
        self.unreachable_since = None;
        self.doubt_until = None;
        let was_lost = self.is_lost();
        self.state = State::Working;
        if was_lost && self.has_closed_connection {
            self.regained_at = Some(now);
        }
        self.has_closed_connection = false;
        was_lost.then_some(Change::Regained)
    }

    /// Records that a leaf has left a request of `since` unanswered. Ignored if any leaf has
    /// responded since then; returns whether none has.
    pub fn on_silent(&mut self, leaf: K, since: Instant) -> bool {
        let is_silent = self.responded_at.is_none_or(|at| at < since);
        if is_silent {
            insert(&mut self.silent, (leaf, since));
        }
        is_silent
    }

    /// Records that something has happened that is explained by lost links as well as by something
    /// else, which needs to be told apart.
    pub fn on_doubt(&mut self, now: Instant) {
        self.doubt_until.get_or_insert(now + DOUBT_DELAY);
    }

    /// Records that a connection to a leaf could not be established, or was closed before any
    /// response.
    pub fn on_unreachable(&mut self, leaf: &K, now: Instant) -> Option<Change> {
        insert(&mut self.unreachable, (leaf.clone(), now));
        self.unreachable_since.get_or_insert(now);
        let State::Checking { left, .. } = &mut self.state else {
            return None;
        };
        left.retain(|checked| checked != leaf);
        left.is_empty().then(|| self.lose())
    }

    /// Records that a leaf has closed or refused a connection.
    pub fn on_closed(&mut self) {
        self.has_closed_connection = true;
    }

    /// Returns whether a check is due.
    pub fn is_check_due(&self, now: Instant) -> bool {
        let is_due = match self.state {
            State::Working => {
                let is_in_doubt = self.doubt_until.is_some_and(|until| now >= until);
                let most = self.silent.len().max(self.unreachable.len());
                most >= MIN_FAILURES || is_in_doubt
            }
            State::Checking { .. } => false,
            State::Lost => true,
        };
        is_due && self.next_check.is_none_or(|at| now >= at)
    }

    /// Records that a check of the given leaves begins, or that it is put off if there are none.
    pub fn begin_check(&mut self, leaves: Vec<K>, now: Instant) {
        if self.is_lost() {
            self.next_check = Some(now + RECHECK_INTERVAL);
            return;
        }
        self.checked_at = Some(now);
        self.next_check = Some(now + MIN_CHECK_INTERVAL);
        if leaves.is_empty() {
            self.doubt_until = None;
            return;
        }
        self.state = State::Checking {
            left: leaves,
            until: now + CHECK_TIMEOUT,
        };
    }

    /// Ends a check whose time is over.
    pub fn tick(&mut self, now: Instant) -> Option<Change> {
        match self.state {
            State::Checking { until, .. } if now >= until => Some(self.lose()),
            _ => None,
        }
    }

    /// Returns when `tick` or the next check is due; `None` while neither is.
    pub fn next_wake(&self) -> Option<Instant> {
        match self.state {
            State::Working => self
                .doubt_until
                .max(self.next_check.filter(|_| self.is_in_doubt())),
            State::Checking { until, .. } => Some(until),
            State::Lost => self.next_check,
        }
    }

    fn is_in_doubt(&self) -> bool {
        self.doubt_until.is_some()
    }

    /// Returns whether the links are lost.
    pub fn is_lost(&self) -> bool {
        matches!(self.state, State::Lost)
    }

    /// Returns whether a loss has just ended in which leaves closed or refused connections. What looked
    /// like lost links may have been a request that ended all leaves, and that comes again once they
    /// are back.
    pub fn was_just_lost(&self, now: Instant) -> bool {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.regained_at.is_some_and(|at| age(at) < CAUTION_TIME)
    }

    /// Returns whether a leaf has responded just now, and after the check began that has found the
    /// links lost. This shows that connections of before still work.
    pub fn has_recent_response(&self, now: Instant) -> bool {
        let age = |at: Instant| now.saturating_duration_since(at);
        let mut responded_at = self.responded_at.into_iter();
        responded_at.any(|at| Some(at) >= self.checked_at && age(at) < RECENT_RESPONSE_TTL)
    }

    /// Returns whether the links are lost or being checked.
    pub fn is_suspected(&self) -> bool {
        !matches!(self.state, State::Working)
    }

    /// Returns whether a leaf is known to have failed since the links last worked.
    pub fn has_failed(&self, leaf: &K) -> bool {
        let is_in = |failures: &[(K, Instant)]| {
            let index = failures.partition_point(|(failed, _)| failed < leaf);
            failures
                .get(index)
                .is_some_and(|(failed, _)| failed == leaf)
        };
        is_in(&self.silent) || is_in(&self.unreachable)
    }

    /// Returns the numbers of requests that were left unanswered, and of connections that could not
    /// be opened.
    pub fn failed_counts(&self) -> (usize, usize) {
        (self.silent.len(), self.unreachable.len())
    }

    fn lose(&mut self) -> Change {
        self.state = State::Lost;
        self.doubt_until = None;
        self.next_check = None;
        Change::Lost
    }
}

/// Inserts a failure into a sorted list.
fn insert<K: Ord>(failures: &mut Vec<(K, Instant)>, failure: (K, Instant)) {
    if let Err(index) = failures.binary_search(&failure)
        && failures.len() < MAX_FAILURES
    {
        failures.insert(index, failure);
    }
}
