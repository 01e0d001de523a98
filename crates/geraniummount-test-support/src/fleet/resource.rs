//! Declares resources (leaves and services) through a VM's HTTP listener for operators.

use serde_json::Value;

use super::{CONVERGENCE_TIMEOUT, Fleet, wait_until};
use crate::client::Client;

/// Declares resources, given as kind and spec, through the VM named `vm` and waits until each
/// running VM has them. Panics if `vm` rejects one or a VM does not have it before
/// [`CONVERGENCE_TIMEOUT`].
pub(super) fn apply(fleet: &Fleet, vm: &str, resources: &[(&str, Value)]) {
    let operator = fleet.operator(vm);
    for (kind, spec) in resources {
        put(&operator, kind, spec);
    }
    for (kind, spec) in resources {
        for running in fleet.running() {
            let client = fleet.operator(&running.name);
            let is_applied = wait_until(CONVERGENCE_TIMEOUT, || has_spec(&client, kind, spec));
            assert!(
                is_applied,
                "VM {} did not receive {kind} {} before the timeout",
                running.name, spec["name"]
            );
        }
    }
}

fn put(operator: &Client, kind: &str, spec: &Value) {
    let path = path(kind, spec);
    let reply = operator.call("PUT", &path, &[], spec.to_string());
    let reply = reply.unwrap_or_else(|error| panic!("PUT {path} got no reply: {error}"));
    assert!(
        reply.is_success(),
        "PUT {path} got {}: {}",
        reply.status,
        reply.text
    );
}

/// Returns whether a VM has the resource and each field declared in `spec` has the same value
/// there.
fn has_spec(operator: &Client, kind: &str, spec: &Value) -> bool {
    let Ok(reply) = operator.get(&path(kind, spec)) else {
        return false;
    };
    let fields = spec.as_object().expect("a spec is an object");
    fields
        .iter()
        .all(|(key, value)| reply.body["spec"][key] == *value)
}

fn path(kind: &str, spec: &Value) -> String {
    let name = spec["name"].as_str().expect("a spec has a name");
    format!("/v1/resources/{kind}/{name}")
}
