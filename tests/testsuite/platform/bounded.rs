//! Guards against times from outside that overflow the clock: each reader is fed with arbitrary
//! numbers, and what it returns is added to the clock as the gateway does.

use std::time::{Duration, Instant};

use geraniummount::platform::{document, headers, registration};
use geraniummount::util::bounded::{self, MAX_TIME};
use geraniummount::util::h1::{Head, Parsed, Request};
use proptest::prelude::*;
use serde_json::json;

use crate::seeded::config;

/// Greatest factor by which the gateway multiplies a time that it has read.
const MAX_FACTOR: u32 = 1000;

/// A number as text: whole, with a fraction or an exponent, negative, or none at all.
fn number() -> impl Strategy<Value = String> {
    prop_oneof![
        "[0-9]{1,40}",
        any::<u64>().prop_map(|number| number.to_string()),
        any::<f64>().prop_map(|number| number.to_string()),
        any::<f64>().prop_map(|number| format!("{number:e}")),
        "[-+]?[0-9.]{0,6}(e[-+]?[0-9]{1,4})?",
        "[a-zA-Z0-9 .,=;+-]{0,12}",
    ]
}

fn response(field: &str, value: &str) -> Option<Head> {
    let head = format!("HTTP/1.1 503 Busy\r\n{field}: {value}\r\nContent-Length: 0\r\n\r\n");
    match Head::parse(head.as_bytes(), false) {
        Ok(Parsed::Complete(head, _)) => Some(head),
        _ => None,
    }
}

/// Returns the time that a caller states in a request.
fn caller_timeout(value: &str) -> Option<Duration> {
    let head = format!("GET / HTTP/1.1\r\nHost: a\r\nDeadline-Ms: {value}\r\n\r\n");
    match Request::parse(head.as_bytes()) {
        Ok(Parsed::Complete(request, _)) => headers::read_caller_fields(&request.fields).timeout,
        _ => None,
    }
}

/// Returns all times of a configuration in which each is `value`.
fn configured_times(value: &str) -> Vec<Duration> {
    let document = json!({
        "version": 1, "services": [],
        "limits": {"maxHeaderBytes": 2048, "maxBodyBytes": 4096,
                   "headerTimeoutMs": "N", "idleTimeoutMs": "N"},
        "routes": [{"name": "a", "host": "a", "prefix": "/", "type": "idempotent", "backend": "s",
                    "attempts": 2, "timeoutMs": "N", "targetLatencyMs": "N"}],
    });
    let text = document.to_string().replace("\"N\"", value);
    let Ok(table) = document::read(text.as_bytes()) else {
        return Vec::new();
    };
    let route = &table.routes()[0];
    let limits = table.limits;
    vec![
        route.timeout,
        route.target_latency,
        limits.read_timeout,
        limits.idle_timeout,
    ]
}

/// Returns the warm-up time of a registration.
fn warm_up_time(value: &str) -> Option<Duration> {
    let registration = json!({
        "backend": "s", "address": "127.0.0.1:9", "zone": "near", "concurrency": 1,
        "state": "ready", "warmupLeftMs": "N",
    });
    let text = registration.to_string().replace("\"N\"", value);
    let instance = registration::read("servers/a", text.as_bytes()).ok()?;
    Some(instance.warm_up_left)
}

proptest! {
    #![proptest_config(config(3_000))]

    #[test]
    fn bounded_times_from_outside_can_be_added_to_the_clock(value in number()) {
        let mut times = configured_times(&value);
        times.extend(caller_timeout(&value));
        times.extend(warm_up_time(&value));
        times.extend(bounded::parse_seconds(&value));
        times.extend(bounded::parse_millis(&value));
        let kept_alive = response("Keep-Alive", &format!("timeout={value}"));
        times.extend(kept_alive.and_then(|head| head.keep_alive()));
        if let Some(head) = response("Retry-After", &value) {
            times.extend(headers::read_notice(&head).hold);
            times.extend(headers::read_retry_after(&head.fields));
        }
        for time in times {
            prop_assert!(time <= MAX_TIME, "{value:?} is read as {time:?}");
            prop_assert!(Instant::now().checked_add(time * MAX_FACTOR).is_some());
        }
    }
}
