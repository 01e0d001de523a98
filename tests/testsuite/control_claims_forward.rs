//! Checks which VM makes a claim of an idempotency key, how often claims are written and how they
//! are encoded.

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
fn contended_claims_are_forwarded_to_one_vm_per_bucket() {
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
    let dest = |fwd: &Forwarding, view: &View, bucket, at| fwd.target(view, bucket, at, |_| false);
    let mut forwarding = Forwarding::default();
    let mut claimers = Vec::new();
    for bucket in 0..BUCKETS {
        assert_eq!(dest(&forwarding, &from_a, bucket, now), None, "uncontended");
    }
    forwarding.note_contention(true, now);
    for bucket in 0..BUCKETS {
        // Returns the VM that makes a claim. A VM knows only one VM of the other domain, which may
        // forward the claim once more within its own domain.
        let claimer = |view: &View| {
            let first = dest(&forwarding, view, bucket, now).map_or(view.me.clone(), |vm| vm.name);
            let inner = if first.starts_with('a') {
                &from_a
            } else {
                &from_b
            };
            let first_view = View {
                me: first.clone(),
                ..inner.clone()
            };
            let onward = forwarding.target_in_domain(&first_view, bucket, now, |_| false);
            onward.map_or(first, |vm| vm.name)
        };
        assert_eq!(claimer(&from_a), claimer(&from_b), "bucket {bucket}");
        claimers.push(claimer(&from_a));
        if let Some(vm) = dest(&forwarding, &from_a, bucket, now) {
            let lost = forwarding.target(&from_a, bucket, now, |other| other.name == vm.name);
            assert_ne!(lost, Some(vm.clone()), "bucket {bucket}: lost VM");
            let mut after = forwarding.clone();
            after.avoid(&vm.name, now);
            assert_eq!(dest(&after, &from_a, bucket, now), lost, "bucket {bucket}");
        }
    }
    claimers.sort();
    claimers.dedup();
    assert_eq!(claimers.len(), 6, "claiming VMs: {claimers:?}");
    let later = now + Duration::from_secs(61);
    assert_eq!(dest(&forwarding, &from_a, 0, later), None, "expired");
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
