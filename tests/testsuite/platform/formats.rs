//! The platform's data formats: valid and invalid registrations and configurations.

use std::time::Duration;

use geraniummount::core::cost::Load;
use geraniummount::core::placement::NamedLimit;
use geraniummount::core::route::{Repeat, Target};
use geraniummount::platform::{document, headers, registration, vm_rate};
use geraniummount::util::bounded;
use geraniummount::util::h1::{Head, Parsed};
use serde_json::{Value, json};

use super::fixture::{document as configuration, gather_route, service_route};

fn valid_entry() -> Value {
    json!({"backend": "one", "address": "10.0.0.1:80", "zone": "near", "version": "v1",
           "concurrency": 3, "state": "ready", "warmupLeftMs": 250, "seq": 4, "born": 17})
}

#[test]
fn platform_formats_entries_are_read_into_typed_values() {
    let value = valid_entry().to_string();
    let instance = registration::read("servers/i-1", value.as_bytes()).unwrap();
    assert_eq!(instance.id, "i-1");
    assert_eq!(instance.service, "one");
    assert_eq!(instance.domain, "near");
    assert_eq!(instance.slots, 3);
    assert_eq!(instance.started_at_ms, Some(17));
    assert_eq!(instance.warm_up_left, Duration::from_millis(250));
    assert!(!instance.is_leaving);
    let mut leaving = valid_entry();
    leaving["state"] = json!("draining");
    let value = leaving.to_string();
    assert!(
        registration::read("servers/i-1", value.as_bytes())
            .unwrap()
            .is_leaving
    );
}

#[test]
fn platform_formats_entries_with_an_invalid_field_are_rejected() {
    struct Case {
        field: &'static str,
        value: Value,
    }
    let cases = [
        Case {
            field: "backend",
            value: json!(7),
        },
        Case {
            field: "address",
            value: json!("leaf.example:80"),
        },
        Case {
            field: "address",
            value: json!("10.0.0.1"),
        },
        Case {
            field: "zone",
            value: Value::Null,
        },
        Case {
            field: "concurrency",
            value: json!(-1),
        },
        Case {
            field: "state",
            value: json!("gone"),
        },
        Case {
            field: "warmupLeftMs",
            value: json!("soon"),
        },
        Case {
            field: "born",
            value: json!("yesterday"),
        },
    ];
    for case in cases {
        let mut value = valid_entry();
        value[case.field] = case.value.clone();
        let read = registration::read("servers/i-1", value.to_string().as_bytes());
        assert!(read.is_err(), "{}: {}", case.field, case.value);
    }
    for field in ["backend", "address", "zone", "concurrency", "state"] {
        let mut value = valid_entry();
        value.as_object_mut().unwrap().remove(field);
        let read = registration::read("servers/i-1", value.to_string().as_bytes());
        assert!(read.is_err(), "without {field}");
    }
    assert!(registration::read("servers/i-1", b"\xff\xfe").is_err());
}

#[test]
fn platform_formats_a_configuration_is_read_into_routes() {
    let mut split = service_route("/s/", "non_idempotent", "one");
    split.as_object_mut().unwrap().remove("backend");
    split["trafficSplit"] = json!([{"backend": "a", "weight": 3}, {"backend": "b", "weight": 1.5}]);
    let routes = [split, gather_route("/g/", &["x", "y"], 5, 0.75)];
    let table = document::read(configuration(7, &routes).as_bytes()).unwrap();
    assert_eq!(table.version, 7);
    assert_eq!(table.limits.max_body_bytes, 4096);
    assert_eq!(table.max_connections("one"), Some(26));
    let split = table.find("shop.example", "/s/x").unwrap();
    assert_eq!(split.repeat, Repeat::AtMostOnce);
    assert!(matches!(&split.target, Target::Split(parts) if parts[1].weight == 1.5));
    let gather = table.find("SHOP.example", "/g/").unwrap();
    assert!(matches!(&gather.target, Target::Gather(gather) if gather.min_shards() == 2));
    assert_eq!(gather.target_latency, Duration::from_millis(400));
}

#[test]
fn platform_formats_an_invalid_configuration_is_rejected() {
    let two_targets = {
        let mut route = service_route("/a/", "idempotent", "one");
        route["gather"] = json!(["x"]);
        configuration(1, &[route])
    };
    let no_target = {
        let mut route = service_route("/a/", "idempotent", "one");
        route.as_object_mut().unwrap().remove("backend");
        configuration(1, &[route])
    };
    let unknown_type = configuration(1, &[service_route("/a/", "sometimes", "one")]);
    for text in [
        "",
        "[]",
        "{}",
        "{\"version\": 1}",
        &two_targets,
        &no_target,
        &unknown_type,
    ] {
        assert!(document::read(text.as_bytes()).is_err(), "{text}");
    }
}

/// Guards against code outside `platform` folders that depends on the platform's names.
#[test]
fn platform_formats_names_appear_only_in_platform_folders() {
    const NAMES: &[&str] = &[
        "part-stamps",
        "missing-parts",
        "server-stamp",
        "request-not-run",
        "expect-instance",
        "instance-id",
        "kv-key",
        "kv-txn",
        "kv-watch",
        "kv-range",
        "mincoverage",
        "trafficsplit",
        "targetlatencyms",
        "warmupleftms",
        "op/config",
        "/api/ready",
    ];
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut folders = vec![
        root.join("src"),
        root.join("benches"),
        root.join("examples"),
        root.join("crates"),
        root.join("tests"),
    ];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                if path.file_name().unwrap() != "platform" {
                    folders.push(path);
                }
                continue;
            }
            let text = std::fs::read_to_string(&path)
                .unwrap_or_default()
                .to_lowercase();
            for name in NAMES {
                assert!(!text.contains(name), "{name} in {}", path.display());
            }
        }
    }
}

#[test]
fn platform_formats_limits_are_read_from_the_heads_of_responses() {
    struct Case {
        field: &'static str,
        limit: NamedLimit,
    }
    const CASES: &[Case] = &[
        Case {
            field: "",
            limit: NamedLimit::Absent,
        },
        Case {
            field: "Server-Limit: 15.8\r\n",
            limit: NamedLimit::PerSecond(15.8),
        },
        Case {
            field: "server-limit:  0 \r\n",
            limit: NamedLimit::PerSecond(0.0),
        },
        Case {
            field: "Server-Limit: -1\r\n",
            limit: NamedLimit::Unreadable,
        },
        Case {
            field: "Server-Limit: 1e999\r\n",
            limit: NamedLimit::Unreadable,
        },
        Case {
            field: "Server-Limit: nan\r\n",
            limit: NamedLimit::Unreadable,
        },
        Case {
            field: "Server-Limit: \u{fffd}\r\n",
            limit: NamedLimit::Unreadable,
        },
    ];
    for case in CASES {
        let text = format!("HTTP/1.1 200 OK\r\n{}Content-Length: 0\r\n\r\n", case.field);
        let Ok(Parsed::Complete(head, _)) = Head::parse(text.as_bytes(), false) else {
            panic!("{:?} is a head", case.field);
        };
        assert_eq!(
            headers::read_notice(&head).limit,
            case.limit,
            "{:?}",
            case.field
        );
    }
}

/// Guards against malformed or absurd loads that are taken for real ones.
#[test]
fn platform_formats_loads_are_read_from_the_heads_of_responses() {
    let load = |running, waiting, slots, pace_percent| {
        Some(Load {
            running,
            waiting,
            slots,
            pace_percent,
        })
    };
    let cases = [
        ("", None),
        ("Server-Load: 1,2,3\r\n", load(1, 2, 3, 100)),
        ("server-load:  1, 0 ,4 , 250\r\n", load(1, 0, 4, 250)),
        (
            "Server-Load: 99999999999999999999,0,1\r\n",
            load(bounded::MAX_COUNT, 0, 1, 100),
        ),
        ("Server-Load: 1,2\r\n", None),
        ("Server-Load: 1,2,3,4,5\r\n", None),
        ("Server-Load: 1,2,0\r\n", None),
        ("Server-Load: 1,2,3,0\r\n", None),
        ("Server-Load: 1,2,3,\r\n", None),
        ("Server-Load: -1,2,3\r\n", None),
        ("Server-Load: 1.5,2,3\r\n", None),
        ("Server-Load: \u{fffd}\r\n", None),
    ];
    for (field, expected) in cases {
        let text = format!("HTTP/1.1 200 OK\r\n{field}Content-Length: 0\r\n\r\n");
        let Ok(Parsed::Complete(head, _)) = Head::parse(text.as_bytes(), false) else {
            panic!("{field:?} is a head");
        };
        assert_eq!(headers::read_load(&head), expected, "{field:?}");
    }
}

#[test]
fn platform_formats_rates_of_vms_are_read_as_written() {
    assert_eq!(vm_rate::read(&vm_rate::write(13.25)), Some(13.25));
    for invalid in ["", "{}", "{\"requests_per_second\":-1}", "[]", "13"] {
        assert_eq!(vm_rate::read(invalid.as_bytes()), None, "{invalid}");
    }
}
