//! Where claims of idempotency keys are made, how often and in which form.

use std::sync::Arc;
use std::time::{Duration, Instant};

use geraniummount::core::claims::{
    BUCKETS, Claim, Forwarding, MAX_CLAIMS_PER_BUCKET, WriteLimiter,
};
use geraniummount::core::vm::State;
use geraniummount::edge::platform::claim_store::{decode, encode};
use geraniummount::prelude::*;

#[test]
fn a_value_is_decoded_in_either_encoding() {
    for count in [0, 1, 1_024, 1_025, MAX_CLAIMS_PER_BUCKET] {
        let claim_of = |key: usize| Claim {
            key: (key as u128) << 70 | 5,
            attempt: u64::MAX - key as u64,
            at_ms: 10_000_000,
        };
        let claims: Vec<Claim> = (0..count).map(claim_of).collect();
        let bytes = encode(&claims).unwrap();
        assert!(bytes.len() < 1024 * 1024, "{count}: {} bytes", bytes.len());
        let is_json = serde_json::from_slice::<Vec<Claim>>(&bytes).is_ok();
        assert_eq!(is_json, count <= 1_024, "{count}");
        assert_eq!(decode(&bytes).unwrap(), claims, "{count}");
    }
    assert_eq!(decode(b"{}"), None);
}

#[test]
fn contended_claims_are_forwarded_to_one_vm_per_value() {
    let now = Instant::now();
    let vm = |name: &str, domain: &str, state| Vm {
        name: name.to_owned(),
        failure_domain: domain.to_owned(),
        peer_address: "127.0.0.1:1".parse().unwrap(),
        incarnation: 1,
        state,
        revision: 1,
    };
    let view = |me: &str, domain: &str, vms: &[Vm]| View {
        me: me.to_owned(),
        failure_domain: domain.to_owned(),
        catalog: Arc::default(),
        vms: vms.to_vec().into(),
        draining: Vec::new(),
        health_draining: Vec::new(),
        stopping: false,
    };
    let live = |name, domain| vm(name, domain, State::Live);
    let a = [live("a-1", "a"), live("a-2", "a"), live("a-3", "a")];
    let b = [live("b-1", "b"), live("b-2", "b"), live("b-3", "b")];
    let from_a = view("a-1", "a", &[&a[..], &b[..1]].concat());
    let from_b = view("b-2", "b", &[&b[..], &a[2..]].concat());
    let dest = |from: &Forwarding, view: &View, value, at| from.target(view, value, at, |_| false);
    let mut forwarding = Forwarding::default();
    let mut claimers = Vec::new();
    for value in 0..BUCKETS {
        assert_eq!(dest(&forwarding, &from_a, value, now), None, "quiet");
    }
    forwarding.note_contention(true, now);
    for value in 0..BUCKETS {
        // Where a claim of each VM ends, over the VM that it knows.
        let claiming_vm = |view: &View| {
            let first = dest(&forwarding, view, value, now).map_or(view.me.clone(), |vm| vm.name);
            let inner = if first.starts_with('a') {
                &from_a
            } else {
                &from_b
            };
            let first_view = View {
                me: first.clone(),
                ..inner.clone()
            };
            let onward = forwarding.target_in_domain(&first_view, value, now, |_| false);
            onward.map_or(first, |vm| vm.name)
        };
        assert_eq!(claiming_vm(&from_a), claiming_vm(&from_b), "value {value}");
        claimers.push(claiming_vm(&from_a));
        if let Some(vm) = dest(&forwarding, &from_a, value, now) {
            let lost = forwarding.target(&from_a, value, now, |other| other.name == vm.name);
            assert_ne!(lost, Some(vm.clone()), "value {value}: lost");
            let mut avoiding = forwarding.clone();
            avoiding.avoid(&vm.name, now);
            assert_eq!(dest(&avoiding, &from_a, value, now), lost, "value {value}");
        }
    }
    claimers.sort();
    claimers.dedup();
    assert_eq!(claimers.len(), 6, "all VMs take values: {claimers:?}");
    let later = now + Duration::from_secs(61);
    assert_eq!(dest(&forwarding, &from_a, 0, later), None, "quiet again");
}

#[test]
fn a_value_is_written_at_a_bounded_rate() {
    let start = Instant::now();
    let mut limiter = WriteLimiter::default();
    let mut writes = 0;
    for ms in 0..10_000 {
        let now = start + Duration::from_millis(ms);
        if limiter.next_write_at(now) <= now {
            limiter.on_write(now);
            writes += 1;
        }
    }
    assert!((40..=44).contains(&writes), "{writes} writes in 10 s");
}
