//! Withholds requests that crash the leaves that run them.
//!
//! Load pattern: one request crashes each leaf that begins to run it, comes again and again through
//! any of hundreds of VMs, and each crash also ends the requests beside it. A search goes to all
//! shards at once, so that one arrival may end a leaf of each. The VMs share what they have seen in
//! one list, and a request that any leaf answers is cleared: a request that was only beside a crash
//! is served by the next leaf, one that crashes leaves never is. Requests are recognised by their
//! [`Fingerprint`].
//!
//! From the first crash without an answer on, a request is sent to one leaf at a time (see
//! `core::call`), on every VM that knows of the crash. From [`WITHHOLD_CRASHES`] on, it is withheld
//! on all VMs and sent in [trials](Trial) only: one VM at a time sends it to one leaf, after pauses
//! that grow with each trial that ends with a crash. So the number of leaves that a request can end
//! once the VMs know of it does not depend on the number of VMs, shards or arrivals, and a request
//! that was only beside the crashes is withheld for seconds: its first trial is answered.
//!
//! A frequent request is beside many crashes. Crashes within a few seconds after an answer
//! therefore do not count, and a VM remembers its latest answers, as it may hear of crashes only
//! later.
//!
//! A VM that loses its links to the leaves sees connections end as if leaves had crashed, and a
//! search that ends the leaves of all shards looks like lost links. A crash counts only on this VM
//! until a leaf has responded to a later request, which shows that the links work. If no leaf
//! responds and the links are taken for lost, the crash is kept until it is known which it was. It was
//! none if the same run of the leaf responds. It was one if the run is no longer registered, can't be
//! reached although other leaves respond, or another leaf responds at its address.
//!
//! Nothing here depends on the shared list: without it, each VM withholds by what it has seen
//! itself. A list that was lost is completed by any VM that remembers more than it contains. Clocks
//! of VMs may differ: an answer then clears crashes shortly after it, or leaves some for the next
//! answer to clear, and a trial is early or late.

mod crash;
mod entry;
mod fields;
mod record;
mod trial;
mod unconfirmed;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::core::fingerprint::Fingerprint;

pub use self::crash::Crash;
use self::entry::Entry;
pub use self::record::{Record, merge_records};
pub use self::trial::{Claim, FIRST_PAUSE, Trial};
use self::unconfirmed::Unconfirmed;
use crate::prelude::*;

/// Number of crashes without an answer from which on a request is withheld.
pub const WITHHOLD_CRASHES: usize = 3;

/// Number of crashes during one arrival, without an answer, from which on the request is sent to
/// one leaf at a time. A single one is mostly not the fault of the request.
pub const UNPROVEN_CRASHES: usize = 2;

/// Time after the last crash for which a request is withheld while there is no trial, for example
/// because the store is away.
pub const WITHHOLD_TIME: Duration = Duration::from_secs(5 * 60);

/// Longest pause between two trials of a request.
const MAX_PAUSE: Duration = WITHHOLD_TIME;

/// Time after the last crash after which a request is forgotten.
pub const MEMORY: Duration = Duration::from_secs(10 * 60);

/// Maximum number of requests that are remembered.
pub const MAX_REQUESTS: usize = 128;

/// Maximum number of answers that are remembered. A VM may hear of the crashes beside a request
/// only after it has answered the request again.
const MAX_ANSWERS: usize = 1_024;

/// Maximum number of crashes that wait for confirmation.
const MAX_UNCONFIRMED: usize = 128;

/// Maximum number of crashes of one request that wait for confirmation: one more than are needed, in
/// case one is refuted.
const MAX_UNCONFIRMED_OF_REQUEST: usize = WITHHOLD_CRASHES + 1;

/// Time in which leaves that a request has ended respond again and are registered.
const RECENT_VERDICT_TIME: Duration = Duration::from_secs(10);

/// Time that a leaf which has ended needs at least to respond again.
const MIN_RESTART_TIME: Duration = Duration::from_secs(1);

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may be sent; this many crashes without an answer are known.
    Admitted(usize),
    /// It must not be sent; a trial is due after this time.
    Withheld(Duration),
    /// It must not be sent unless this VM gets the trial that is due.
    TrialDue,
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
    /// Whether this VM's links to the leaves are lost.
    has_lost_links: bool,
}

impl Quarantine {
    /// Returns whether no request is remembered during which leaves crashed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of requests that are withheld.
    pub fn withheld_count(&self, now: Instant) -> usize {
        let is_withheld = |entry: &&Entry| !matches!(entry.admission(now), Admission::Admitted(_));
        self.entries.iter().filter(is_withheld).count()
    }

    /// Returns whether a request may be sent.
    pub fn admission(&self, fingerprint: Fingerprint, now: Instant) -> Admission {
        let entry = self.entry_with_unconfirmed(fingerprint);
        entry.map_or(Admission::Admitted(0), |entry| entry.admission(now))
    }

    /// Returns whether a request is withheld under which leaves have just ended, which explains why
    /// many of them did not respond.
    pub fn has_recent_verdict(&self, now: Instant) -> bool {
        let is_recent = |entry: &Entry| {
            let age = now.saturating_duration_since(entry.last_crash);
            entry.record.is_withheld() && age < RECENT_VERDICT_TIME
        };
        self.entries.iter().any(is_recent)
    }

    /// Returns this VM's claim to the next trial of a request; `None` if no crash of it is known.
    pub fn claim(&self, fingerprint: Fingerprint, vm: impl Into<VmName>) -> Option<Claim> {
        let entry = self.entry_with_unconfirmed(fingerprint)?;
        Some(Claim {
            record: entry.record,
            vm: vm.into(),
        })
    }

    /// Records leaves that seem to have crashed while they had a request, none of whose attempts at
    /// this arrival was answered. They count on this VM, and on others once they are confirmed.
    pub fn record_unconfirmed(
        &mut self,
        fingerprint: Fingerprint,
        crashes: impl IntoIterator<Item = Crash>,
        now: Instant,
    ) {
        let is_same = |seen: &&Unconfirmed| seen.fingerprint == fingerprint;
        let known = self.unconfirmed.iter().filter(is_same).count();
        let room = MAX_UNCONFIRMED_OF_REQUEST.saturating_sub(known);
        let added = crashes.into_iter().take(room).map(|crash| Unconfirmed {
            fingerprint,
            crash,
            seen_at: now,
            is_doubted: self.has_lost_links,
        });
        self.unconfirmed.extend(added);
        let excess = self.unconfirmed.len().saturating_sub(MAX_UNCONFIRMED);
        self.unconfirmed.drain(..excess);
    }

    /// Returns whether crashes wait for confirmation.
    pub fn has_unconfirmed(&self) -> bool {
        !self.unconfirmed.is_empty()
    }

    /// Confirms the crashes that were seen before a request was sent to which a leaf has responded,
    /// unless the links were lost meanwhile. Returns the requests, each with its number of crashes
    /// that count now.
    pub fn confirm(&mut self, sent_at: Instant) -> Vec<(Fingerprint, usize)> {
        self.count_unconfirmed(|seen| !seen.is_doubted && seen.seen_at < sent_at)
    }

    /// Counts the doubted crashes of runs of leaves that have ended: `has_ended` tells this of a leaf and the
    /// time of its start. Returns the requests, each with its number of crashes that count now.
    pub fn prove(
        &mut self,
        has_ended: impl Fn(&str, Option<u64>) -> bool,
    ) -> Vec<(Fingerprint, usize)> {
        self.count_unconfirmed(|seen| {
            let crash = &seen.crash;
            seen.is_doubted && has_ended(&crash.leaf, crash.started_at_ms)
        })
    }

    /// Drops the crashes of a run of a leaf that were seen shortly before a request was sent to which
    /// the leaf has responded. Later, that may be another run, of which this VM does not know yet.
    pub fn refute(&mut self, leaf: &str, started_at_ms: Option<u64>, sent_at: Instant) {
        let is_refuted = |seen: &Unconfirmed| {
            let age = sent_at.saturating_duration_since(seen.seen_at);
            let is_later = seen.seen_at < sent_at && age < MIN_RESTART_TIME;
            is_later && seen.crash.is_of_run(leaf, started_at_ms)
        };
        self.unconfirmed.retain(|seen| !is_refuted(seen));
    }

    /// Records that this VM's links to the leaves are lost. The crashes that are not confirmed are
    /// doubted from now on. Returns their number.
    pub fn on_links_lost(&mut self) -> usize {
        self.has_lost_links = true;
        for seen in &mut self.unconfirmed {
            seen.is_doubted = true;
        }
        self.unconfirmed.len()
    }

    /// Records that this VM's links to the leaves work again. Returns the leaves whose crashes are
    /// doubted, sorted.
    pub fn on_links_regained(&mut self) -> Vec<String> {
        self.has_lost_links = false;
        let doubted = self.unconfirmed.iter().filter(|seen| seen.is_doubted);
        let mut leaves: Vec<String> = doubted.map(|seen| seen.crash.leaf.clone()).collect();
        leaves.sort_unstable();
        leaves.dedup();
        leaves
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
        entry.clear(answered_ms);
        for crash in crashes {
            entry.record.add_crash(crash);
        }
        entry.last_crash = entry.last_crash.max(now);
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
        let is_known = self.entries[index].record.crash_count() > 1;
        if !is_known && !self.is_unproven_for_others(fingerprint) {
            self.entries.remove(index);
            return false;
        }
        self.entries[index].clear(now_ms);
        is_known
    }

    /// Takes in the shared list as it was read at `now_ms` in milliseconds since the Unix epoch.
    pub fn merge(&mut self, records: Vec<Record>, now_ms: u64, now: Instant) {
        for record in &records {
            if !record.is_recent(now_ms) {
                continue;
            }
            let last_crash = now.checked_sub(record.age(now_ms)).unwrap_or(now);
            let answered_ms = self.answered_ms(record.fingerprint);
            let entry = self.entry_or_insert(record.fingerprint, last_crash);
            entry.merge(record, now_ms, now);
            entry.clear(answered_ms);
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

    /// Forgets the requests whose last crash is too long ago, and crashes for which no proof is to be
    /// expected any more.
    pub fn forget_old(&mut self, now: Instant) {
        self.entries.retain(|entry| !entry.is_over(now));
        self.unconfirmed.retain(|seen| !seen.is_over(now));
    }

    /// Counts the unconfirmed crashes that are selected. Returns the requests, each with its number
    /// of crashes that count now.
    fn count_unconfirmed(
        &mut self,
        is_selected: impl Fn(&Unconfirmed) -> bool,
    ) -> Vec<(Fingerprint, usize)> {
        let unconfirmed = std::mem::take(&mut self.unconfirmed);
        let (counted, left) = unconfirmed.into_iter().partition(|seen| is_selected(seen));
        self.unconfirmed = left;
        let counted: Vec<Unconfirmed> = counted;
        let mut counts: Vec<(Fingerprint, usize)> = Vec::new();
        for seen in counted {
            let count = self.record_crashes(seen.fingerprint, [seen.crash], seen.seen_at);
            counts.retain(|(fingerprint, _)| *fingerprint != seen.fingerprint);
            counts.push((seen.fingerprint, count));
        }
        counts
    }

    /// Returns a copy of a request's entry to which the unconfirmed crashes were added; `None` if
    /// no crash is known.
    fn entry_with_unconfirmed(&self, fingerprint: Fingerprint) -> Option<Entry> {
        let known = self.search(fingerprint).ok();
        let known = known.map(|index| self.entries[index].clone());
        let counts = |seen: &&Unconfirmed| {
            let is_ignored = seen.is_doubted && self.has_lost_links;
            seen.fingerprint == fingerprint && !is_ignored
        };
        let mut seen = self.unconfirmed.iter().filter(counts).peekable();
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
        shared.is_some_and(|record| record.crash_count() > 1)
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
            let least = entries.min_by_key(|(_, entry)| entry.record.rank());
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
