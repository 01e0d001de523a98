//! Keeps tenants within their quotas.
//!
//! `core::quota` decides whether a request has a token. This module passes it the messages of the
//! other VMs and the time, and holds the requests that wait for a token. Such a request waits in
//! [`State::AwaitingToken`] and is admitted again with its token; its time counts from when it had
//! been read. One whose caller leaves is dropped, and its token is kept for the next one.

use std::io;
use std::time::{Duration, Instant};

use log::{debug, info, warn};

use super::caller::{CallerConnection, State};
use super::datagrams;
use super::timers::Timer;
use super::trials::Waiting;
use super::{Gateway, Options};
use crate::core::boot_time::BootTime;
use crate::core::delegation::{Decline, Peer, Terms};
use crate::core::not_run::NotRun;
use crate::core::placement::Start;
use crate::core::quota::{Action, Counter, Decision, Message, Quotas, Setup, Ticket};
use crate::core::tenant::Quota;
use crate::edge::boot_clock;
use crate::prelude::*;

/// Quotas of tenants, as the event loop knows them.
#[derive(Debug)]
pub(super) struct QuotaState {
    quotas: Quotas,
    /// The last time that the clock showed.
    now: BootTime,
    waiting: Vec<WaitingRequest>,
    /// Earliest timer that is set.
    wake_at: Option<Instant>,
}

/// A request that waits for a token.
#[derive(Clone, Debug)]
struct WaitingRequest {
    ticket: Ticket,
    tenant: TenantName,
    /// Key of the caller's connection.
    caller: usize,
    /// Serial number of that connection.
    serial: u64,
}

impl QuotaState {
    /// Creates the state of a process that starts now.
    pub(super) fn new(options: &Options) -> io::Result<QuotaState> {
        let now = boot_clock::now()?;
        let setup = Setup {
            name: options.name.clone(),
            domain: options.failure_domain.clone(),
            is_first_start: options.start == Start::First,
            window: options.quota_window,
            tolerance: options.quota_tolerance,
            seed: rand::random(),
        };
        let mut quotas = Quotas::new(setup, now);
        if options.peer_listen.is_none() {
            // Other VMs cannot be known; quotas apply to this VM by itself.
            let own = (options.name.clone(), options.failure_domain.clone());
            quotas.set_vms(&[own], now);
        }
        Ok(QuotaState {
            quotas,
            now,
            waiting: Vec::new(),
            wake_at: None,
        })
    }

    /// Returns the number of requests that wait for a token.
    pub(super) fn open_count(&self) -> usize {
        self.waiting.len()
    }

    fn read_clock(&mut self) -> BootTime {
        match boot_clock::now() {
            Ok(now) => self.now = now,
            Err(error) => warn!("quota event=no-time error=\"{error}\""),
        }
        self.now
    }
}

impl Gateway {
    /// Applies the quotas of the configuration in force.
    pub(super) fn apply_quotas(&mut self) {
        let tenants = self.routes.tenants();
        let limited = tenants.iter().filter_map(|tenant| {
            let quota = tenant.quota?;
            Some((tenant.name.clone(), quota))
        });
        let quotas: Vec<(TenantName, Quota)> = limited.collect();
        let now = self.quota.read_clock();
        self.quota.quotas.set_tenants(&quotas, now);
        self.apply_quota_actions();
    }

    /// Applies the list of registered VMs, among which quotas are divided.
    pub(super) fn apply_quota_vms(&mut self, peers: &[Peer]) {
        let vms = peers
            .iter()
            .map(|peer| (peer.name.clone(), peer.domain.clone()));
        let vms: Vec<(VmName, DomainName)> = vms.collect();
        let now = self.quota.read_clock();
        self.quota.quotas.set_vms(&vms, now);
        self.apply_quota_actions();
    }

    /// Ends counting for other VMs, because this one is stopping.
    pub(super) fn stop_counting_quotas(&mut self) {
        let now = self.quota.read_clock();
        self.quota.quotas.stop(now);
        self.apply_quota_actions();
    }

    pub(super) fn on_quota_message(&mut self, from: &VmName, id: u64, message: Message) {
        let now = self.quota.read_clock();
        self.quota.quotas.on_message(from, id, message, now);
        self.apply_quota_actions();
    }

    pub(super) fn on_quota_timer(&mut self) {
        self.quota.wake_at = None;
        let now = self.quota.read_clock();
        self.quota.quotas.tick(now);
        self.apply_quota_actions();
        let portion = self.quota.quotas.portion() * 1e6;
        self.metrics.gauges.quota_portion.set(portion as i64);
        let loans = i64::try_from(self.quota.quotas.loan_count());
        self.metrics
            .gauges
            .quota_loans
            .set(loans.unwrap_or(i64::MAX));
    }

    /// Asks for a token for a request of a tenant.
    pub(super) fn request_token(&mut self, tenant: &str) -> Decision {
        let now = self.quota.read_clock();
        let decision = self.quota.quotas.request(tenant, now);
        self.apply_quota_actions();
        self.count_decision(decision);
        decision
    }

    /// Gives back the token of a request that is refused for another reason.
    pub(super) fn return_token(&mut self, tenant: Option<&str>) {
        if let Some(tenant) = tenant {
            let now = self.quota.read_clock();
            self.quota.quotas.give_back(tenant, now);
        }
    }

    /// Lets a request wait for its token. `key` is that of the caller's connection.
    pub(super) fn await_token(
        &mut self,
        key: usize,
        ticket: Ticket,
        tenant: &str,
        waiting: Waiting,
    ) {
        let caller = &mut self.caller_connections[key];
        caller.state = State::AwaitingToken(Box::new(waiting));
        caller.state_since = self.now;
        self.quota.waiting.push(WaitingRequest {
            ticket,
            tenant: tenant.to_string(),
            caller: key,
            serial: caller.serial,
        });
    }

    /// Refuses a request that has no token. `terms` are given for a request of another VM.
    pub(super) fn refuse_for_quota(
        &mut self,
        key: usize,
        id: &str,
        tenant: &str,
        refusal: Decision,
        terms: Option<&Terms>,
    ) {
        let not_run = NotRun::without_attempts();
        match refusal {
            Decision::OverQuota { retry_after } => {
                self.log_refusal(id, tenant, "over-quota", 429, retry_after);
                self.write_over_quota(key, not_run, retry_after);
            }
            Decision::Unknown { retry_after } => {
                self.log_refusal(id, tenant, "quota-unknown", 503, retry_after);
                match terms {
                    Some(terms) => {
                        let wait = Some(retry_after);
                        self.decline(key, &terms.from, Decline::Overloaded, wait);
                    }
                    None => self.write_refusal(key, not_run, retry_after),
                }
            }
            Decision::Admitted(_) | Decision::Waiting(_) => {}
        }
    }

    /// Writes the refusal of a request that has not run because its tenant's quota is used up.
    fn write_over_quota(&mut self, key: usize, _proof: NotRun, retry_after: Duration) {
        let why = "it has not run, as the quota is used up; come back after the time given";
        self.write_plain(key, 429, why, Some(retry_after));
    }

    fn log_refusal(
        &mut self,
        id: &str,
        tenant: &str,
        outcome: &'static str,
        status: u16,
        retry_after: Duration,
    ) {
        self.metrics.count_answer(outcome);
        let quotas = &self.quota.quotas;
        let (tokens, portion) = (quotas.tokens(tenant), quotas.portion());
        let (borrowed, age) = quotas.borrowed(self.quota.now);
        let (age_ms, wait_ms) = (age.as_millis(), retry_after.as_millis());
        let counting = quotas.counting(self.quota.now);
        let counter = counter_name(&counting, &self.options.name);
        info!(
            "request id={id} outcome={outcome} status={status} tenant={tenant} tokens={tokens:.2} \
             portion={portion:.5} borrowed={borrowed:.5} loan_age_ms={age_ms} counter={counter} \
             retry_after_ms={wait_ms}"
        );
    }

    fn count_decision(&self, decision: Decision) {
        match decision {
            Decision::Admitted(source) => {
                self.metrics.quotas.count_request("admitted");
                self.metrics.quotas.count_token(source.as_str());
            }
            Decision::OverQuota { .. } => self.metrics.quotas.count_request("over-quota"),
            Decision::Unknown { .. } => self.metrics.quotas.count_request("unknown"),
            Decision::Waiting(_) => {}
        }
    }

    /// Carries out what the quotas ask for, and sets the timer of what is due next.
    fn apply_quota_actions(&mut self) {
        for action in self.quota.quotas.take_actions() {
            match action {
                Action::Send { to, id, message } => {
                    self.answer(&to, id, datagrams::Message::Quota(message));
                }
                Action::Decide(ticket, decision) => self.end_token_wait(ticket, decision),
                Action::Report(counter) => self.log_counter(&counter),
            }
        }
        let Some(next) = self.quota.quotas.next_wake() else {
            return;
        };
        let at = self.now + next.saturating_duration_since(self.quota.now);
        if self.quota.wake_at.is_none_or(|set| at < set) {
            self.quota.wake_at = Some(at);
            self.timers.add(at, Timer::Quota);
        }
    }

    fn log_counter(&self, counter: &Counter) {
        let quotas = &self.quota.quotas;
        let (borrowed, age) = quotas.borrowed(self.quota.now);
        let (portion, age_ms) = (quotas.portion(), age.as_millis());
        let counter = counter_name(counter, &self.options.name);
        info!(
            "quota event=counter counter={counter} portion={portion:.5} borrowed={borrowed:.5} \
             loan_age_ms={age_ms}"
        );
    }

    /// Admits or refuses a request that has waited for a token, unless its caller has left.
    fn end_token_wait(&mut self, ticket: Ticket, decision: Decision) {
        self.count_decision(decision);
        let mut all = self.quota.waiting.iter();
        let Some(index) = all.position(|waiting| waiting.ticket == ticket) else {
            return;
        };
        let request = self.quota.waiting.swap_remove(index);
        let is_waiting = |caller: &&mut CallerConnection| {
            let is_token_due = matches!(caller.state, State::AwaitingToken(_));
            caller.serial == request.serial && is_token_due
        };
        let caller = self.caller_connections.get_mut(request.caller);
        let caller = caller.filter(is_waiting);
        let state = caller.map(|caller| std::mem::replace(&mut caller.state, State::Idle));
        let Some(State::AwaitingToken(waiting)) = state else {
            debug!("quota tenant={} event=caller-left", request.tenant);
            if matches!(decision, Decision::Admitted(_)) {
                self.return_token(Some(&request.tenant));
            }
            return;
        };
        match decision {
            Decision::Admitted(_) => {
                let Waiting { mut arrival, terms } = *waiting;
                arrival.token = Some(request.tenant);
                self.admit_arrival(arrival, terms);
            }
            refusal => self.refuse_waiting(&request, &waiting, refusal),
        }
        self.answered_callers.push(request.caller);
    }

    fn refuse_waiting(&mut self, request: &WaitingRequest, waiting: &Waiting, refusal: Decision) {
        let id = waiting.arrival.caller_fields.id.clone();
        let terms = waiting.terms.as_ref();
        self.refuse_for_quota(request.caller, &id, &request.tenant, refusal, terms);
    }
}

/// Returns the name of the VM that counts, for the log.
fn counter_name<'a>(counter: &'a Counter, own_name: &'a str) -> &'a str {
    match counter {
        Counter::Own => own_name,
        Counter::Other(vm) => vm,
        Counter::Nobody => "none",
    }
}
