//! Divides the quotas of tenants between all VMs, without a coordinator.
//!
//! Load pattern: some tens of tenants of uneven size send requests to a hundred VMs or more, each
//! of which sees few of them; a tenant's requests may all come to one VM or one failure domain, and
//! some tenants send many times their quota. VMs and whole domains are cut off, frozen, killed and
//! added meanwhile. The requests that run stay within the quota over all VMs together, and a tenant
//! within its quota is not refused.
//!
//! Each VM owns one n-th of every quota, where n is the number of registered VMs. In each domain
//! one VM counts: it borrows the portions of the others for a short time ([`lending`]), keeps the
//! tenants' tokens ([`bucket`]), grants them to the others ([`granting`]), and exchanges surplus
//! with the counting VMs of the other domains ([`transfer`]). The other VMs ask it for tokens
//! ([`asking`]). A VM to which nobody answers uses its own portion.
//!
//! At each moment, a portion is used by its owner or by one borrower: the loan of the borrower runs
//! from the time of its question, and that of the lender from the time of its answer, by a clock
//! that also counts suspension. A bucket holds at most the VM's share of its capacity at that
//! moment, and starts empty. So in any window, no more requests get tokens than the quota's rate
//! times the window, and one capacity. While all VMs wait for their portions after a restart, a
//! part of what the bound tolerates accrues, for each VM's wait once ([`activation`]).

mod action;
mod activation;
mod asking;
mod bucket;
mod granting;
mod lending;
mod message;
mod registry;
mod share;
mod transfer;

use std::collections::VecDeque;
use std::time::Duration;

pub use self::action::{Action, Counter, Decision, Source, Ticket};
pub use self::message::Message;

use self::activation::Activation;
use self::asking::{Spare, Waiter};
use self::bucket::{Bucket, Reserve};
use self::granting::{Grant, PendingGrant};
use self::lending::{Borrower, Lending, Round};
use self::registry::Registry;
use self::share::Share;
use self::transfer::Transfers;
use crate::core::boot_time::BootTime;
use crate::core::tenant::Quota;
use crate::core::tolerance::Tolerance;
use crate::prelude::*;

/// Time for which a portion is lent.
const LOAN_TIME: Duration = Duration::from_millis(1_500);

/// Who this VM is, and what the deployment requires.
#[derive(Clone, Debug, PartialEq)]
pub struct Setup {
    /// Name of this VM.
    pub name: VmName,
    /// Failure domain of this VM.
    pub domain: DomainName,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// Span over which requests are compared with a quota.
    pub window: Duration,
    /// By how much a quota may be exceeded.
    pub tolerance: Tolerance,
    /// Random number, which tells the questions of this process from those of others.
    pub seed: u64,
}

/// The quotas of all tenants, as one VM knows them.
#[derive(Debug)]
pub struct Quotas {
    reserve: Reserve,
    registry: Registry,
    activation: Activation,
    share: Share,
    /// Sorted by tenant.
    buckets: Vec<Bucket>,
    /// Whether a list of tenants was known before.
    has_tenants: bool,
    /// Whether this VM is stopping.
    is_stopping: bool,
    /// The loan of this VM's portion to another VM, which may be over.
    lent: Option<Lending>,
    /// VM of this domain that asked for a loan last.
    borrower: Option<Borrower>,
    /// When this VM begins to count for its domain, unless another one asks it for a loan before.
    counts_from: Option<BootTime>,
    /// The questions for loans, if this VM counts.
    round: Option<Round>,
    waiters: Vec<Waiter>,
    spares: Vec<Spare>,
    /// Requests that wait for tokens of other domains.
    pending_grants: Vec<PendingGrant>,
    /// Recent grants to other VMs, oldest first.
    grants: VecDeque<Grant>,
    transfers: Transfers,
    last_id: u64,
    last_ticket: Ticket,
    reported: Counter,
    actions: Vec<Action>,
}

impl Quotas {
    /// Creates the state of a process that starts now.
    pub fn new(setup: Setup, now: BootTime) -> Quotas {
        Quotas {
            reserve: Reserve {
                window: setup.window,
                tolerance: setup.tolerance,
            },
            registry: Registry::new(setup.name, setup.domain),
            activation: Activation::new(setup.is_first_start, now),
            share: Share::default(),
            buckets: Vec::new(),
            has_tenants: false,
            is_stopping: false,
            lent: None,
            borrower: None,
            counts_from: None,
            round: None,
            waiters: Vec::new(),
            spares: Vec::new(),
            pending_grants: Vec::new(),
            grants: VecDeque::new(),
            transfers: Transfers::default(),
            last_id: setup.seed >> 1,
            last_ticket: 0,
            reported: Counter::Nobody,
            actions: Vec::new(),
        }
    }

    /// Replaces the list of registered VMs, given with their domains.
    pub fn set_vms(&mut self, vms: &[(VmName, DomainName)], now: BootTime) {
        self.observe(now);
        let has_grown = self.registry.update(vms, now);
        let from = self
            .activation
            .on_list(self.registry.has_own(), has_grown, now);
        if let Some(from) = from.filter(|_| self.lent.is_none()) {
            self.share.set_own_from(from);
        }
        if has_grown
            && self.round.is_none()
            && let Some(until) = self.counts_from
        {
            // The place in the order has changed.
            self.count_after(lending::START_DELAY, now);
            self.counts_from = self.counts_from.max(Some(until));
        }
        self.observe(now);
    }

    /// Replaces the quotas of all tenants.
    ///
    /// The bucket of a tenant starts empty, as other VMs may have used its tokens before this
    /// process started. It starts full only if this process has known the tenants before and this
    /// one had no quota: nothing was counted until now, so nothing is refilled.
    pub fn set_tenants(&mut self, quotas: &[(TenantName, Quota)], now: BootTime) {
        self.observe(now);
        let mut known = std::mem::take(&mut self.buckets);
        for (tenant, quota) in quotas {
            let index = known.binary_search_by(|bucket| bucket.tenant.cmp(tenant));
            let bucket = match index {
                Ok(index) => {
                    let mut bucket = known.remove(index);
                    bucket.set_quota(*quota, &self.reserve, &self.share);
                    bucket
                }
                Err(_) => self.new_bucket(tenant, *quota),
            };
            self.buckets.push(bucket);
        }
        self.buckets.sort_by(|a, b| a.tenant.cmp(&b.tenant));
        self.has_tenants = true;
        if self.buckets.is_empty() {
            self.stop_counting();
            self.counts_from = None;
        } else if self.round.is_none() && self.counts_from.is_none() {
            self.count_after(lending::START_DELAY, now);
        }
    }

    fn new_bucket(&mut self, tenant: &TenantName, quota: Quota) -> Bucket {
        let name = tenant.clone();
        let mut bucket = Bucket::new(name, quota, &self.reserve, self.carry(tenant));
        bucket.start(&self.share);
        if self.has_tenants {
            bucket.fill(&self.share);
        }
        bucket
    }

    /// Returns a number from 0 to 1 that differs between processes and tenants.
    fn carry(&self, tenant: &TenantName) -> f64 {
        let seed = self.last_id.to_le_bytes();
        let hash = crate::core::fingerprint::of([seed.as_slice(), tenant.as_bytes()]);
        (hash >> 96) as f64 / 2.0_f64.powi(32)
    }

    /// Takes part no longer in counting: lends the portion of this VM until the process ends.
    pub fn stop(&mut self, now: BootTime) {
        self.observe(now);
        self.is_stopping = true;
        self.stop_counting();
    }

    /// Decides on a request of a tenant.
    pub fn request(&mut self, tenant: &str, now: BootTime) -> Decision {
        self.observe(now);
        let Some(index) = self.bucket_index(tenant) else {
            return Decision::Admitted(Source::Unlimited);
        };
        if self.take_spare(tenant, now) {
            return Decision::Admitted(Source::Spare);
        }
        if self.round.is_none() && self.counter(now).is_some() {
            return self.start_asking(tenant, now);
        }
        let bucket = &mut self.buckets[index];
        bucket.settle(&self.share);
        bucket.record_demand(now);
        if bucket.take(&self.share) {
            self.ask_if_low(index, now);
            return Decision::Admitted(Source::Own);
        }
        match self.round {
            Some(_) => self.queue_own(index, now),
            None => self.start_asking(tenant, now),
        }
    }

    /// Gives back the token of a request that did not run.
    pub fn give_back(&mut self, tenant: &str, now: BootTime) {
        if self.bucket_index(tenant).is_some() {
            self.add_spare(tenant, 1, now);
        }
    }

    /// Handles a message of a registered VM; `id` is the number of the question.
    pub fn on_message(&mut self, from: &VmName, id: u64, message: Message, now: BootTime) {
        self.observe(now);
        match message {
            Message::AskLoan => self.on_ask_loan(from, id, now),
            Message::Loan { portion, start } => self.on_loan(from, id, portion, start, now),
            Message::Release { is_stopping } => self.on_release(from, id, is_stopping, now),
            Message::AskToken { tenant } => self.on_ask_token(from, id, &tenant, now),
            Message::Token { granted, wait_ms } => self.on_token(id, granted, wait_ms, now),
            Message::AskTransfer { tenant, wanted } => {
                self.on_ask_transfer(from, id, tenant, wanted, now);
            }
            Message::Transfer { given, .. } => self.on_transfer(from, id, given, now),
            Message::NotCounting { counter } => {
                self.on_not_counting_for_waiter(id, counter.as_ref(), now);
                self.on_not_counting_for_transfer(id, counter, now);
            }
            Message::Unknown => {}
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: BootTime) {
        self.observe(now);
        self.tick_counting(now);
        self.tick_pending_grants(now);
        self.tick_waiters(now);
    }

    /// Returns when the next call of [`Quotas::tick`] is due; `None` while no tenant has a quota.
    pub fn next_wake(&self) -> Option<BootTime> {
        let counting = match (&self.round, self.is_stopping || self.buckets.is_empty()) {
            (_, true) => None,
            (Some(round), false) => Some(round.next_at()),
            (None, false) => self.counts_from,
        };
        let waiters = self.waiters.iter().map(|waiter| waiter.next_at);
        let pending_grants = self.pending_grants.iter().map(|pending| pending.until);
        waiters.chain(pending_grants).chain(counting).min()
    }

    /// Takes the actions that the event loop has to carry out, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the share of all quotas that this VM may use, from 0 to 1.
    pub fn portion(&self) -> f64 {
        self.share.current()
    }

    /// Returns the sum of the portions that this VM has borrowed, and the age of the oldest loan.
    pub fn borrowed(&self, now: BootTime) -> (f64, Duration) {
        let loans = self.share.loans().iter();
        let ages = loans.map(|loan| now.saturating_duration_since(loan.asked_at));
        (self.share.borrowed(), ages.max().unwrap_or_default())
    }

    /// Returns the VMs whose portions this VM uses, itself included.
    pub fn owners(&self) -> impl Iterator<Item = &VmName> {
        let own = self.share.has_own().then(|| self.registry.own_name());
        let loans = self.share.loans().iter();
        own.into_iter().chain(loans.map(|loan| &loan.lender))
    }

    /// Returns the number of loans that this VM holds.
    pub fn loan_count(&self) -> usize {
        self.share.loans().len()
    }

    /// Returns the number of tokens of a tenant at this VM.
    pub fn tokens(&self, tenant: &str) -> f64 {
        let index = self.bucket_index(tenant);
        index.map_or(0.0, |index| self.buckets[index].tokens())
    }

    /// Returns who counts for the domain of this VM.
    pub fn counting(&self, now: BootTime) -> Counter {
        match (&self.round, self.counter(now)) {
            (Some(_), _) => Counter::Own,
            (None, Some(vm)) => Counter::Other(vm.clone()),
            (None, None) => Counter::Nobody,
        }
    }

    /// Brings the state up to a time: adds up the share, ends what is over, and finds out whether
    /// this VM was frozen.
    fn observe(&mut self, now: BootTime) {
        let has_lost = self.share.advance(now);
        let own = 1.0 / self.registry.count(now) as f64;
        let is_less = own < self.share.own();
        self.share.set_own(own);
        self.add_own_start_allowance(now);
        self.relearn_after_freeze(now);
        if has_lost || is_less {
            self.settle_all();
        }
        let counting = self.counting(now);
        if counting != self.reported {
            self.reported = counting.clone();
            self.actions.push(Action::Report(counting));
        }
    }

    /// Removes the tokens beyond the present share.
    fn settle_all(&mut self) {
        for bucket in &mut self.buckets {
            bucket.settle(&self.share);
        }
    }

    fn bucket_index(&self, tenant: &str) -> Option<usize> {
        let order = |bucket: &Bucket| bucket.tenant.as_str().cmp(tenant);
        self.buckets.binary_search_by(order).ok()
    }

    fn ask(&mut self, to: VmName, message: Message) -> u64 {
        self.last_id += 1;
        let id = self.last_id;
        self.send(to, id, message);
        id
    }

    fn send(&mut self, to: VmName, id: u64, message: Message) {
        self.actions.push(Action::Send { to, id, message });
    }

    fn decide(&mut self, ticket: Ticket, decision: Decision) {
        self.actions.push(Action::Decide(ticket, decision));
    }

    fn next_ticket(&mut self) -> Ticket {
        self.last_ticket += 1;
        self.last_ticket
    }
}
