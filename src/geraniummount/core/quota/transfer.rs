//! Transfers of tokens between the counting VMs of the domains.
//!
//! A tenant's requests may all come to one domain, which owns a third of its quota. The counting VM
//! there asks the others before its tokens are used up, and they give what they do not need, which
//! would overflow otherwise. Tokens that are lost on the way stay lost.

use std::time::Duration;

use super::registry::Registry;
use super::{Message, Quotas};
use crate::core::boot_time::BootTime;
use crate::prelude::*;

/// Time in which a question has to be answered; then another VM of that domain is asked.
const ANSWER_TIME: Duration = Duration::from_millis(60);

/// Time after which an answer is not used any more.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(300);

/// Time for which a domain is not asked again after it gave nothing, or less than half of what it
/// was asked for.
const EMPTY_PAUSE: Duration = Duration::from_millis(200);
const SCARCE_PAUSE: Duration = Duration::from_millis(60);

/// Share of the missing tokens that is asked of each other domain. With two of them that is more
/// than the whole, as one may have little to give; what exceeds the capacity is lost.
const WANTED_PART: f64 = 0.6;

/// Fewest tokens that are asked for; less is not worth a datagram.
const MIN_WANTED: f64 = 0.5;

/// Questions for tokens to other domains.
#[derive(Debug, Default)]
pub(super) struct Transfers {
    open: Vec<Question>,
    /// Until when a domain is not asked for tokens of a tenant.
    pauses: Vec<(TenantName, DomainName, BootTime)>,
    /// The VM that counts for each domain, as far as known.
    counters: Vec<(DomainName, VmName)>,
}

#[derive(Clone, Debug)]
struct Question {
    id: u64,
    tenant: TenantName,
    domain: DomainName,
    wanted: f64,
    at: BootTime,
    /// Whether the VM asked was named by another one.
    is_redirected: bool,
}

impl Transfers {
    /// Returns the VM of another domain that counts there: the one known to, or the first in the
    /// order.
    pub(super) fn target(&self, domain: &str, registry: &Registry) -> Option<VmName> {
        let known = self.counters.iter().find(|(name, _)| name == domain);
        let known = known.map(|(_, vm)| vm);
        let is_registered = |vm: &&VmName| registry.domain(vm).is_some_and(|name| name == domain);
        known
            .filter(is_registered)
            .or_else(|| registry.ranked(domain).next())
            .cloned()
    }

    fn set_counter(&mut self, domain: &str, vm: &VmName) {
        self.counters.retain(|(name, _)| name != domain);
        self.counters.push((domain.to_string(), vm.clone()));
    }

    /// Turns to the next VM of a domain, as one has not answered.
    fn pass_over(&mut self, domain: &str, registry: &Registry) {
        let silent = self.target(domain, registry);
        let all: Vec<&VmName> = registry.ranked(domain).collect();
        let place = all.iter().position(|vm| silent.as_ref() == Some(vm));
        let next = place.map_or(0, |place| place + 1);
        if let Some(vm) = all.get(next % all.len().max(1)) {
            let vm = (*vm).clone();
            self.set_counter(domain, &vm);
        }
    }

    fn is_paused(&self, tenant: &str, domain: &str, now: BootTime) -> bool {
        let mut pauses = self.pauses.iter();
        pauses.any(|(of, at, until)| of == tenant && at == domain && *until > now)
    }

    fn pause(&mut self, question: &Question, time: Duration, now: BootTime) {
        self.pauses.retain(|(.., until)| *until > now);
        let until = now.saturating_add(time);
        let (tenant, domain) = (question.tenant.clone(), question.domain.clone());
        self.pauses.push((tenant, domain, until));
    }

    fn remove(&mut self, id: u64) -> Option<Question> {
        let index = self.open.iter().position(|question| question.id == id)?;
        Some(self.open.swap_remove(index))
    }
}

impl Quotas {
    /// Asks the other domains for tokens if a bucket is low.
    pub(super) fn ask_if_low(&mut self, index: usize, now: BootTime) {
        if self.round.is_some() && self.buckets[index].is_low(&self.share) {
            self.ask_for_transfers(index, now);
        }
    }

    /// Asks the other domains for tokens; returns whether any is expected to answer.
    pub(super) fn ask_for_transfers(&mut self, index: usize, now: BootTime) -> bool {
        let tenant = self.buckets[index].tenant.clone();
        let waiting = self.pending_grant_count(&tenant) as f64;
        let wanted = self.buckets[index].room(&self.share) * WANTED_PART + waiting;
        let mut is_any_open = false;
        for domain in self.registry.other_domains() {
            is_any_open |= self.ask_domain(&tenant, &domain, wanted, now);
        }
        is_any_open
    }

    /// Asks a domain for tokens unless that was done just now; returns whether it is expected to
    /// answer.
    fn ask_domain(&mut self, tenant: &str, domain: &str, wanted: f64, now: BootTime) -> bool {
        let is_it = |question: &Question| question.tenant == tenant && question.domain == domain;
        if let Some(place) = self.transfers.open.iter().position(is_it) {
            let at = self.transfers.open[place].at;
            if now.saturating_duration_since(at) < ANSWER_TIME {
                return true;
            }
            self.transfers.open.swap_remove(place);
            self.transfers.pass_over(domain, &self.registry);
        }
        if wanted < MIN_WANTED || self.transfers.is_paused(tenant, domain, now) {
            return false;
        }
        let Some(vm) = self.transfers.target(domain, &self.registry) else {
            return false;
        };
        let question = Question {
            id: 0,
            tenant: tenant.to_string(),
            domain: domain.to_string(),
            wanted,
            at: now,
            is_redirected: false,
        };
        self.send_question(vm, question);
        true
    }

    /// Sends a question to a VM; its number is set here.
    fn send_question(&mut self, vm: VmName, mut question: Question) {
        let message = Message::AskTransfer {
            tenant: question.tenant.clone(),
            wanted: question.wanted,
        };
        question.id = self.ask(vm, message);
        self.transfers.open.push(question);
    }

    /// Gives tokens that are not needed here to the counting VM of another domain.
    pub(super) fn on_ask_transfer(
        &mut self,
        from: &VmName,
        id: u64,
        tenant: TenantName,
        wanted: f64,
        now: BootTime,
    ) {
        if let Some(domain) = self.registry.domain(from).cloned() {
            self.transfers.set_counter(&domain, from);
        }
        if self.round.is_none() {
            let counter = self.counter(now).cloned();
            return self.send(from.clone(), id, Message::NotCounting { counter });
        }
        let index = self.bucket_index(&tenant);
        let given = index.filter(|_| wanted.is_finite()).map_or(0.0, |index| {
            let bucket = &mut self.buckets[index];
            bucket.settle(&self.share);
            bucket.give(wanted, &self.share, now)
        });
        self.send(from.clone(), id, Message::Transfer { tenant, given });
    }

    /// Takes in tokens of another domain.
    pub(super) fn on_transfer(&mut self, from: &VmName, id: u64, given: f64, now: BootTime) {
        let Some(question) = self.transfers.remove(id) else {
            return;
        };
        self.transfers.set_counter(&question.domain, from);
        let is_late = now.saturating_duration_since(question.at) > MAX_ANSWER_AGE;
        let is_number = given.is_finite() && given > 0.0;
        let given = if is_late || !is_number {
            0.0
        } else {
            given.min(question.wanted)
        };
        if given < MIN_WANTED {
            self.transfers.pause(&question, EMPTY_PAUSE, now);
        } else if given < question.wanted / 2.0 {
            self.transfers.pause(&question, SCARCE_PAUSE, now);
        }
        let Some(index) = self.bucket_index(&question.tenant) else {
            return;
        };
        self.buckets[index].settle(&self.share);
        self.buckets[index].receive(given);
        self.serve_pending_grants(index, now);
        self.buckets[index].settle(&self.share);
        self.continue_asking(index, now);
    }

    /// Asks for more tokens if requests still wait for them, and refuses these if none are
    /// expected.
    fn continue_asking(&mut self, index: usize, now: BootTime) {
        let tenant = self.buckets[index].tenant.clone();
        if self.pending_grant_count(&tenant) > 0 && !self.ask_for_transfers(index, now) {
            self.refuse_pending_grants_of(&tenant);
        }
    }

    /// Asks the VM that is named as the counting one of its domain instead.
    pub(super) fn on_not_counting_for_transfer(
        &mut self,
        id: u64,
        counter: Option<VmName>,
        now: BootTime,
    ) {
        let Some(question) = self.transfers.remove(id) else {
            return;
        };
        let is_of_domain = |vm: &VmName| {
            self.registry
                .domain(vm)
                .is_some_and(|name| *name == question.domain)
        };
        let named = counter.filter(|vm| is_of_domain(vm) && !question.is_redirected);
        if let Some(vm) = named {
            self.transfers.set_counter(&question.domain, &vm);
            let again = Question {
                at: now,
                is_redirected: true,
                ..question
            };
            return self.send_question(vm, again);
        }
        self.transfers.pause(&question, EMPTY_PAUSE, now);
        if let Some(index) = self.bucket_index(&question.tenant) {
            self.continue_asking(index, now);
        }
    }
}
