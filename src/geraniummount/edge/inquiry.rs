//! One question to the owners of a service's leaves for what the leaves hold.

use std::time::{Duration, Instant};

use futures::channel::oneshot;

use super::peer;
use crate::core::survey::Survey;
use crate::prelude::*;

/// Hops left of a question to another failure domain: there to the owner.
const RELAYED_HOPS: u8 = 1;

/// A question that is under way.
pub(super) struct Inquiry<'a> {
    view: &'a View,
    peers: &'a peer::Client,
    service: &'a Service,
    survey: Survey,
    asked: Vec<Asked>,
    held: Vec<Holding>,
    /// When a failure domain that is not told of whole is asked again.
    again_at: Option<Instant>,
    deadline: Instant,
}

/// A VM that was asked.
struct Asked {
    /// Place of its failure domain in the survey; `None` for the own one.
    domain: Option<usize>,
    answer: oneshot::Receiver<Vec<Holding>>,
}

impl<'a> Inquiry<'a> {
    /// Asks one VM of each other failure domain; `near` are the answers of
    /// the own one.
    pub(super) fn start(
        view: &'a View,
        peers: &'a peer::Client,
        service: &'a Service,
        near: Vec<oneshot::Receiver<Vec<Holding>>>,
        wait: Duration,
    ) -> Inquiry<'a> {
        let near = near.into_iter().map(|answer| Asked {
            domain: None,
            answer,
        });
        let now = Instant::now();
        let mut inquiry = Inquiry {
            view,
            peers,
            service,
            survey: Survey::new(view, service),
            asked: near.collect(),
            held: Vec::new(),
            again_at: Some(now + wait / 2),
            deadline: now + wait,
        };
        inquiry.ask_all(now);
        inquiry
    }

    /// Takes the answers that have come and asks further VMs where one lacks
    /// leaves; returns whether no answer is due any more.
    pub(super) fn advance(&mut self, now: Instant) -> bool {
        for mut asked in std::mem::take(&mut self.asked) {
            match asked.answer.try_recv() {
                Ok(None) => self.asked.push(asked),
                Ok(Some(held)) => self.take(asked.domain, held, now),
                Err(oneshot::Canceled) => self.take(asked.domain, Vec::new(), now),
            }
        }
        if !self.asked.is_empty() && self.again_at.is_some_and(|at| now >= at) {
            self.again_at = None;
            self.ask_all(now);
        }
        self.asked.is_empty()
    }

    /// Ends the question; returns what was told.
    pub(super) fn finish(self) -> Vec<Holding> {
        self.held
    }

    fn take(&mut self, domain: Option<usize>, held: Vec<Holding>, now: Instant) {
        if let Some(domain) = domain {
            self.survey.on_answer(domain, &held);
            self.ask(domain, now);
        }
        self.held.extend(held);
    }

    fn ask_all(&mut self, now: Instant) {
        for domain in 0..self.survey.domain_count() {
            self.ask(domain, now);
        }
    }

    fn ask(&mut self, domain: usize, now: Instant) {
        let wait = self.deadline.saturating_duration_since(now);
        if wait.is_zero() {
            return;
        }
        let is_lost = |vm: &Vm| self.peers.is_lost(vm.peer_address);
        if let Some(to) = self.survey.next_vm(domain, self.view, is_lost) {
            let answer = self.peers.holdings(to, self.service, RELAYED_HOPS, wait);
            self.asked.push(Asked {
                domain: Some(domain),
                answer,
            });
        }
    }
}
