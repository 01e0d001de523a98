//! Who counts for a domain, and the loans of portions to it.
//!
//! A VM that was not asked for a loan for [`SILENCE_TIME`] begins to count, later the further back
//! it is in the order of the domain's VMs. If two VMs count, the one further back stops.

use std::time::Duration;

use super::share::Loan;
use super::{LOAN_TIME, Message, Quotas};
use crate::core::boot_time::BootTime;
use crate::prelude::*;

/// Interval between two questions of the counting VM to each VM of its domain. Four may be lost
/// before a loan ends.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Time after the last question for a loan in which a VM does not begin to count.
const SILENCE_TIME: Duration = Duration::from_secs(2);

/// Time after its start in which a VM does not begin to count. A VM that counts asks it before.
pub(super) const START_DELAY: Duration = Duration::from_millis(325);

/// Time after the counting VM has begun to stop before the next one begins to count. Its messages
/// to all others arrive meanwhile.
const STOP_DELAY: Duration = Duration::from_millis(20);

/// Time by which each VM begins to count later than the one before it in the order. The question
/// of the VM before it arrives meanwhile.
const RANK_DELAY: Duration = Duration::from_millis(150);

/// Time after the last question for a loan for which the VM that asked is taken for the counting
/// one.
const COUNTER_TIME: Duration = Duration::from_millis(1_500);

/// Delay of a timer that shows that this VM was frozen.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(500);

/// A loan of this VM's portion.
#[derive(Clone, Debug)]
pub(super) struct Lending {
    to: VmName,
    /// Number of the question that was answered with the loan.
    question: u64,
    until: BootTime,
}

/// The VM that asked for a loan last, and when.
#[derive(Clone, Debug)]
pub(super) struct Borrower {
    by: VmName,
    at: BootTime,
}

/// The loans that the counting VM has asked for.
#[derive(Debug, Default)]
pub(super) struct Round {
    /// When the VMs were asked last.
    at: BootTime,
    /// Questions without answer: the VM, the number and the time.
    open: Vec<(VmName, u64, BootTime)>,
}

impl Round {
    pub(super) fn next_at(&self) -> BootTime {
        self.at.saturating_add(ROUND_INTERVAL)
    }
}

impl Quotas {
    /// Returns the VM that counts for this VM's domain, if it is another one.
    pub(super) fn counter(&self, now: BootTime) -> Option<&VmName> {
        if self.round.is_some() {
            return None;
        }
        if let Some(lent) = self.lent.as_ref().filter(|lent| lent.until > now) {
            return Some(&lent.to);
        }
        let asked = self.borrower.as_ref()?;
        let is_recent = now.saturating_duration_since(asked.at) < COUNTER_TIME;
        is_recent.then_some(&asked.by)
    }

    /// Begins to count after a delay, unless another VM asks for a loan before.
    pub(super) fn count_after(&mut self, delay: Duration, now: BootTime) {
        let rank = u32::try_from(self.registry.own_rank()).unwrap_or(u32::MAX);
        let delay = delay.saturating_add(RANK_DELAY.saturating_mul(rank));
        self.counts_from = Some(now.saturating_add(delay));
    }

    /// Waits for the questions of a VM that counts by now if this VM was frozen.
    pub(super) fn relearn_after_freeze(&mut self, now: BootTime) {
        let is_late = |due: BootTime| now.saturating_duration_since(due) > MAX_TIMER_DELAY;
        if let Some(round) = &self.round {
            let are_loans_over = now.saturating_duration_since(round.at) > LOAN_TIME;
            if are_loans_over {
                self.stop_counting();
                self.count_after(START_DELAY, now);
            }
        } else if self.counts_from.is_some_and(is_late) {
            self.count_after(START_DELAY, now);
        }
    }

    /// Begins to count if that is due, and asks for loans.
    pub(super) fn tick_counting(&mut self, now: BootTime) {
        if self.is_stopping || self.buckets.is_empty() {
            return;
        }
        let is_silent = self.counts_from.is_some_and(|until| until <= now);
        if self.round.is_none() && is_silent {
            if !self.registry.has_own() {
                return self.count_after(START_DELAY, now);
            }
            self.counts_from = None;
            return self.ask_for_loans(now);
        }
        if self
            .round
            .as_ref()
            .is_some_and(|round| round.next_at() <= now)
        {
            self.ask_for_loans(now);
        }
    }

    fn ask_for_loans(&mut self, now: BootTime) {
        self.settle_all();
        let mut round = self.round.take().unwrap_or_default();
        let is_open = |at: BootTime| now.saturating_duration_since(at) < LOAN_TIME;
        round.open.retain(|(.., at)| is_open(*at));
        round.at = now;
        let domain_peers: Vec<VmName> = self.registry.domain_peers().cloned().collect();
        for vm in domain_peers {
            let id = self.ask(vm.clone(), Message::AskLoan);
            round.open.push((vm, id, now));
        }
        self.round = Some(round);
    }

    /// Ends counting, and gives the borrowed portions back.
    pub(super) fn stop_counting(&mut self) {
        if self.round.take().is_none() {
            return;
        }
        for loan in self.share.clear_loans() {
            let is_stopping = self.is_stopping;
            let message = Message::Release { is_stopping };
            self.send(loan.lender, loan.question, message);
        }
        self.share.end_start_allowance();
        self.settle_all();
        self.refuse_pending_grants();
    }

    /// Lends this VM's portion to a VM that counts, unless it is lent to another one or this VM
    /// counts itself and comes first.
    pub(super) fn on_ask_loan(&mut self, from: &VmName, id: u64, now: BootTime) {
        let Some(rank) = self.registry.rank(from) else {
            return;
        };
        if self.round.is_some() && rank < self.registry.own_rank() {
            self.stop_counting();
        }
        let (mut portion, mut start) = (0.0, 0.0);
        if self.round.is_none() {
            self.borrower = Some(Borrower {
                by: from.clone(),
                at: now,
            });
            self.count_after(SILENCE_TIME, now);
            if self.may_lend_to(from, now) {
                portion = self.lend(from, id, now);
            }
            start = self.activation.take_start_wait(now) * self.share.own();
        }
        self.send(from.clone(), id, Message::Loan { portion, start });
    }

    fn may_lend_to(&self, vm: &VmName, now: BootTime) -> bool {
        match &self.lent {
            Some(lent) if lent.until > now => lent.to == *vm,
            _ => self.share.has_own(),
        }
    }

    fn lend(&mut self, to: &VmName, question: u64, now: BootTime) -> f64 {
        let until = now.saturating_add(LOAN_TIME);
        self.lent = Some(Lending {
            to: to.clone(),
            question,
            until,
        });
        self.share.set_own_from(until);
        self.settle_all();
        self.share.own()
    }

    /// Takes in the portion of another VM, and its wait since its start, both as shares of the quotas.
    /// The portion may be used from now on, until a time that is counted from the question.
    pub(super) fn on_loan(
        &mut self,
        from: &VmName,
        id: u64,
        portion: f64,
        start: f64,
        now: BootTime,
    ) {
        let Some(round) = &mut self.round else {
            return;
        };
        let is_answered = |open: &(VmName, u64, BootTime)| open.0 == *from && open.1 == id;
        let Some(index) = round.open.iter().position(is_answered) else {
            return;
        };
        let (.., asked_at) = round.open.swap_remove(index);
        let until = asked_at.saturating_add(LOAN_TIME);
        if start.is_finite() && start > 0.0 && until > now {
            self.add_start_allowance(start.min(LOAN_TIME.as_secs_f64() * self.share.own()), now);
        }
        let is_portion = portion.is_finite() && portion > 0.0;
        if is_portion && until > now {
            self.share.add(Loan {
                lender: from.clone(),
                portion: portion.min(self.share.own()),
                question: id,
                asked_at,
                until,
            });
        }
    }

    /// Adds the wait of this VM for its portion since its start, if it counts.
    pub(super) fn add_own_start_allowance(&mut self, now: BootTime) {
        if self.round.is_some() {
            let seconds = self.activation.take_start_wait(now) * self.share.own();
            self.add_start_allowance(seconds, now);
        }
    }

    /// Adds the wait of a VM for its portion, in seconds of the whole quota. A process that does
    /// not wait itself discards it: it has counted before, so the domain's tokens are not lost.
    fn add_start_allowance(&mut self, seconds: f64, now: BootTime) {
        if self.activation.is_starting(now) && seconds > 0.0 {
            self.share
                .add_start_allowance(seconds, now.saturating_add(LOAN_TIME));
        }
    }

    /// Uses this VM's portion again, which its borrower has given back.
    pub(super) fn on_release(&mut self, from: &VmName, id: u64, is_stopping: bool, now: BootTime) {
        let is_it = |lent: &Lending| lent.to == *from && lent.question == id && lent.until > now;
        if !self.lent.as_ref().is_some_and(is_it) {
            return;
        }
        self.lent = None;
        self.borrower = None;
        self.share.set_own_from(now);
        let delay = if is_stopping { STOP_DELAY } else { START_DELAY };
        self.count_after(delay, now);
    }
}
