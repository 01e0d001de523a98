//! Questions for tokens, and the requests that wait for the answers.
//!
//! A question is asked again when it has no answer: twice at the counting VM of the domain, and
//! then at that of another domain, which matters while the own one was killed and the next one does
//! not count yet.

use std::time::Duration;

use super::action::{Decision, Source, Ticket};
use super::granting::UNKNOWN_WAIT;
use super::{Message, Quotas};
use crate::core::boot_time::BootTime;
use crate::prelude::*;
use crate::util::bounded;

/// Time after which a question is asked again.
const ANSWER_TIME: Duration = Duration::from_millis(30);

/// Time after which the last question counts as unanswered. A VM with a tenth of a core may not run
/// for 90 ms at a time.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(90);

/// Number of questions for one request.
const MAX_QUESTIONS: u32 = 3;

/// Number of questions to the counting VM of this VM's domain.
const OWN_DOMAIN_QUESTIONS: u32 = 2;

/// Time after which an answer is not used any more. After a freeze, a token would be used in
/// another window than the one in which it was granted.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(300);

/// Time for which spare tokens are used.
const SPARE_TIME: Duration = Duration::from_secs(1);

/// Maximum number of tokens that are accepted in one grant.
const MAX_GRANTED: u32 = 8;

/// A request that waits for a token of another VM.
#[derive(Debug)]
pub(super) struct Waiter {
    ticket: Ticket,
    tenant: TenantName,
    questions: Vec<Question>,
    /// VM that was named as the counting one.
    named: Option<VmName>,
    /// Number of questions after which the wait ends. A VM that names another one does not use up
    /// a question, once.
    max_questions: u32,
    /// When the next question is asked, or the request is refused.
    pub(super) next_at: BootTime,
}

/// A question for a token.
#[derive(Clone, Debug)]
struct Question {
    /// Number, which is the same each time the same VM is asked. So a question that is asked again
    /// because the answer is late takes no second token.
    id: u64,
    to: VmName,
    at: BootTime,
}

/// Tokens for the next requests of a tenant.
#[derive(Debug)]
pub(super) struct Spare {
    tenant: TenantName,
    count: u32,
    until: BootTime,
}

impl Quotas {
    /// Asks for a token for a request, which waits for the answer.
    pub(super) fn start_asking(&mut self, tenant: &str, now: BootTime) -> Decision {
        let ticket = self.next_ticket();
        let mut waiter = Waiter {
            ticket,
            tenant: tenant.to_string(),
            questions: Vec::new(),
            named: None,
            max_questions: MAX_QUESTIONS,
            next_at: now,
        };
        if !self.ask_next(&mut waiter, now) {
            return self.unanswered(tenant, now);
        }
        self.waiters.push(waiter);
        Decision::Waiting(ticket)
    }

    /// Asks the next question for a request; returns whether there was one.
    fn ask_next(&mut self, waiter: &mut Waiter, now: BootTime) -> bool {
        let asked = u32::try_from(waiter.questions.len()).unwrap_or(u32::MAX);
        if asked >= waiter.max_questions {
            return false;
        }
        let Some(vm) = waiter.named.take().or_else(|| self.next_target(asked, now)) else {
            return false;
        };
        let tenant = waiter.tenant.clone();
        let message = Message::AskToken { tenant };
        let earlier = waiter.questions.iter().find(|question| question.to == vm);
        let id = match earlier.map(|question| question.id) {
            Some(id) => {
                self.send(vm.clone(), id, message);
                id
            }
            None => self.ask(vm.clone(), message),
        };
        let (to, at) = (vm, now);
        waiter.questions.push(Question { id, to, at });
        let is_last = asked + 1 >= waiter.max_questions;
        let wait = if is_last {
            LAST_ANSWER_TIME
        } else {
            ANSWER_TIME
        };
        waiter.next_at = now.saturating_add(wait);
        true
    }

    fn next_target(&self, asked: u32, now: BootTime) -> Option<VmName> {
        let counter = self.counter(now);
        if asked < OWN_DOMAIN_QUESTIONS && counter.is_some() {
            return counter.cloned();
        }
        let domains = self.registry.other_domains();
        let number = self.last_ticket.wrapping_add(u64::from(asked));
        let count = u64::try_from(domains.len()).unwrap_or(u64::MAX).max(1);
        let index = usize::try_from(number % count).unwrap_or_default();
        let other = domains.get(index);
        let other = other.and_then(|domain| self.transfers.target(domain, &self.registry));
        other.or_else(|| counter.cloned())
    }

    /// Decides on a request to which nobody has answered.
    fn unanswered(&mut self, tenant: &str, now: BootTime) -> Decision {
        if self.counter(now).is_some() || self.share.current() <= 0.0 {
            let from = self.share.own_from();
            let until = from.map(|from| from.saturating_duration_since(now));
            let retry_after = until.filter(|wait| !wait.is_zero()).unwrap_or(UNKNOWN_WAIT);
            return Decision::Unknown { retry_after };
        }
        let retry_after = self.wait(tenant);
        Decision::OverQuota { retry_after }
    }

    /// Asks again for the requests that have waited long enough, or ends their wait.
    pub(super) fn tick_waiters(&mut self, now: BootTime) {
        let all = std::mem::take(&mut self.waiters);
        for mut waiter in all {
            if waiter.next_at > now || self.ask_next(&mut waiter, now) {
                self.waiters.push(waiter);
                continue;
            }
            // A portion that came back meanwhile may have tokens.
            let is_own = self.counter(now).is_none() && self.take_own(&waiter.tenant);
            let decision = match is_own {
                true => Decision::Admitted(Source::Own),
                false => self.unanswered(&waiter.tenant, now),
            };
            self.decide(waiter.ticket, decision);
        }
    }

    fn take_own(&mut self, tenant: &str) -> bool {
        let Some(index) = self.bucket_index(tenant) else {
            return true;
        };
        self.buckets[index].settle(&self.share);
        self.buckets[index].take(&self.share)
    }

    /// Ends the wait of a request whose question is answered.
    pub(super) fn on_token(&mut self, id: u64, granted: u32, wait_ms: u64, now: BootTime) {
        let Some((waiter, asked_at)) = self.remove_waiter(id) else {
            return;
        };
        if now.saturating_duration_since(asked_at) > MAX_ANSWER_AGE {
            let retry_after = UNKNOWN_WAIT;
            return self.decide(waiter.ticket, Decision::Unknown { retry_after });
        }
        let Some(spare) = granted.min(MAX_GRANTED).checked_sub(1) else {
            let retry_after = bounded::millis(wait_ms);
            return self.decide(waiter.ticket, Decision::OverQuota { retry_after });
        };
        self.add_spare(&waiter.tenant, spare, now);
        self.decide(waiter.ticket, Decision::Admitted(Source::Granted));
    }

    /// Asks the VM that is named as the counting one, or waits until the question is asked again.
    pub(super) fn on_not_counting_for_waiter(
        &mut self,
        id: u64,
        counter: Option<&VmName>,
        now: BootTime,
    ) {
        let is_asked = |waiter: &Waiter| waiter.questions.iter().any(|question| question.id == id);
        let waiter = self.waiters.iter_mut().find(|waiter| is_asked(waiter));
        if let (Some(waiter), Some(vm)) = (waiter, counter) {
            waiter.named = Some(vm.clone());
            waiter.max_questions = MAX_QUESTIONS + 1;
            waiter.next_at = now;
        }
    }

    fn remove_waiter(&mut self, id: u64) -> Option<(Waiter, BootTime)> {
        let asked_at = |waiter: &Waiter| {
            let mut questions = waiter.questions.iter();
            let question = questions.find(|question| question.id == id);
            question.map(|question| question.at)
        };
        let index = self
            .waiters
            .iter()
            .position(|waiter| asked_at(waiter).is_some())?;
        let waiter = self.waiters.swap_remove(index);
        let asked_at = asked_at(&waiter)?;
        Some((waiter, asked_at))
    }

    /// Keeps tokens for the next requests of a tenant.
    pub(super) fn add_spare(&mut self, tenant: &str, count: u32, now: BootTime) {
        if count > 0 {
            self.spares.push(Spare {
                tenant: tenant.to_string(),
                count,
                until: now.saturating_add(SPARE_TIME),
            });
        }
    }

    /// Uses a spare token if there is one.
    pub(super) fn take_spare(&mut self, tenant: &str, now: BootTime) -> bool {
        self.spares
            .retain(|spare| spare.until > now && spare.count > 0);
        let spare = self.spares.iter_mut().find(|spare| spare.tenant == tenant);
        spare.map(|spare| spare.count -= 1).is_some()
    }
}
