//! Tenants in the operator's document: contradictions are rejected, and the version in force stays.

use std::time::Duration;

use geraniummount::platform::document;
use serde_json::{Value, json};

use super::api_keys::start;
use super::tenants::{
    ACME_KEY, BOLT_KEY, authorization, get, tenant_document, tenants, wait_for_status,
};

/// Lists of tenants that contradict themselves, with a text of the error.
fn invalid_tenants() -> Vec<(Value, &'static str)> {
    vec![
        (
            json!([{"name": "a", "apiKeys": ["k"]}, {"name": "b", "apiKeys": ["k"]}]),
            "tenants a and b hold the same key",
        ),
        (
            json!([{"name": "a"}, {"name": "a"}]),
            "two tenants are named a",
        ),
        (
            json!([{"name": "a", "ratePerS": -1}]),
            "ratePerS of a is -1",
        ),
        (json!([{"name": "a", "burst": -0.5}]), "burst of a is -0.5"),
        (json!([{"name": "", "apiKeys": ["k"]}]), "names no tenant"),
        (json!([{"name": "a b"}]), "names no tenant"),
        (json!([{"name": "a\r\nX: y"}]), "names no tenant"),
        (json!([{"name": "a", "apiKeys": ["k", ""]}]), "empty key"),
        (json!([{"apiKeys": ["k"]}]), "name"),
        (
            json!([{"name": "a", "apiKeys": "k"}]),
            "apiKeys is not a list of strings",
        ),
        (json!([{"name": "a", "priority": -1}]), "u32"),
        (json!({"name": "a"}), "tenants is not a list"),
        (json!("k"), "tenants is not a list"),
        (json!(["k"]), "a tenant is not an object"),
    ]
}

#[test]
fn platform_api_keys_invalid_tenants_are_rejected_with_a_clear_error() {
    for (tenants, problem) in invalid_tenants() {
        let error = document::read(tenant_document(1, tenants.clone()).as_bytes()).unwrap_err();
        let error = error.to_string();
        assert!(error.contains(problem), "{tenants}: {error}");
    }
    let valid = document::read(tenant_document(1, tenants()).as_bytes()).unwrap();
    let bolt = valid.tenants().get("bolt").unwrap();
    assert_eq!(
        (bolt.priority, bolt.quota.unwrap().per_second),
        (Some(0), 5000.0)
    );
    assert!(valid.tenants().get("acme").unwrap().quota.is_none());
}

#[test]
fn platform_api_keys_invalid_versions_leave_the_one_in_force() {
    let (fixture, _one, _two) = start();
    for (number, (tenants, _)) in (2..).zip(invalid_tenants().into_iter().take(4)) {
        fixture
            .store
            .put("op/config", tenant_document(number, tenants));
        std::thread::sleep(Duration::from_millis(400));
        let reply = get(fixture.callers_address, "/a/x", &authorization(ACME_KEY));
        assert_eq!(reply.status, 200);
        assert_eq!(
            get(fixture.callers_address, "/a/x", &authorization("k")).status,
            401
        );
    }
    let only_bolt = json!([{"name": "bolt", "apiKeys": [BOLT_KEY]}]);
    fixture
        .store
        .put("op/config", tenant_document(9, only_bolt));
    wait_for_status(&fixture, &authorization(ACME_KEY), 401);
    wait_for_status(&fixture, &authorization(BOLT_KEY), 200);
}
