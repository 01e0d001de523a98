//! Withholds requests that crash the leaves that run them.
//!
//! Load pattern: one request crashes each leaf that begins to run it, comes again and again through
//! any of hundreds of VMs, and each crash also ends the requests beside it. A VM sees few of the
//! crashes and can't tell the request from those beside it by a single one. The VMs therefore share
//! what they have seen in one list, and a request that any leaf answers is cleared: a request that
//! was only beside a crash is served by the next leaf, one that crashes leaves never is. Requests
//! are recognised by their [`Fingerprint`].
//!
//! From [`WITHHOLD_CRASHES`] crashes without an answer on, a request is refused without being sent,
//! for [`WITHHOLD_TIME`] after the last crash. After that it is sent to one leaf at a time (see
//! `core::call`), and one more crash withholds it again; after as long again, it is forgotten.
//!
//! A frequent request is beside many crashes. Crashes within a few seconds after an answer
//! therefore do not count, and a VM remembers its latest answers, as it may hear of crashes only
//! later.
//!
//! A VM that loses its links to the leaves sees connections end as if leaves had crashed. A crash
//! therefore counts only on this VM until a leaf has responded to a later request, which shows that
//! the links work; if they turn out to be lost, it is discarded.
//!
//! Nothing here depends on the shared list: without it, each VM withholds by what it has seen
//! itself. A list that was lost is completed by any VM that remembers more than it contains. Clocks
//! of VMs may differ: an answer then clears crashes shortly after it, or leaves some for the next
//! answer to clear.

mod crash;
mod record;
mod unconfirmed;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::core::fingerprint::Fingerprint;

pub use self::crash::Crash;
pub use self::record::{Record, merge_records};
use self::unconfirmed::Unconfirmed;

/// Number of crashes without an answer from which on a request is withheld.
pub const WITHHOLD_CRASHES: usize = 3;

/// Number of crashes without an answer from which on a request is sent to one leaf at a time.
pub const UNPROVEN_CRASHES: usize = 2;

/// Time after the last crash for which a request is withheld.
pub const WITHHOLD_TIME: Duration = Duration::from_secs(5 * 60);

/// Time after the last crash after which a request is forgotten.
pub const MEMORY: Duration = Duration::from_secs(10 * 60);

/// Maximum number of requests that are remembered.
pub const MAX_REQUESTS: usize = 128;

/// Maximum number of answers that are remembered. A VM may hear of the crashes beside a request
/// only after it has answered the request again.
const MAX_ANSWERS: usize = 1_024;

/// Maximum number of crashes that wait for confirmation.
const MAX_UNCONFIRMED: usize = 128;

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may be sent; this many crashes without an answer are known.
    Admitted(usize),
    /// It must not be sent, for this time.
    Withheld(Duration),
}

/// Requests during which leaves crashed, as this VM knows them.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Sorted by fingerprint.
    entries: Vec<Entry>,
    /// The shared list as it was last read, sorted by fingerprint.
    shared: Vec<Record>,
    /// Latest requests that leaves answered, with the time in milliseconds since the Unix epoch.
    answers: VecDeque<(Fingerprint, u64)>,
    /// Crashes that this VM has seen and that are not confirmed yet, in order of time.
    unconfirmed: Vec<Unconfirmed>,
}

/// A request during which leaves crashed, with the time of the last crash by the steady clock.
#[derive(Clone, Debug)]
struct Entry {
    record: Record,
    last_crash: Instant,
}

impl Quarantine {
    /// Returns whether no request is remembered during which leaves crashed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of requests that are withheld.
    pub fn withheld_count(&self, now: Instant) -> usize {
        let withheld = self.entries.iter().filter_map(|e| e.withheld_for(now));
        withheld.count()
    }

    /// Returns whether a request may be sent.
    pub fn admission(&self, fingerprint: Fingerprint, now: Instant) -> Admission {
        let entry = self.entry_with_unconfirmed(fingerprint);
        let Some(entry) = entry.filter(|entry| !entry.is_over(now)) else {
            return Admission::Admitted(0);
        };
        match entry.withheld_for(now) {
            Some(wait) => Admission::Withheld(wait),
            None => Admission::Admitted(entry.record.crash_count().min(UNPROVEN_CRASHES)),
        }
    }

    /// Records leaves that seem to have crashed while they had a request, none of whose attempts at
    /// this arrival was answered. They count on this VM, and on others once they are confirmed.
    pub fn record_unconfirmed(
        &mut self,
        fingerprint: Fingerprint,
        crashes: impl IntoIterator<Item = Crash>,
        now: Instant,
    ) {
        self.unconfirmed
            .extend(crashes.into_iter().map(|crash| Unconfirmed {
                fingerprint,
                crash,
                seen_at: now,
            }));
        let excess = self.unconfirmed.len().saturating_sub(MAX_UNCONFIRMED);
        self.unconfirmed.drain(..excess);
    }

    /// Returns whether crashes wait for confirmation.
    pub fn has_unconfirmed(&self) -> bool {
        !self.unconfirmed.is_empty()
    }

    /// Confirms the crashes that were seen before a request was sent to which a leaf has responded.
    /// Returns the requests, each with its number of crashes that count now.
    pub fn confirm(&mut self, sent_at: Instant, now: Instant) -> Vec<(Fingerprint, usize)> {
        let count = self
            .unconfirmed
            .partition_point(|crash| crash.seen_at < sent_at);
        let confirmed: Vec<Unconfirmed> = self.unconfirmed.drain(..count).collect();
        let counts = confirmed.into_iter().map(|seen| {
            let count = self.record_crashes(seen.fingerprint, [seen.crash], now);
            (seen.fingerprint, count)
        });
        counts.collect()
    }

    /// Discards the crashes that are not confirmed; returns their number.
    pub fn discard_unconfirmed(&mut self) -> usize {
        std::mem::take(&mut self.unconfirmed).len()
    }

    /// Records leaves that crashed while they had a request, none of whose attempts at this arrival
    /// was answered. Returns the number of crashes that count now.
    pub fn record_crashes(
        &mut self,
        fingerprint: Fingerprint,
        crashes: impl IntoIterator<Item = Crash>,
        now: Instant,
    ) -> usize {
        self.forget_old(now);
        let answered_ms = self.answered_ms(fingerprint);
        let entry = self.entry_or_insert(fingerprint, now);
        entry.record.clear(answered_ms);
        for crash in crashes {
            entry.record.add_crash(crash);
        }
        entry.last_crash = now;
        let count = entry.record.crash_count();
        self.drop_excess();
        count
    }

    /// Records that a leaf has answered a request, which clears its crashes, also those that other
    /// VMs tell later. Returns whether enough crashes were known to matter to other VMs.
    pub fn record_answer(&mut self, fingerprint: Fingerprint, now_ms: u64) -> bool {
        if self.answers.len() >= MAX_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back((fingerprint, now_ms));
        self.unconfirmed
            .retain(|seen| seen.fingerprint != fingerprint);
        let Ok(index) = self.search(fingerprint) else {
            return false;
        };
        let is_known = self.entries[index].record.crash_count() >= UNPROVEN_CRASHES;
        if !is_known && !self.is_unproven_for_others(fingerprint) {
            self.entries.remove(index);
            return false;
        }
        self.entries[index].record.clear(now_ms);
        is_known
    }

    /// Takes in the shared list as it was read at `now_ms` in milliseconds since the Unix epoch.
    pub fn merge(&mut self, records: Vec<Record>, now_ms: u64, now: Instant) {
        for record in &records {
            let age = record.age(now_ms);
            if age >= MEMORY {
                continue;
            }
            let last_crash = now.checked_sub(age).unwrap_or(now);
            let answered_ms = self.answered_ms(record.fingerprint);
            let entry = self.entry_or_insert(record.fingerprint, last_crash);
            entry.record.merge(record);
            entry.record.clear(answered_ms);
            entry.last_crash = entry.last_crash.max(last_crash);
        }
        self.shared = records;
        self.shared.sort_by_key(|record| record.fingerprint);
        self.forget_old(now);
        self.drop_excess();
    }

    /// Returns the records that tell more than the shared list.
    pub fn unshared(&self, now: Instant) -> Vec<Record> {
        let records = self.entries.iter().filter(|entry| !entry.is_over(now));
        let records = records.map(|entry| &entry.record);
        let unshared = records.filter(|record| match self.search_shared(record.fingerprint) {
            Some(shared) => record.tells_more_than(shared),
            None => record.crash_count() > 0,
        });
        unshared.cloned().collect()
    }

    /// Forgets the requests whose last crash is too long ago.
    pub fn forget_old(&mut self, now: Instant) {
        self.entries.retain(|entry| !entry.is_over(now));
    }

    /// Returns a copy of a request's entry to which the unconfirmed crashes were added; `None` if
    /// no crash is known.
    fn entry_with_unconfirmed(&self, fingerprint: Fingerprint) -> Option<Entry> {
        let known = self.search(fingerprint).ok();
        let known = known.map(|index| self.entries[index].clone());
        let seen = self.unconfirmed.iter();
        let mut seen = seen
            .filter(|seen| seen.fingerprint == fingerprint)
            .peekable();
        let first = seen.peek().map(|seen| seen.seen_at);
        let mut entry = known.or_else(|| Some(Entry::new(fingerprint, first?)))?;
        for seen in seen {
            entry.record.add_crash(seen.crash.clone());
            entry.last_crash = entry.last_crash.max(seen.seen_at);
        }
        Some(entry)
    }

    /// Returns whether the shared list contains crashes of a request that matter to other VMs. What
    /// this VM knows of its answers must be kept then, until the list contains it.
    fn is_unproven_for_others(&self, fingerprint: Fingerprint) -> bool {
        let shared = self.search_shared(fingerprint);
        shared.is_some_and(|record| record.crash_count() >= UNPROVEN_CRASHES)
    }

    fn search_shared(&self, fingerprint: Fingerprint) -> Option<&Record> {
        let order = |shared: &Record| shared.fingerprint.cmp(&fingerprint);
        let index = self.shared.binary_search_by(order).ok()?;
        Some(&self.shared[index])
    }

    /// Returns when a request was last answered, in milliseconds since the Unix epoch; 0 if that is
    /// not remembered.
    fn answered_ms(&self, fingerprint: Fingerprint) -> u64 {
        let mut answers = self.answers.iter().rev();
        let answer = answers.find(|(answered, _)| *answered == fingerprint);
        answer.map_or(0, |(_, at_ms)| *at_ms)
    }

    /// Keeps [`MAX_REQUESTS`] requests, those with the most crashes and of these the latest.
    fn drop_excess(&mut self) {
        while self.entries.len() > MAX_REQUESTS {
            let entries = self.entries.iter().enumerate();
            let rank = |entry: &Entry| (entry.record.crash_count(), entry.last_crash);
            let least = entries.min_by_key(|(_, entry)| rank(entry));
            let Some((index, _)) = least else { return };
            self.entries.remove(index);
        }
    }

    fn entry_or_insert(&mut self, fingerprint: Fingerprint, last_crash: Instant) -> &mut Entry {
        let index = self.search(fingerprint).unwrap_or_else(|index| {
            self.entries
                .insert(index, Entry::new(fingerprint, last_crash));
            index
        });
        &mut self.entries[index]
    }

    fn search(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&fingerprint, |entry| entry.record.fingerprint)
    }
}

impl Entry {
    fn new(fingerprint: Fingerprint, last_crash: Instant) -> Entry {
        Entry {
            record: Record::new(fingerprint),
            last_crash,
        }
    }

    /// Returns for how long the request is still withheld; `None` if it is not.
    fn withheld_for(&self, now: Instant) -> Option<Duration> {
        let age = now.saturating_duration_since(self.last_crash);
        let left = WITHHOLD_TIME.checked_sub(age)?;
        (self.record.crash_count() >= WITHHOLD_CRASHES).then_some(left)
    }

    /// Returns whether the last crash is too long ago to matter.
    fn is_over(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_crash) >= MEMORY
    }
}
