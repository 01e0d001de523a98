//! Simulates claims of idempotency keys and checks that no key's request runs twice.
//!
//! The platform loses, delays and duplicates writes. VMs forward claims to each other over a
//! network that loses, duplicates and reorders messages, and VMs are killed.

use geraniummount::core::claims::{Action, Answer, Bucket, CLOCK_MARGIN, Claim, KEY_TTL};
use geraniummount::prelude::*;
use proptest::prelude::*;

use crate::seeded::config;

const VM_COUNT: usize = 3;
const KEY_COUNT: u128 = 8;
const NOW_MS: u64 = 10_000_000;

/// What happens to one call to the platform.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    Delivered,
    RequestLost,
    ReplyLost,
    /// The write takes effect later, at a [`Step::DeliverDelayed`].
    Delayed,
    Duplicated,
    Rejected,
}

/// One step of a random history. Each `usize` is the index of a VM, a message or a delayed write.
#[derive(Clone, Copy, Debug)]
enum Step {
    Claim(usize, u128),
    /// A VM gives up the claim that it started last.
    Abandon(usize),
    /// A VM completes its call to the platform, or starts the next one.
    Call(usize, Delivery),
    /// A delayed write reaches the platform.
    DeliverDelayed(usize),
    /// A request whose key was granted to the first VM has certainly not run. The second VM
    /// releases the key.
    ReleaseNotRun(usize, usize),
    /// A VM forwards the claim of a key to another one.
    Forward(usize, usize, u128),
    /// A message between VMs arrives. With `true`, it stays in flight and may arrive again.
    Deliver(usize, bool),
    /// A message between VMs is lost.
    LoseMessage(usize),
    /// A VM stops waiting for the answer to a forwarded claim and claims the key itself. With
    /// `true`, it asks the other VM to release the key.
    FallBack(usize, bool),
    /// A VM is killed and replaced by one without state.
    Kill(usize),
}

/// A message between VMs.
#[derive(Clone, Copy, Debug)]
enum Message {
    Claim(u128, AttemptId),
    Release(u128, AttemptId),
    Answer(AttemptId, Answer),
}

fn claim(key: u128, attempt: AttemptId) -> Claim {
    Claim {
        key,
        attempt,
        at_ms: NOW_MS,
    }
}

fn step() -> impl Strategy<Value = Step> {
    let delivery = prop_oneof![
        6 => Just(Delivery::Delivered),
        1 => Just(Delivery::RequestLost),
        1 => Just(Delivery::ReplyLost),
        2 => Just(Delivery::Delayed),
        1 => Just(Delivery::Duplicated),
        1 => Just(Delivery::Rejected),
    ];
    prop_oneof![
        4 => (0..VM_COUNT, 0..KEY_COUNT).prop_map(|(vm, key)| Step::Claim(vm, key)),
        1 => (0..VM_COUNT).prop_map(Step::Abandon),
        8 => (0..VM_COUNT, delivery).prop_map(|(vm, delivery)| Step::Call(vm, delivery)),
        2 => any::<usize>().prop_map(Step::DeliverDelayed),
        1 => (0..VM_COUNT, 0..VM_COUNT).prop_map(|(vm, by)| Step::ReleaseNotRun(vm, by)),
        4 => (0..VM_COUNT, 0..VM_COUNT, 0..KEY_COUNT)
            .prop_map(|(vm, to, key)| Step::Forward(vm, to, key)),
        8 => (any::<usize>(), any::<bool>()).prop_map(|(index, twice)| Step::Deliver(index, twice)),
        1 => any::<usize>().prop_map(Step::LoseMessage),
        4 => (0..VM_COUNT, any::<bool>())
            .prop_map(|(vm, is_notified)| Step::FallBack(vm, is_notified)),
        1 => (0..VM_COUNT).prop_map(Step::Kill),
    ]
}

/// One bucket's value on the platform and the VMs that claim keys in it.
#[derive(Default)]
struct Simulation {
    version: u64,
    value: Vec<Claim>,
    delayed: Vec<(u64, Vec<Claim>)>,
    vms: [SimulatedVm; VM_COUNT],
    next_attempt: AttemptId,
    executed: Vec<(u128, AttemptId)>,
    /// Messages in flight between VMs, each with the index of its receiver.
    messages: Vec<(usize, Message)>,
}

/// A VM with its claims, and the requests that wait for a key or were granted one.
#[derive(Default)]
struct SimulatedVm {
    claims: Bucket,
    waiting: Vec<(u128, AttemptId)>,
    granted: Vec<(u128, AttemptId)>,
    call: Option<Action>,
    /// Claims forwarded to another VM: key, attempt and index of that VM.
    forwarded: Vec<(u128, AttemptId, usize)>,
    /// Attempts for which this VM claims keys, each with the index of the VM that forwarded it.
    claiming_for: Vec<(AttemptId, usize)>,
}

impl Simulation {
    fn write(&mut self, version: u64, claims: Vec<Claim>) -> bool {
        let is_current = self.version == version;
        if is_current {
            self.version += 1;
            self.value = claims;
        }
        is_current
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Claim(vm, key) => self.claim(vm, key, None),
            Step::Forward(vm, to, key) => {
                let attempt = self.new_attempt();
                self.vms[vm].forwarded.push((key, attempt, to));
                self.messages.push((to, Message::Claim(key, attempt)));
            }
            Step::Deliver(index, twice) if !self.messages.is_empty() => {
                let index = index % self.messages.len();
                let (to, message) = self.messages[index];
                if !twice {
                    self.messages.swap_remove(index);
                }
                self.deliver(to, message);
            }
            Step::LoseMessage(index) if !self.messages.is_empty() => {
                self.messages.swap_remove(index % self.messages.len());
            }
            Step::Deliver(..) | Step::LoseMessage(_) => {}
            Step::FallBack(vm, is_notified) => {
                if let Some((key, attempt, to)) = self.vms[vm].forwarded.pop() {
                    if is_notified {
                        self.messages.push((to, Message::Release(key, attempt)));
                    }
                    self.claim(vm, key, Some(attempt));
                }
            }
            Step::Kill(vm) => {
                let killed = std::mem::take(&mut self.vms[vm]);
                self.executed.extend(killed.granted);
                if let Some(Action::Write { version, claims }) = killed.call {
                    self.delayed.push((version, claims));
                }
            }
            Step::Abandon(vm) => {
                if let Some((key, attempt)) = self.vms[vm].waiting.pop() {
                    self.vms[vm].claims.release(key, attempt);
                }
            }
            Step::ReleaseNotRun(vm, by) => {
                if let Some((key, attempt)) = self.vms[vm].granted.pop() {
                    self.vms[by].claims.release(key, attempt);
                }
            }
            Step::DeliverDelayed(index) if !self.delayed.is_empty() => {
                let (version, claims) = self.delayed.swap_remove(index % self.delayed.len());
                self.write(version, claims);
            }
            Step::DeliverDelayed(_) => {}
            Step::Call(vm, delivery) => self.call(vm, delivery),
        }
    }

    fn new_attempt(&mut self) -> AttemptId {
        self.next_attempt += 1;
        self.next_attempt
    }

    fn claim(&mut self, vm: usize, key: u128, replaces: Option<AttemptId>) {
        let attempt = self.new_attempt();
        let vm = &mut self.vms[vm];
        vm.waiting.push((key, attempt));
        assert_eq!(vm.claims.claim(claim(key, attempt), replaces), None);
    }

    fn deliver(&mut self, to: usize, message: Message) {
        let senders = self.vms.iter().enumerate();
        let sender = |attempt| {
            let mut senders = senders.filter(|(_, vm)| vm.forwarded.iter().any(|f| f.1 == attempt));
            senders.next().map(|(index, _)| index)
        };
        match message {
            Message::Claim(key, attempt) => {
                let from = sender(attempt);
                let vm = &mut self.vms[to];
                vm.claiming_for.extend(from.map(|from| (attempt, from)));
                vm.claims.claim(claim(key, attempt), None);
            }
            Message::Release(key, attempt) => self.vms[to].claims.release(key, attempt),
            Message::Answer(attempt, answer) => {
                let vm = &mut self.vms[to];
                let Some(index) = vm.forwarded.iter().position(|f| f.1 == attempt) else {
                    return;
                };
                let (key, ..) = vm.forwarded.swap_remove(index);
                if answer == Answer::Granted {
                    vm.granted.push((key, attempt));
                }
            }
        }
    }

    fn call(&mut self, vm: usize, delivery: Delivery) {
        match self.vms[vm].call.take() {
            None => self.advance(vm),
            Some(Action::Read)
                if matches!(delivery, Delivery::RequestLost | Delivery::ReplyLost) =>
            {
                self.vms[vm].claims.invalidate();
            }
            Some(Action::Read) => {
                let claims = self.value.clone();
                self.vms[vm].claims.on_read(self.version, claims);
            }
            Some(Action::Write { version, claims }) => {
                let done = match delivery {
                    Delivery::Delivered => self.write(version, claims),
                    Delivery::Duplicated => {
                        let done = self.write(version, claims.clone());
                        self.write(version, claims);
                        done
                    }
                    Delivery::Rejected => return self.vms[vm].claims.on_rejected(),
                    Delivery::RequestLost => false,
                    Delivery::ReplyLost => {
                        self.write(version, claims);
                        false
                    }
                    Delivery::Delayed => {
                        self.delayed.push((version, claims));
                        false
                    }
                };
                let bucket = &mut self.vms[vm].claims;
                if done {
                    bucket.on_written(version + 1);
                } else {
                    bucket.invalidate();
                }
            }
            Some(Action::Answer(..)) => unreachable!("an answer is not a call to the platform"),
        }
    }

    fn advance(&mut self, vm: usize) {
        let vm = &mut self.vms[vm];
        for action in vm.claims.advance(NOW_MS, true) {
            let Action::Answer(attempt, answer) = action else {
                vm.call = Some(action);
                continue;
            };
            if let Some(index) = vm.waiting.iter().position(|wait| wait.1 == attempt) {
                let held = vm.waiting.swap_remove(index);
                if answer == Answer::Granted {
                    vm.granted.push(held);
                }
            }
            let receivers = vm.claiming_for.iter().filter(|entry| entry.0 == attempt);
            let answer = Message::Answer(attempt, answer);
            self.messages.extend(receivers.map(|&(_, to)| (to, answer)));
        }
        // Keeps the newest granted request, which a later step may report as not run, and executes
        // the older ones.
        while vm.granted.len() > 1 {
            self.executed.push(vm.granted.remove(0));
        }
    }
}

proptest! {
    #![proptest_config(config(1_500))]

    #[test]
    fn a_key_runs_at_most_once(steps in prop::collection::vec(step(), 1..250)) {
        let mut simulation = Simulation::default();
        for step in steps {
            simulation.step(step);
        }
        for vm in &simulation.vms {
            simulation.executed.extend(&vm.granted);
        }
        for key in 0..KEY_COUNT {
            let runs = simulation.executed.iter().filter(|run| run.0 == key).count();
            prop_assert!(runs <= 1, "key {key} ran {runs} times");
        }
    }
}

/// A claim of attempt 7 on a key, and the attempt and time of a claim that is already stored.
struct Case {
    name: &'static str,
    held: Option<(AttemptId, u64)>,
    /// Expected answer; `None` if the claim has to be written first.
    answer: Option<Answer>,
}

#[test]
fn the_stored_value_decides_a_claim() {
    let retention_ms = (KEY_TTL + CLOCK_MARGIN).as_millis() as u64;
    let cases = [
        Case {
            name: "free: the claim has to be written",
            held: None,
            answer: None,
        },
        Case {
            name: "held by the same attempt: an earlier write took effect",
            held: Some((7, NOW_MS)),
            answer: Some(Answer::Granted),
        },
        Case {
            name: "held by another attempt",
            held: Some((8, NOW_MS)),
            answer: Some(Answer::Duplicate),
        },
        Case {
            name: "held by another attempt, just within the TTL plus the clock margin",
            held: Some((8, NOW_MS - retention_ms + 1)),
            answer: Some(Answer::Duplicate),
        },
        Case {
            name: "held by another attempt that has expired: the claim has to be written",
            held: Some((8, NOW_MS - retention_ms)),
            answer: None,
        },
        Case {
            name: "held by an attempt that another VM claimed for this request: is replaced",
            held: Some((9, NOW_MS)),
            answer: None,
        },
    ];
    check(&cases);
}

#[test]
fn clock_skew_changes_how_long_a_key_is_rejected() {
    // Returns a claim by attempt 8, made `ago` minutes ago by a clock that is `behind` minutes
    // behind.
    let skewed = |ago: i64, behind: i64| {
        let at_ms = NOW_MS.checked_add_signed(-(ago + behind) * 60_000);
        Some((8, at_ms.expect("the claim time is not negative")))
    };
    let cases = [
        Case {
            name: "clock skew within the margin: rejected for the whole TTL",
            held: skewed(14, 5),
            answer: Some(Answer::Duplicate),
        },
        Case {
            name: "clock skew above the margin: rejected for less than the TTL",
            held: skewed(14, 6),
            answer: None,
        },
        Case {
            name: "a clock behind by the TTL and the margin: not rejected at all",
            held: skewed(0, 20),
            answer: None,
        },
        Case {
            name: "a clock an hour ahead: rejected for an hour longer",
            held: skewed(79, -60),
            answer: Some(Answer::Duplicate),
        },
    ];
    check(&cases);
}

fn check(cases: &[Case]) {
    for case in cases {
        let mut claims = Bucket::default();
        let wanted = claim(1, 7);
        assert_eq!(claims.claim(wanted, Some(9)), None, "{}", case.name);
        let read = claims.advance(NOW_MS, false);
        assert_eq!(read, [Action::Read], "{}", case.name);
        let held = case.held.map(|(attempt, at_ms)| Claim {
            key: 1,
            attempt,
            at_ms,
        });
        claims.on_read(4, held.into_iter().collect());
        let expected = match case.answer {
            Some(answer) => Action::Answer(7, answer),
            None => Action::Write {
                version: 4,
                claims: vec![wanted],
            },
        };
        assert_eq!(claims.advance(NOW_MS, true), [expected], "{}", case.name);
    }
}
