//! Guards against refusals that say that a request has not run while an attempt at it is under way:
//! a leaf rejects the request as its time ends, and the call sends it to the next leaf although it
//! refuses the request at the same moment.

use std::time::{Duration, Instant};

use geraniummount::core::call::{Action, Call, End, Plan, Reply};
use geraniummount::core::placement::{Placement, Start};
use geraniummount::core::route::Repeat;
use geraniummount::core::scope::Scope;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::call::{find_end, sent_attempts};
use crate::instances;
use crate::seeded::config;

const SEED: u64 = 3;
const TIMEOUT: Duration = Duration::from_millis(800);

fn placement(now: Instant) -> Placement {
    let mut placement = Placement::new("near", Start::First, SmallRng::seed_from_u64(SEED));
    let ids = ["s-a", "s-b", "s-c"];
    let leaves = ids.map(|id| instances::instance("s", id, "near"));
    placement.update(&leaves, now);
    placement
}

fn plan(repeat: Repeat, now: Instant) -> Plan {
    Plan {
        route: "route".to_string(),
        services: vec!["s".to_string()],
        gather: None,
        repeat,
        max_attempts: 3,
        answer_by: now + Duration::from_millis(100),
        end_by: now + TIMEOUT,
        min_attempt_time: Duration::from_millis(10),
        is_counted: false,
        scope: Scope::ANY,
    }
}

#[test]
fn call_that_a_leaf_rejects_as_its_time_ends_is_refused_and_not_sent_again() {
    struct Case {
        name: &'static str,
        reply: fn() -> Reply,
        /// Time from the start until the reply.
        after: Duration,
    }
    const CASES: &[Case] = &[
        Case {
            name: "rejected at the end",
            reply: || Reply::Rejected,
            after: TIMEOUT,
        },
        Case {
            name: "rejected before a late timer",
            reply: || Reply::Rejected,
            after: Duration::from_millis(801),
        },
        Case {
            name: "rejected before a VM that was frozen handles its timers",
            reply: || Reply::Rejected,
            after: Duration::from_secs(9),
        },
        Case {
            name: "another leaf has the address",
            reply: || Reply::Misdirected,
            after: TIMEOUT,
        },
        Case {
            name: "the leaf could not be reached",
            reply: || Reply::Unreachable,
            after: TIMEOUT,
        },
        Case {
            name: "the leaf accepts nothing",
            reply: || Reply::Withheld,
            after: TIMEOUT,
        },
    ];
    for case in CASES {
        for repeat in [Repeat::AtMostOnce, Repeat::Idempotent] {
            let now = Instant::now();
            let mut placement = placement(now);
            let mut call = Call::new(plan(repeat, now), now);
            let first = sent_attempts(&call.start(&mut placement, now))[0];
            if matches!((case.reply)(), Reply::Rejected | Reply::Misdirected) {
                call.on_sent(first);
            }
            let actions = call.on_reply(first, (case.reply)(), &mut placement, now + case.after);
            let name = case.name;
            let is_refused = matches!(find_end(&actions), Some(End::Refuse { .. }));
            assert!(is_refused, "{name}: {actions:?}");
            assert!(sent_attempts(&actions).is_empty(), "{name}: {actions:?}");
        }
    }
}

/// What happens next to a request. An index chooses one of the attempts, modulo their number.
#[derive(Clone, Debug)]
enum Event {
    /// A connection is established: the request of an attempt that waits for it is written.
    Written(usize),
    Replied(usize, Outcome),
    /// Time passes, in milliseconds, and the timer of the request is handled.
    TimePassed(u64),
    /// Time passes, in milliseconds, and other events come before the timer.
    Delayed(u64),
    HandedOver,
}

/// Reply to an attempt that was written. One that was not written is unreachable or withheld.
#[derive(Clone, Copy, Debug)]
enum Outcome {
    Rejected,
    Misdirected,
    Lost,
    Failed,
}

fn event() -> impl Strategy<Value = Event> {
    let outcome = prop_oneof![
        4 => Just(Outcome::Rejected),
        1 => Just(Outcome::Misdirected),
        1 => Just(Outcome::Lost),
        1 => Just(Outcome::Failed),
    ];
    prop_oneof![
        any::<usize>().prop_map(Event::Written),
        (any::<usize>(), outcome).prop_map(|(index, outcome)| Event::Replied(index, outcome)),
        (0..500u64).prop_map(Event::TimePassed),
        (0..500u64).prop_map(Event::Delayed),
        Just(Event::HandedOver),
    ]
}

/// The gateway and its leaves: what was written and may run.
#[derive(Default)]
struct Model {
    /// Whether a request is written as soon as the call sends it, as over an idle connection.
    has_idle_connections: bool,
    /// Attempts that wait for a connection.
    queued: Vec<u64>,
    /// Attempts whose request was written and has no reply.
    written: Vec<u64>,
    /// Number of attempts that may have run and have a reply or were abandoned.
    ended: usize,
    /// Whether the request was refused as not run; `None` until it ends.
    end: Option<bool>,
}

impl Model {
    /// Carries out actions in their order, as the gateway does.
    fn apply(&mut self, call: &mut Call, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { attempt, .. } => {
                    assert!(self.end.is_none(), "sent after the end");
                    self.queued.push(*attempt);
                    if self.has_idle_connections {
                        self.write(call, *attempt);
                    }
                }
                Action::Abandon { attempt } => {
                    self.queued.retain(|queued| queued != attempt);
                    self.end_written(*attempt, true);
                }
                Action::Finish(end) => self.end = Some(matches!(end, End::Refuse { .. })),
            }
        }
    }

    fn write(&mut self, call: &mut Call, attempt: u64) {
        self.queued.retain(|queued| *queued != attempt);
        self.written.push(attempt);
        call.on_sent(attempt);
    }

    /// Ends an attempt; `may_run` tells whether its leaf may run it or have run it.
    fn end_written(&mut self, attempt: u64, may_run: bool) {
        let before = self.written.len();
        self.written.retain(|written| *written != attempt);
        self.ended += usize::from(may_run && self.written.len() < before);
    }

    /// Returns how many leaves run the request, have run it, or will once they have read it.
    fn may_run_count(&self) -> usize {
        self.ended + self.written.len() + self.queued.len()
    }
}

/// Plays events; returns the number of leaves that may run the request and, once it has ended,
/// whether it was refused as not run.
fn play(repeat: Repeat, has_idle_connections: bool, events: &[Event]) -> (usize, Option<bool>) {
    let mut now = Instant::now();
    let mut placement = placement(now);
    let mut call = Call::new(plan(repeat, now), now);
    let mut model = Model {
        has_idle_connections,
        ..Model::default()
    };
    let actions = call.start(&mut placement, now);
    model.apply(&mut call, &actions);
    for event in events {
        let actions = match event {
            Event::Written(index) if !model.queued.is_empty() => {
                let attempt = model.queued[index % model.queued.len()];
                model.write(&mut call, attempt);
                Vec::new()
            }
            Event::Replied(index, outcome) if !model.written.is_empty() => {
                let attempt = model.written[index % model.written.len()];
                let (reply, may_run) = match outcome {
                    Outcome::Rejected => (Reply::Rejected, false),
                    Outcome::Misdirected => (Reply::Misdirected, false),
                    Outcome::Lost => (Reply::Lost, true),
                    Outcome::Failed => (Reply::Failure(Default::default()), true),
                };
                model.end_written(attempt, may_run);
                call.on_reply(attempt, reply, &mut placement, now)
            }
            Event::Replied(index, _) if !model.queued.is_empty() => {
                let attempt = model.queued.swap_remove(index % model.queued.len());
                call.on_reply(attempt, Reply::Withheld, &mut placement, now)
            }
            Event::TimePassed(ms) => {
                now += Duration::from_millis(*ms);
                call.tick(&mut placement, now)
            }
            Event::Delayed(ms) => {
                now += Duration::from_millis(*ms);
                Vec::new()
            }
            Event::HandedOver => match call.hand_over(&mut placement, now) {
                // Another VM refuses the request as not run if no leaf may have received it here.
                Some((sends, actions)) => {
                    model.apply(&mut call, &actions);
                    model.end = Some(sends == 0);
                    Vec::new()
                }
                None => Vec::new(),
            },
            Event::Written(_) | Event::Replied(..) => Vec::new(),
        };
        model.apply(&mut call, &actions);
    }
    (model.may_run_count(), model.end)
}

proptest! {
    #![proptest_config(config(2_000))]

    #[test]
    fn call_that_is_refused_has_nothing_under_way(
        is_idempotent in any::<bool>(),
        has_idle_connections in any::<bool>(),
        events in prop::collection::vec(event(), 0..12),
    ) {
        let repeat = match is_idempotent {
            true => Repeat::Idempotent,
            false => Repeat::AtMostOnce,
        };
        let (may_run, is_refused) = play(repeat, has_idle_connections, &events);
        if is_refused == Some(true) {
            prop_assert_eq!(may_run, 0, "it was refused as not run");
        }
        if !is_idempotent {
            prop_assert!(may_run <= 1, "it may run only once, and may run {} times", may_run);
        }
    }
}
