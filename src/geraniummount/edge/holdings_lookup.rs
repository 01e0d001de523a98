//! One question to the owners of a service's leaves for what the leaves hold.

use std::time::{Duration, Instant};

use futures::channel::oneshot;

use super::peer;
use crate::core::survey::Survey;
use crate::prelude::*;

/// Hops left of a question to another failure domain: there to the owner.
const RELAYED_HOPS: u8 = 1;

/// A question that is under way.
pub(super) struct Lookup<'a> {
    view: &'a View,
    peers: &'a peer::Client,
    service: &'a Service,
    survey: Survey,
    requests: Vec<PendingRequest>,
    holdings: Vec<Holding>,
    /// When a failure domain that is not told of whole is asked again.
    retry_at: Option<Instant>,
    deadline: Instant,
}

/// A VM that was asked.
struct PendingRequest {
    /// Place of its failure domain in the survey; `None` for the own one.
    domain: Option<usize>,
    answer: oneshot::Receiver<Vec<Holding>>,
}

impl<'a> Lookup<'a> {
    /// Asks one VM of each other failure domain; `near` are the answers of
    /// the own one.
    pub(super) fn start(
        view: &'a View,
        peers: &'a peer::Client,
        service: &'a Service,
        own_domain_answers: Vec<oneshot::Receiver<Vec<Holding>>>,
        timeout: Duration,
    ) -> Lookup<'a> {
        let own_domain_requests = own_domain_answers.into_iter().map(|answer| PendingRequest {
            domain: None,
            answer,
        });
        let now = Instant::now();
        let mut lookup = Lookup {
            view,
            peers,
            service,
            survey: Survey::new(view, service),
            requests: own_domain_requests.collect(),
            holdings: Vec::new(),
            retry_at: Some(now + timeout / 2),
            deadline: now + timeout,
        };
        lookup.ask_all_domains(now);
        lookup
    }

    /// Takes the answers that have come and asks further VMs where one lacks
    /// leaves; returns whether no answer is due any more.
    pub(super) fn advance(&mut self, now: Instant) -> bool {
        for mut request in std::mem::take(&mut self.requests) {
            match request.answer.try_recv() {
                Ok(None) => self.requests.push(request),
                Ok(Some(holdings)) => self.record_answer(request.domain, holdings, now),
                Err(oneshot::Canceled) => self.record_answer(request.domain, Vec::new(), now),
            }
        }
        if !self.requests.is_empty() && self.retry_at.is_some_and(|at| now >= at) {
            self.retry_at = None;
            self.ask_all_domains(now);
        }
        self.requests.is_empty()
    }

    /// Ends the question; returns what was told.
    pub(super) fn into_holdings(self) -> Vec<Holding> {
        self.holdings
    }

    fn record_answer(&mut self, domain: Option<usize>, holdings: Vec<Holding>, now: Instant) {
        if let Some(domain) = domain {
            self.survey.on_answer(domain, &holdings);
            self.ask_next_vm(domain, now);
        }
        self.holdings.extend(holdings);
    }

    fn ask_all_domains(&mut self, now: Instant) {
        for domain in 0..self.survey.domain_count() {
            self.ask_next_vm(domain, now);
        }
    }

    fn ask_next_vm(&mut self, domain: usize, now: Instant) {
        let timeout = self.deadline.saturating_duration_since(now);
        if timeout.is_zero() {
            return;
        }
        let is_lost = |vm: &Vm| self.peers.has_lost(vm.peer_address);
        if let Some(to) = self.survey.next_vm(domain, self.view, is_lost) {
            let answer = self.peers.holdings(to, self.service, RELAYED_HOPS, timeout);
            self.requests.push(PendingRequest {
                domain: Some(domain),
                answer,
            });
        }
    }
}
