//! Finds out across all failure domains which snapshots the leaves of a service hold.
//!
//! A snapshot is a version of the index at which every shard can be read. The owner of a leaf is
//! the VM that holds the leaf's queue and knows its snapshots. The owners in this VM's failure
//! domain are asked directly. For each other failure domain, one VM is asked, which relays the
//! request to the owners there.

use std::time::{Duration, Instant};

use futures::channel::oneshot;

use super::peer;
use crate::core::survey::Survey;
use crate::prelude::*;

/// Hops left for a request to another failure domain: one, from the VM asked to the owners.
const RELAYED_HOPS: u8 = 1;

/// A lookup in progress.
pub(super) struct Lookup<'a> {
    view: &'a View,
    peers: &'a peer::Client,
    service: &'a Service,
    /// For each other failure domain, the VMs already asked and the leaves not reported yet.
    survey: Survey,
    requests: Vec<PendingRequest>,
    /// Snapshots reported so far, by leaf and shard.
    holdings: Vec<Holding>,
    /// Time at which another VM is asked in each failure domain with unreported leaves; `None`
    /// afterwards.
    retry_at: Option<Instant>,
    deadline: Instant,
}

/// Request to a VM that has not been answered yet.
struct PendingRequest {
    /// Index of the VM's failure domain in the survey; `None` for this VM's own domain.
    domain: Option<usize>,
    answer: oneshot::Receiver<Vec<Holding>>,
}

impl<'a> Lookup<'a> {
    /// Asks one VM of each other failure domain. `own_domain_answers` yield the answers of the
    /// owners in this VM's failure domain, which have already been asked.
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

    /// Records the answers received so far, and asks further VMs for leaves that an answer omits.
    /// From `retry_at` on, it also asks one further VM of each domain with unreported leaves, once.
    /// Returns whether no request is pending any more.
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

    /// Ends the lookup and returns the holdings reported so far.
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

    /// Asks the next VM of a domain if leaves there are unreported and time is left.
    fn ask_next_vm(&mut self, domain: usize, now: Instant) {
        let timeout = self.deadline.saturating_duration_since(now);
        if timeout.is_zero() {
            return;
        }
        let is_lost = |vm: &Vm| self.peers.is_lost(vm.peer_address);
        if let Some(to) = self.survey.next_vm(domain, self.view, is_lost) {
            let answer = self.peers.holdings(to, self.service, RELAYED_HOPS, timeout);
            self.requests.push(PendingRequest {
                domain: Some(domain),
                answer,
            });
        }
    }
}
