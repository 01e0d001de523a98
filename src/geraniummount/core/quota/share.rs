//! The share of all quotas that this VM may use: its own portion unless that is lent, and the
//! portions that it has borrowed.

use crate::core::boot_time::BootTime;
use crate::prelude::*;

/// Share of all quotas that this VM may use, from 0 to 1.
#[derive(Debug, Default)]
pub(super) struct Share {
    /// Portion of this VM.
    own: f64,
    /// When this VM may use its own portion; `None` until it has one.
    own_from: Option<BootTime>,
    /// Portions of other VMs, sorted by lender.
    loans: Vec<Loan>,
    /// Time up to which the total is known.
    at: BootTime,
    /// Sum over time of the share, in seconds of the whole quota.
    total: f64,
    /// Sum of the waits of restarted VMs that was added, in seconds of the whole quota.
    start_allowance_total: f64,
    /// The part of [`Share::start_allowance_total`] for which tokens are kept.
    start_allowance_kept: f64,
    /// When no tokens for waits are kept any more.
    start_allowance_until: BootTime,
}

/// A portion that this VM has borrowed.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Loan {
    pub(super) lender: VmName,
    pub(super) portion: f64,
    /// Number of the question that the lender has answered.
    pub(super) question: u64,
    /// When this VM asked for it.
    pub(super) asked_at: BootTime,
    pub(super) until: BootTime,
}

impl Share {
    /// Adds the time up to `now` to the total, and removes the loans that are over. Returns whether
    /// there were any.
    pub(super) fn advance(&mut self, now: BootTime) -> bool {
        let seconds =
            |from: BootTime, until: BootTime| until.saturating_duration_since(from).as_secs_f64();
        let at = self.at;
        let own = self.own_from.map_or(0.0, |from| seconds(from.max(at), now));
        let loans = self.loans.iter();
        let borrowed: f64 = loans
            .map(|loan| loan.portion * seconds(at, loan.until.min(now)))
            .sum();
        self.total += self.own * own + borrowed;
        self.at = self.at.max(now);
        let before = self.loans.len();
        self.loans.retain(|loan| loan.until > now);
        let is_start_over = self.start_allowance_kept > 0.0 && self.start_allowance_until <= now;
        if is_start_over {
            self.end_start_allowance();
        }
        self.loans.len() < before || is_start_over
    }

    /// Adds a part of the waits of restarted VMs, in seconds of the whole quota. Tokens for it are
    /// kept until `until`.
    pub(super) fn add_start_allowance(&mut self, seconds: f64, until: BootTime) {
        self.start_allowance_total += seconds;
        self.start_allowance_kept += seconds;
        self.start_allowance_until = until;
    }

    /// Removes the tokens for the waits of restarted VMs with the next settling of the buckets.
    pub(super) fn end_start_allowance(&mut self) {
        self.start_allowance_kept = 0.0;
    }

    /// Returns the sum of the waits that was added, in seconds of the whole quota.
    pub(super) fn start_allowance_total(&self) -> f64 {
        self.start_allowance_total
    }

    /// Returns the part of the waits for which tokens are kept, in seconds of the whole quota.
    pub(super) fn start_allowance_kept(&self) -> f64 {
        self.start_allowance_kept
    }

    /// Returns the sum over time of the share up to the last call of [`Share::advance`].
    pub(super) fn total(&self) -> f64 {
        self.total
    }

    /// Returns the share at the time of the last call of [`Share::advance`].
    pub(super) fn current(&self) -> f64 {
        let own = if self.has_own() { self.own } else { 0.0 };
        own + self.borrowed()
    }

    /// Returns the sum of the portions that are borrowed.
    pub(super) fn borrowed(&self) -> f64 {
        self.loans.iter().map(|loan| loan.portion).sum()
    }

    /// Returns whether this VM may use its own portion.
    pub(super) fn has_own(&self) -> bool {
        self.own_from.is_some_and(|from| from <= self.at)
    }

    /// Returns this VM's portion, whether it may use it or not.
    pub(super) fn own(&self) -> f64 {
        self.own
    }

    /// Changes the portion of this VM. Borrowed portions do not exceed it.
    pub(super) fn set_own(&mut self, portion: f64) {
        self.own = portion;
        for loan in &mut self.loans {
            loan.portion = loan.portion.min(portion);
        }
    }

    /// Returns when this VM may use its own portion.
    pub(super) fn own_from(&self) -> Option<BootTime> {
        self.own_from
    }

    /// Lets this VM use its own portion from a time on, and not before.
    pub(super) fn set_own_from(&mut self, from: BootTime) {
        self.own_from = Some(from);
    }

    /// Adds a loan, which replaces an earlier one of the same VM.
    pub(super) fn add(&mut self, loan: Loan) {
        let order = |known: &Loan| known.lender.cmp(&loan.lender);
        match self.loans.binary_search_by(order) {
            Ok(index) => self.loans[index] = loan,
            Err(index) => self.loans.insert(index, loan),
        }
    }

    /// Returns the loans.
    pub(super) fn loans(&self) -> &[Loan] {
        &self.loans
    }

    /// Removes all loans.
    pub(super) fn clear_loans(&mut self) -> Vec<Loan> {
        std::mem::take(&mut self.loans)
    }
}
