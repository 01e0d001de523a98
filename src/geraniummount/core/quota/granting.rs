//! Grants of tokens by the counting VM.
//!
//! A question that finds no token waits for tokens of the other domains, if these may have some.

use std::time::Duration;

use super::action::{Action, Decision, Source, Ticket};
use super::{Message, Quotas};
use crate::core::boot_time::BootTime;
use crate::prelude::*;

/// Time for which a question waits for tokens of other domains: three round trips between two
/// domains, and less than the time after which it is asked again.
const MAX_GRANT_DELAY: Duration = Duration::from_millis(24);

/// Wait that is stated if it is not known when there will be a token.
pub(super) const UNKNOWN_WAIT: Duration = Duration::from_millis(500);

/// Time for which a grant is repeated if its question is asked again. The VM that asks uses no
/// later answer.
const REPEAT_TIME: Duration = Duration::from_millis(300);

/// Tokens granted to another VM.
#[derive(Debug)]
pub(super) struct Grant {
    to: VmName,
    /// Number of the question.
    id: u64,
    count: u32,
    at: BootTime,
}

/// A request that waits for a token at the counting VM.
#[derive(Debug)]
pub(super) struct PendingGrant {
    tenant: TenantName,
    origin: Origin,
    pub(super) until: BootTime,
}

#[derive(Debug)]
enum Origin {
    /// A request of this VM.
    Own(Ticket),
    /// A question of another VM, with its number.
    Vm(VmName, u64),
}

impl Quotas {
    /// Answers a VM that asks for a token.
    pub(super) fn on_ask_token(&mut self, from: &VmName, id: u64, tenant: &str, now: BootTime) {
        if self.round.is_none() {
            let counter = self.counter(now).cloned();
            return self.send(from.clone(), id, Message::NotCounting { counter });
        }
        if self.is_repeated(from, id, now) {
            return;
        }
        let Some(index) = self.bucket_index(tenant) else {
            // The other VM has another version of the configuration in force.
            return self.send_token(from.clone(), id, 1, Duration::ZERO);
        };
        let bucket = &mut self.buckets[index];
        bucket.settle(&self.share);
        bucket.record_demand(now);
        if bucket.take(&self.share) {
            let spare = bucket.take_spare(from, &self.share, now);
            self.grant(from.clone(), id, 1 + spare, now);
            return self.ask_if_low(index, now);
        }
        self.queue(index, Origin::Vm(from.clone(), id), now);
    }

    /// Answers a question that is asked again with the tokens granted for it before; returns
    /// whether it is one, or waits already.
    fn is_repeated(&mut self, from: &VmName, id: u64, now: BootTime) -> bool {
        let is_old = |grant: &Grant| now.saturating_duration_since(grant.at) >= REPEAT_TIME;
        while self.grants.front().is_some_and(is_old) {
            self.grants.pop_front();
        }
        let mut grants = self.grants.iter().rev();
        if let Some(grant) = grants.find(|grant| grant.id == id && grant.to == *from) {
            let count = grant.count;
            self.send_token(from.clone(), id, count, Duration::ZERO);
            return true;
        }
        let is_it = |pending: &PendingGrant| matches!(&pending.origin, Origin::Vm(vm, of) if *of == id && vm == from);
        self.pending_grants.iter().any(is_it)
    }

    /// Grants tokens to another VM.
    fn grant(&mut self, to: VmName, id: u64, count: u32, at: BootTime) {
        self.grants.push_back(Grant {
            to: to.clone(),
            id,
            count,
            at,
        });
        self.send_token(to, id, count, Duration::ZERO);
    }

    /// Lets a request of this VM wait for a token, or refuses it.
    pub(super) fn queue_own(&mut self, index: usize, now: BootTime) -> Decision {
        let ticket = self.next_ticket();
        self.queue(index, Origin::Own(ticket), now);
        // The request does not wait yet, so a decision made at once is returned.
        match self.actions.pop() {
            Some(Action::Decide(decided, decision)) if decided == ticket => decision,
            other => {
                self.actions.extend(other);
                Decision::Waiting(ticket)
            }
        }
    }

    fn queue(&mut self, index: usize, origin: Origin, now: BootTime) {
        let tenant = self.buckets[index].tenant.clone();
        let pending = PendingGrant {
            tenant: tenant.clone(),
            origin,
            until: now.saturating_add(MAX_GRANT_DELAY),
        };
        self.pending_grants.push(pending);
        if !self.ask_for_transfers(index, now) {
            self.refuse_pending_grants_of(&tenant);
        }
    }

    /// Returns the number of requests of a tenant that wait for tokens of other domains.
    pub(super) fn pending_grant_count(&self, tenant: &str) -> usize {
        let of_tenant = self
            .pending_grants
            .iter()
            .filter(|pending| pending.tenant == tenant);
        of_tenant.count()
    }

    /// Grants tokens to the requests that wait for them, in order.
    pub(super) fn serve_pending_grants(&mut self, index: usize, now: BootTime) {
        let tenant = self.buckets[index].tenant.clone();
        while let Some(place) = self
            .pending_grants
            .iter()
            .position(|pending| pending.tenant == tenant)
        {
            if !self.buckets[index].take(&self.share) {
                return;
            }
            match self.pending_grants.remove(place).origin {
                Origin::Own(ticket) => self.decide(ticket, Decision::Admitted(Source::Own)),
                Origin::Vm(vm, id) => self.grant(vm, id, 1, now),
            }
        }
    }

    /// Refuses the requests of a tenant that wait, as no more tokens are expected.
    pub(super) fn refuse_pending_grants_of(&mut self, tenant: &str) {
        self.refuse_pending_grants_if(|pending| pending.tenant == tenant);
    }

    /// Refuses all requests that wait, as this VM counts no longer.
    pub(super) fn refuse_pending_grants(&mut self) {
        self.refuse_pending_grants_if(|_| true);
    }

    /// Decides on the requests that have waited as long as they may.
    pub(super) fn tick_pending_grants(&mut self, now: BootTime) {
        let is_due = |pending: &PendingGrant| pending.until <= now;
        let due = self.pending_grants.iter().filter(|pending| is_due(pending));
        let mut tenants: Vec<TenantName> = due.map(|pending| pending.tenant.clone()).collect();
        tenants.dedup();
        for tenant in tenants {
            if let Some(index) = self.bucket_index(&tenant) {
                self.buckets[index].settle(&self.share);
                self.serve_pending_grants(index, now);
            }
        }
        self.refuse_pending_grants_if(is_due);
    }

    fn refuse_pending_grants_if(&mut self, is_refused: impl Fn(&PendingGrant) -> bool) {
        let all = std::mem::take(&mut self.pending_grants);
        let (refused, others): (Vec<_>, Vec<_>) = all.into_iter().partition(is_refused);
        self.pending_grants = others;
        for pending in refused {
            let wait = self.wait(&pending.tenant);
            match pending.origin {
                Origin::Own(ticket) => {
                    self.decide(ticket, Decision::OverQuota { retry_after: wait });
                }
                Origin::Vm(vm, id) => self.send_token(vm, id, 0, wait),
            }
        }
    }

    /// Returns the time until a tenant has a token at this VM.
    pub(super) fn wait(&self, tenant: &str) -> Duration {
        let bucket = self.bucket_index(tenant).map(|index| &self.buckets[index]);
        let wait = bucket.and_then(|bucket| bucket.wait(&self.share));
        wait.unwrap_or(UNKNOWN_WAIT).max(Duration::from_millis(1))
    }

    fn send_token(&mut self, to: VmName, id: u64, granted: u32, wait: Duration) {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        self.send(to, id, Message::Token { granted, wait_ms });
    }
}
