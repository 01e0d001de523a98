//! Configurations with tenants, and requests with keys.

use std::io::Write;
use std::net::SocketAddr;

use geraniummount_test_support::platform::users::caller::Reply;
use serde_json::{Value, json};

use super::fixture::{Fixture, HOST, connect, document, gather_route, service_route};

/// Keys of the tenants `acme` and `bolt`.
pub const ACME_KEY: &str = "acme-key-5f1c77";
pub const BOLT_KEY: &str = "bolt-key-90ab21";

/// Returns both tenants.
pub fn tenants() -> Value {
    json!([
        {"name": "acme", "apiKeys": [ACME_KEY]},
        {"name": "bolt", "apiKeys": [BOLT_KEY, "bolt-key-2"], "priority": 0, "ratePerS": 5000, "burst": 5000},
    ])
}

/// Returns the routes: `/a/` needs a key, `/open/` does not, `/two/` goes to another service, and
/// `/q/` gathers from both.
pub fn routes() -> Vec<Value> {
    let mut open = service_route("/open/", "idempotent", "one");
    open["allowAnonymous"] = json!(true);
    let needs_key = service_route("/a/", "idempotent", "one");
    let two = service_route("/two/", "idempotent", "two");
    let gather = gather_route("/q/", &["one", "two"], 5, 0.5);
    vec![needs_key, open, two, gather]
}

/// Returns a configuration with tenants.
pub fn tenant_document(version: u64, tenants: Value) -> String {
    let mut document: Value = serde_json::from_str(&document(version, &routes())).unwrap();
    document["tenants"] = tenants;
    document.to_string()
}

/// Returns the field that carries a key.
pub fn authorization(key: &str) -> String {
    format!("Authorization: Token {key}\r\n")
}

/// Sends a GET request with further fields on a new connection.
pub fn get(address: SocketAddr, path: &str, fields: &str) -> Reply {
    let id: u64 = rand::random();
    let head = format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id:016x}\r\n");
    send(
        address,
        format!("{head}Deadline-Ms: 2000\r\n{fields}\r\n").as_bytes(),
    )
}

/// Sends bytes on a new connection and reads one answer.
pub fn send(address: SocketAddr, bytes: &[u8]) -> Reply {
    let mut stream = connect(address);
    stream.write_all(bytes).unwrap();
    Reply::read(&mut stream).expect("whole answer")
}

/// Writes a configuration with both tenants and waits until a leaf answers.
pub fn configure_tenants(fixture: &Fixture, version: u64) {
    fixture
        .store
        .put("op/config", tenant_document(version, tenants()));
    wait_for_status(fixture, &authorization(ACME_KEY), 200);
}

/// Waits until a request to `/a/` with the given fields gets a status.
pub fn wait_for_status(fixture: &Fixture, fields: &str, status: u16) {
    fixture.wait_until(|fixture| get(fixture.callers_address, "/a/x", fields).status == status);
}
