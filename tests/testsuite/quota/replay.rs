//! Replays the load of tenants on some dozens of VMs in three domains: in each sliding window, no
//! more requests run than the bound allows, and tenants within their quotas are served.

use geraniummount::core::tenant::Quota;
use rand::RngExt;

use super::fleet::{DOMAINS, Fleet, TOLERANCE, WINDOW};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;

const PER_DOMAIN: usize = 12;

/// Time before requests are sent, and for which they are sent, in milliseconds.
const WARM_UP_MS: u64 = 6_000;
const LOAD_MS: u64 = 24_000;

/// Quotas per second. Each tenant sends its usual rate, the quota divided by 1.6; `hot` sends 7.5
/// times that from [`HOT_FROM_MS`] to [`HOT_TO_MS`]; `local` sends 0.62 of its quota to one domain.
pub(super) const TENANTS: &[(&str, f64)] = &[
    ("hot", 40.0),
    ("local", 60.0),
    ("small", 5.0),
    ("middle", 30.0),
    ("large", 150.0),
];

pub(super) const HOT: usize = 0;
const LOCAL: usize = 1;
const HOT_FROM_MS: u64 = 8_000;
const HOT_TO_MS: u64 = 14_000;

/// Uneven bursts: the rate changes at this interval by up to this factor.
const BURST_MS: u64 = 100;
const MAX_BURST: f64 = 2.0;

#[derive(Clone, Copy, Debug)]
pub(super) enum Change {
    /// The counting VM of a domain is killed.
    KillCounter(usize),
    FreezeCounter(usize, u64),
    StopCounter(usize),
    CutDomain(usize),
    CutVm(usize),
    /// Share of the messages that are lost.
    SetLoss(f64),
    /// Longest additional delay of a message, in microseconds.
    SetDelay(u64),
    RestoreLinks,
    RestartAll,
    Restart(usize),
    AddVm(usize),
    SetHotRate(f64),
    /// All callers send to one VM.
    MoveTo(usize),
}

pub(super) struct Case {
    pub(super) name: &'static str,
    /// Times in milliseconds, and what changes then.
    pub(super) changes: &'static [(u64, Change)],
    /// Minimum share of the requests that are served, of all tenants but `hot`.
    pub(super) min_served: f64,
}

const CASES: &[Case] = &[
    Case {
        name: "a hot tenant",
        changes: &[],
        min_served: 0.995,
    },
    Case {
        name: "a quota lowered and raised while the tenant is hot",
        changes: &[
            (10_000, Change::SetHotRate(12.0)),
            (18_000, Change::SetHotRate(60.0)),
        ],
        min_served: 0.995,
    },
    Case {
        name: "a domain cut off for 5 s",
        changes: &[
            (9_000, Change::CutDomain(1)),
            (14_000, Change::RestoreLinks),
        ],
        min_served: 0.99,
    },
    Case {
        // Each of the four VMs uses a portion that is less than a token a second.
        name: "single VMs cut off",
        changes: &[
            (9_000, Change::CutVm(4)),
            (9_000, Change::CutVm(5)),
            (9_500, Change::CutVm(9)),
            (9_500, Change::CutVm(13)),
            (14_000, Change::RestoreLinks),
        ],
        min_served: 0.97,
    },
    Case {
        name: "the counting VM killed",
        changes: &[(9_000, Change::KillCounter(0))],
        min_served: 0.98,
    },
    Case {
        name: "the counting VM frozen for 10 s and resumed",
        changes: &[(9_000, Change::FreezeCounter(0, 10_000))],
        min_served: 0.98,
    },
    Case {
        name: "the counting VM stopped",
        changes: &[(9_000, Change::StopCounter(0))],
        min_served: 0.99,
    },
    Case {
        // No VM uses a portion until the loans of the processes before are over.
        name: "all VMs restarted at once",
        changes: &[(10_000, Change::RestartAll)],
        min_served: 0.92,
    },
    Case {
        name: "all VMs restarted twice within 5 s",
        changes: &[(10_000, Change::RestartAll), (13_000, Change::RestartAll)],
        min_served: 0.85,
    },
    Case {
        // No process lives until it may use its portion.
        name: "all VMs restarted again and again",
        changes: &[
            (10_000, Change::RestartAll),
            (10_800, Change::RestartAll),
            (11_600, Change::RestartAll),
            (12_400, Change::RestartAll),
            (13_200, Change::RestartAll),
        ],
        min_served: 0.8,
    },
    Case {
        // Three VMs of domain 0 count at once, and the domain is cut off.
        name: "all VMs restarted while VMs are cut off",
        changes: &[
            (9_900, Change::CutDomain(0)),
            (9_900, Change::CutVm(0)),
            (9_900, Change::CutVm(3)),
            (10_000, Change::RestartAll),
            (14_000, Change::RestoreLinks),
        ],
        min_served: 0.87,
    },
    Case {
        name: "VMs restarted in turn",
        changes: &[
            (8_000, Change::Restart(0)),
            (8_500, Change::Restart(1)),
            (9_000, Change::Restart(2)),
            (9_500, Change::Restart(3)),
            (10_000, Change::Restart(4)),
            (10_500, Change::Restart(5)),
            (11_000, Change::Restart(6)),
            (11_500, Change::Restart(7)),
            (12_000, Change::Restart(8)),
            (12_500, Change::Restart(9)),
        ],
        min_served: 0.97,
    },
    Case {
        name: "VMs added",
        changes: &[
            (8_000, Change::AddVm(0)),
            (8_200, Change::AddVm(0)),
            (8_400, Change::AddVm(1)),
            (9_000, Change::AddVm(2)),
        ],
        min_served: 0.99,
    },
    Case {
        name: "callers that move to one VM",
        changes: &[(9_000, Change::MoveTo(7)), (15_000, Change::MoveTo(20))],
        min_served: 0.99,
    },
];

/// A replay of a case.
pub(super) struct Replay {
    fleet: Fleet,
    start: u64,
    /// VM to which all callers send.
    target: Option<usize>,
    /// Current factor of each tenant's rate.
    factors: Vec<f64>,
    /// Requests due of each tenant, with fractions.
    due: Vec<f64>,
    /// Times at which the quota of the hot tenant changed.
    hot_rates: Vec<(u64, f64)>,
}

impl Replay {
    pub(super) fn run(case: &Case, seed: u64) -> Replay {
        let mut fleet = Fleet::start(PER_DOMAIN, TENANTS, seed);
        fleet.run_until(fleet.now + WARM_UP_MS * 1_000);
        let mut replay = Replay {
            start: fleet.now,
            hot_rates: vec![(0, TENANTS[HOT].1)],
            fleet,
            target: None,
            factors: vec![1.0; TENANTS.len()],
            due: vec![0.0; TENANTS.len()],
        };
        replay.fleet.messages = 0;
        for ms in 0..LOAD_MS {
            for (_, change) in case.changes.iter().filter(|(at, _)| *at == ms) {
                replay.change(*change, seed);
            }
            replay.send(ms);
            replay.fleet.run_until(replay.start + (ms + 1) * 1_000);
        }
        let end = replay.fleet.now + 1_000_000;
        replay.fleet.run_until(end);
        replay
    }

    fn change(&mut self, change: Change, seed: u64) {
        let fleet = &mut self.fleet;
        match change {
            Change::KillCounter(domain) => fleet.kill(fleet.counter(domain).unwrap()),
            Change::StopCounter(domain) => fleet.stop(fleet.counter(domain).unwrap()),
            Change::FreezeCounter(domain, ms) => {
                let vm = fleet.counter(domain).unwrap();
                fleet.vms[vm].frozen_until = fleet.now + ms * 1_000;
            }
            Change::CutDomain(domain) => fleet.cut_domains = vec![domain],
            Change::CutVm(vm) => fleet.vms[vm].is_cut = true,
            Change::SetLoss(share) => fleet.loss = share,
            Change::SetDelay(us) => fleet.max_delay_us = us,
            Change::RestoreLinks => {
                fleet.cut_domains.clear();
                fleet.vms.iter_mut().for_each(|vm| vm.is_cut = false);
            }
            Change::RestartAll => (0..fleet.vms.len()).for_each(|vm| fleet.restart(vm)),
            Change::Restart(vm) => fleet.restart((vm + seed as usize) % fleet.vms.len()),
            Change::AddVm(domain) => fleet.add(domain, false),
            Change::SetHotRate(rate) => {
                fleet.set_rate(HOT, rate);
                self.hot_rates.push((fleet.now, rate));
            }
            Change::MoveTo(vm) => self.target = Some(vm),
        }
    }

    /// Sends the requests of one millisecond.
    fn send(&mut self, ms: u64) {
        for (tenant, (_, rate)) in TENANTS.iter().enumerate() {
            if ms.is_multiple_of(BURST_MS) {
                self.factors[tenant] = self.fleet.rng.random_range(0.0..MAX_BURST);
            }
            let usual = match tenant {
                LOCAL => rate * 0.62,
                _ => rate / 1.6,
            };
            let is_hot = tenant == HOT && (HOT_FROM_MS..HOT_TO_MS).contains(&ms);
            let per_ms = usual * if is_hot { 7.5 } else { 1.0 } / 1_000.0;
            self.due[tenant] +=
                per_ms * self.factors[tenant] * self.fleet.rng.random_range(0.0..2.0);
            while self.due[tenant] >= 1.0 {
                self.due[tenant] -= 1.0;
                let vm = self.draw_vm(tenant);
                self.fleet.request(tenant, vm);
            }
        }
    }

    /// Draws a VM that runs, as callers go to another one if theirs does not answer.
    fn draw_vm(&mut self, tenant: usize) -> usize {
        if let Some(vm) = self.target {
            return vm;
        }
        loop {
            let vm = self.fleet.rng.random_range(0..self.fleet.vms.len());
            let is_near = tenant != LOCAL || vm % DOMAINS == 0;
            if is_near && self.fleet.is_running(vm) {
                return vm;
            }
        }
    }

    /// Returns by how many requests a tenant exceeds the bound in its worst window.
    fn worst_excess(&self, tenant: usize) -> f64 {
        let outcomes = self.fleet.outcomes.iter();
        let admitted = outcomes.filter(|outcome| outcome.tenant == tenant && outcome.is_admitted);
        let mut times: Vec<u64> = admitted.map(|outcome| outcome.sent_us).collect();
        times.sort_unstable();
        let window_us = WINDOW.as_micros() as u64;
        let mut first = 0;
        let excess = times.iter().enumerate().map(|(index, end)| {
            while times[first] + window_us < *end {
                first += 1;
            }
            (index + 1 - first) as f64 - self.bound(tenant, times[first], *end)
        });
        excess.fold(f64::NEG_INFINITY, f64::max)
    }

    /// Returns the bound in a window: that of the highest quota that was in force in it.
    fn bound(&self, tenant: usize, from: u64, to: u64) -> f64 {
        let rate = match tenant {
            HOT => {
                let rates = self.hot_rates.iter().enumerate();
                let in_force = rates.filter(|(index, (since, _))| {
                    let until = self
                        .hot_rates
                        .get(index + 1)
                        .map_or(u64::MAX, |next| next.0);
                    *since <= to && until > from
                });
                in_force.map(|(_, (_, rate))| *rate).fold(0.0, f64::max)
            }
            _ => TENANTS[tenant].1,
        };
        let quota = Quota {
            per_second: rate,
            burst: rate,
        };
        let allowed = quota.per_second * WINDOW.as_secs_f64() + quota.burst;
        allowed * (1.0 + TOLERANCE.share) + TOLERANCE.requests
    }

    /// Returns how many requests of a tenant ran that were sent in a span, in milliseconds.
    pub(super) fn admitted(&self, tenant: usize, span: std::ops::Range<u64>) -> f64 {
        let is_in = |sent_us: u64| span.contains(&(sent_us.saturating_sub(self.start) / 1_000));
        let outcomes = self.fleet.outcomes.iter();
        let admitted = outcomes.filter(|outcome| {
            outcome.tenant == tenant && outcome.is_admitted && is_in(outcome.sent_us)
        });
        admitted.count() as f64
    }

    /// Returns the share of a tenant's requests that were served.
    fn served(&self, tenant: usize) -> f64 {
        let outcomes = self.fleet.outcomes.iter();
        let own: Vec<bool> = outcomes
            .filter(|outcome| outcome.tenant == tenant)
            .map(|outcome| outcome.is_admitted)
            .collect();
        let served = own.iter().filter(|is_admitted| **is_admitted).count();
        served as f64 / own.len() as f64
    }
}

#[test]
fn quota_bound_holds_and_tenants_within_it_are_served() {
    let mut failures = Vec::new();
    for (case, seed) in CASES
        .iter()
        .flat_map(|case| SEEDS.map(move |seed| (case, seed)))
    {
        let replay = Replay::run(case, seed);
        let excess: Vec<f64> = (0..TENANTS.len())
            .map(|tenant| replay.worst_excess(tenant))
            .collect();
        let served: Vec<f64> = (0..TENANTS.len())
            .map(|tenant| replay.served(tenant))
            .collect();
        let per_vm =
            replay.fleet.messages as f64 / LOAD_MS as f64 * 1e3 / replay.fleet.vms.len() as f64;
        println!(
            "{} seed={seed} excess={excess:.1?} served={served:.4?} messages={per_vm:.1}",
            case.name
        );
        let within = served
            .iter()
            .enumerate()
            .filter(|(tenant, _)| *tenant != HOT);
        let is_served = within
            .map(|(_, share)| *share)
            .all(|share| share >= case.min_served);
        if excess.iter().any(|excess| *excess > 0.0) || !is_served {
            failures.push(format!(
                "{} seed {seed}: excess {excess:.1?}, served {served:.4?}",
                case.name
            ));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
