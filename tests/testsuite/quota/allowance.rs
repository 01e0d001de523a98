//! The tokens that accrue while the VMs wait for their portions after a restart.

use std::time::Duration;

use geraniummount::core::boot_time::BootTime;
use geraniummount::core::quota::{Action, Message, Quotas, Setup};
use geraniummount::core::tenant::Quota;

use super::fleet::{TOLERANCE, WINDOW};

/// A quarter of what is tolerated beyond 60 requests.
const ALLOWANCE: f64 = (60.0 * 0.1 + 20.0) / 4.0;

const VMS: [&str; 3] = ["a", "b", "vm"];

fn at(ms: u64) -> BootTime {
    BootTime::new(Duration::from_millis(ms))
}

/// Starts the process of a VM that was registered before, at 1 s.
fn restarted(name: &str) -> Quotas {
    let setup = Setup {
        name: name.to_string(),
        domain: "near".to_string(),
        is_first_start: false,
        window: WINDOW,
        tolerance: TOLERANCE,
        seed: 1,
    };
    let mut quotas = Quotas::new(setup, at(1_000));
    let quota = Quota {
        per_second: 10.0,
        burst: 10.0,
    };
    quotas.set_tenants(&[("t".to_string(), quota)], at(1_000));
    quotas.set_vms(
        &VMS.map(|vm| (vm.to_string(), "near".to_string())),
        at(1_000),
    );
    quotas
}

/// Guards against a wait that two counting VMs get tokens for.
#[test]
fn quota_wait_of_a_restarted_vm_is_passed_on_once() {
    let mut lender = restarted("vm");
    let mut passed_on = 0.0;
    for (id, (asker, ms)) in (1..).zip([("a", 1_400), ("b", 1_800), ("a", 1_800), ("b", 5_000)]) {
        lender.on_message(&asker.to_string(), id, Message::AskLoan, at(ms));
        for action in lender.take_actions() {
            if let Action::Send {
                message: Message::Loan { start, .. },
                ..
            } = action
            {
                passed_on += start;
            }
        }
    }
    let whole = 1.5 / VMS.len() as f64;
    assert!((passed_on - whole).abs() < 1e-6, "{passed_on}, not {whole}");
}

struct Case {
    name: &'static str,
    /// When the other VMs answer, in milliseconds, with a wait of `start` s of the whole quota.
    answer_ms: u64,
    start: f64,
    /// Tokens beyond those without the answers.
    tokens: f64,
}

const CASES: &[Case] = &[
    Case {
        name: "the others have been restarted as well",
        answer_ms: 2_100,
        start: 0.3,
        tokens: ALLOWANCE * 0.6 / 1.5,
    },
    Case {
        name: "the others state more than they can have waited",
        answer_ms: 2_100,
        start: 1e9,
        tokens: ALLOWANCE * 2.0 / 3.0,
    },
    Case {
        name: "the others are restarted in turn while this VM counts",
        answer_ms: 2_600,
        start: 0.3,
        tokens: 0.0,
    },
];

/// Guards against tokens for VMs that are restarted while another one counts.
#[test]
fn quota_allowance_is_only_given_while_the_counting_vm_waits_itself() {
    for case in CASES {
        let tokens = [0.0, case.start].map(|start| tokens_with(case.answer_ms, start));
        let added = tokens[1] - tokens[0];
        let is_near = (added - case.tokens).abs() < 0.01;
        assert!(is_near, "{}: {added}, not {}", case.name, case.tokens);
    }
}

fn tokens_with(answer_ms: u64, start: f64) -> f64 {
    let mut counter = restarted("vm");
    let mut asked = Vec::new();
    for ms in (1_000..=answer_ms).step_by(50) {
        counter.tick(at(ms));
        let actions = counter.take_actions().into_iter();
        let questions = actions.filter_map(|action| match action {
            Action::Send {
                to,
                id,
                message: Message::AskLoan,
            } => Some((to, id, ms)),
            _ => None,
        });
        asked.extend(questions);
    }
    let last = asked.iter().map(|(.., ms)| *ms).max().unwrap();
    for (vm, id, _) in asked.iter().filter(|(.., ms)| *ms == last) {
        let portion = 0.0;
        counter.on_message(vm, *id, Message::Loan { portion, start }, at(answer_ms));
    }
    // A request that is granted or waits brings the bucket up to date, and a token may be used.
    counter.request("t", at(answer_ms));
    counter.tokens("t")
}
