//! Guards against requests that are admitted with a key that was revoked longer ago than allowed, in
//! any order of revocations, reads, questions, freezes, and answers that are late or lost.

use geraniummount::core::key_lease::{Lease, Statement};
use proptest::prelude::*;

use crate::key_lease::{Event, REVOKE_MS, apply, at, lease};
use crate::seeded::config;

/// What happens in a model of some VMs and a store.
#[derive(Clone, Copy, Debug)]
enum Happening {
    /// Time passes, in which whoever gets no event is frozen or cut off.
    Time(u64),
    /// A version revokes a key of the one before.
    Revocation,
    /// Another key is written.
    Write,
    /// A VM begins a read, the store serves the oldest open one, its answer arrives or is lost.
    ReadBegun(usize),
    ReadServed(usize),
    ReadArrived(usize),
    ReadLost(usize),
    /// The watch of a VM receives all changes; they are in force later.
    Watched(usize),
    AppliedLater(usize),
    /// A VM asks another one, which answers; the answer arrives or is lost.
    Asked(usize, usize),
    Answered(usize),
    AnswerArrived(usize),
    AnswerLost(usize),
}

/// A question on its way: who asked when, who is asked, and its answer once there is one.
#[derive(Clone, Copy, Debug)]
struct Question {
    from: usize,
    asked_ms: u64,
    to: usize,
    answer: Option<Statement>,
}

struct ModelVm {
    lease: Lease,
    version: u64,
    /// Reads on their way: when each was begun, and the revision once it was served.
    reads: Vec<(u64, Option<u64>)>,
    /// Version and revision that the watch has received.
    watched: Option<(u64, u64)>,
}

fn happening() -> impl Strategy<Value = Happening> {
    let vm = || 0..3usize;
    prop_oneof![
        4 => (1..400u64).prop_map(Happening::Time),
        1 => (1_000..7_000u64).prop_map(Happening::Time),
        1 => Just(Happening::Revocation),
        1 => Just(Happening::Write),
        3 => vm().prop_map(Happening::ReadBegun),
        3 => vm().prop_map(Happening::ReadServed),
        3 => vm().prop_map(Happening::ReadArrived),
        1 => vm().prop_map(Happening::ReadLost),
        3 => vm().prop_map(Happening::Watched),
        3 => vm().prop_map(Happening::AppliedLater),
        3 => (vm(), vm()).prop_map(|(from, to)| Happening::Asked(from, to)),
        3 => (0..4usize).prop_map(Happening::Answered),
        3 => (0..4usize).prop_map(Happening::AnswerArrived),
        1 => (0..4usize).prop_map(Happening::AnswerLost),
    ]
}

struct Model {
    now_ms: u64,
    revision: u64,
    version: u64,
    /// When each version was superseded, by version.
    superseded_ms: Vec<u64>,
    vms: Vec<ModelVm>,
    questions: Vec<Question>,
}

impl Model {
    fn apply(&mut self, happening: Happening) {
        let now_ms = self.now_ms;
        match happening {
            Happening::Time(ms) => self.now_ms += ms,
            Happening::Revocation => {
                self.superseded_ms.push(now_ms);
                self.version += 1;
                self.revision += 1;
            }
            Happening::Write => self.revision += 1,
            Happening::ReadBegun(vm) => self.vms[vm].reads.push((now_ms, None)),
            Happening::ReadServed(vm) => {
                let revision = self.revision;
                let mut reads = self.vms[vm].reads.iter_mut();
                if let Some(read) = reads.find(|read| read.1.is_none()) {
                    read.1 = Some(revision);
                }
            }
            Happening::ReadArrived(vm) => {
                let vm = &mut self.vms[vm];
                let served = vm.reads.iter().position(|read| read.1.is_some());
                if let Some((began_ms, Some(revision))) = served.map(|at| vm.reads.remove(at)) {
                    apply(&mut vm.lease, Event::Read(began_ms, 0, revision));
                }
            }
            Happening::ReadLost(vm) => drop(self.vms[vm].reads.pop()),
            Happening::Watched(vm) => self.vms[vm].watched = Some((self.version, self.revision)),
            Happening::AppliedLater(vm) => {
                let vm = &mut self.vms[vm];
                if let Some((version, revision)) = vm.watched.take() {
                    vm.version = version;
                    vm.lease.on_applied(0, revision);
                }
            }
            _ => self.exchange(happening),
        }
    }

    /// Applies what happens to a question of a VM.
    fn exchange(&mut self, happening: Happening) {
        let now_ms = self.now_ms;
        match happening {
            Happening::Asked(from, to) => self.questions.push(Question {
                from,
                asked_ms: now_ms,
                to,
                answer: None,
            }),
            Happening::Answered(index) => {
                if let Some(question) = self.questions.get_mut(index) {
                    let vm = &self.vms[question.to];
                    let (version, age) = (vm.version, vm.lease.age(at(now_ms)));
                    question.answer = Some(Statement {
                        version,
                        era: 0,
                        age,
                    });
                }
            }
            Happening::AnswerArrived(index) => {
                let question = self.questions.get(index).copied();
                if let Some((question, answer)) = question.and_then(|all| Some((all, all.answer?)))
                {
                    self.questions.remove(index);
                    let vm = &mut self.vms[question.from];
                    let version = vm.version;
                    vm.lease
                        .on_statement(at(question.asked_ms), answer, version);
                }
            }
            Happening::AnswerLost(index) if index < self.questions.len() => {
                self.questions.remove(index);
            }
            _ => {}
        }
    }
}

proptest! {
    #![proptest_config(config(3_000))]

    /// Requests are sent at all times, to all VMs.
    #[test]
    fn key_lease_admits_no_request_later_than_the_bound_after_a_revocation(
        happenings in prop::collection::vec(happening(), 0..150),
    ) {
        let vm = || ModelVm { lease: lease(), version: 0, reads: Vec::new(), watched: None };
        let mut model = Model {
            now_ms: 100_000,
            revision: 1,
            version: 0,
            superseded_ms: Vec::new(),
            vms: vec![vm(), vm(), vm()],
            questions: Vec::new(),
        };
        for happening in happenings {
            model.apply(happening);
            for vm in &model.vms {
                let superseded = model.superseded_ms.get(vm.version as usize);
                let is_late = superseded.is_some_and(|ms| model.now_ms > ms + REVOKE_MS);
                prop_assert!(!(is_late && vm.lease.is_valid(vm.version, at(model.now_ms))));
            }
        }
    }
}
