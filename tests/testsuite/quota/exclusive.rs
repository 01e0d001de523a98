//! No portion of a quota is used by two VMs at a time, whatever is delayed, lost, cut off, frozen,
//! killed or added.

use rand::RngExt;

use super::fleet::{DOMAINS, Fleet};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=6;

const PER_DOMAIN: usize = 4;

/// Number of steps of a schedule, and their length in microseconds.
const STEPS: u64 = 1_500;
const STEP_US: u64 = 25_000;

/// Maximum delay of a message, longer than a loan.
const MAX_DELAY_US: u64 = 2_500_000;

#[test]
fn quota_portions_are_not_used_by_two_vms_at_a_time() {
    for seed in SEEDS {
        let mut fleet = Fleet::start(PER_DOMAIN, &[("a", 50.0)], seed);
        let mut max_used: f64 = 0.0;
        for step in 0..STEPS {
            disturb(&mut fleet);
            fleet.run_until(fleet.now + STEP_US);
            max_used = max_used.max(check(&mut fleet, seed, step));
        }
        assert!(max_used > 0.6, "seed {seed}: at most {max_used} was used");
    }
}

fn disturb(fleet: &mut Fleet) {
    let vm = fleet.rng.random_range(0..fleet.vms.len());
    match fleet.rng.random_range(0..250) {
        0 => fleet.kill(vm),
        1 | 2 => fleet.restart(vm),
        3 | 4 => {
            let time = fleet.rng.random_range(100_000..6_000_000);
            fleet.vms[vm].frozen_until = fleet.now + time;
        }
        5 => fleet.vms[vm].is_cut = true,
        6 | 7 => fleet.vms[vm].is_cut = false,
        8 => fleet.cut_domains = vec![fleet.rng.random_range(0..DOMAINS)],
        9 => fleet.cut_domains.clear(),
        10 if fleet.vms.len() < 20 => fleet.add(vm % DOMAINS, false),
        11 if fleet.is_running(vm) => fleet.stop(vm),
        12 => fleet.loss = fleet.rng.random_range(0.0..0.5),
        13 => fleet.loss = 0.0,
        14 => fleet.max_delay_us = fleet.rng.random_range(0..MAX_DELAY_US),
        15..18 => fleet.max_delay_us = 300,
        _ => {}
    }
}

/// Checks that each portion is used by one running VM; returns the sum of those in use.
fn check(fleet: &mut Fleet, seed: u64, step: u64) -> f64 {
    let running: Vec<usize> = (0..fleet.vms.len())
        .filter(|vm| fleet.is_running(*vm))
        .collect();
    for vm in &running {
        fleet.request(0, *vm);
    }
    let in_use = running.iter().map(|vm| &fleet.vms[*vm].quotas);
    let mut owners: Vec<&String> = in_use.clone().flat_map(|quotas| quotas.owners()).collect();
    owners.sort();
    let twice = owners.windows(2).find(|pair| pair[0] == pair[1]);
    assert_eq!(twice, None, "seed {seed}, step {step}");
    let sum: f64 = in_use.map(|quotas| quotas.portion()).sum();
    assert!(sum < 1.000_001, "seed {seed}, step {step}: {sum}");
    sum
}
