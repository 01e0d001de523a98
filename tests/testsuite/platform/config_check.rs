//! Guards against a configuration that is sent although a part of it cannot work: each kind of
//! finding is reported, and no key or digest is shown.

use geraniummount::core::config_check::{self, Finding, Kind};
use geraniummount::core::tenant::KeyDigest;
use geraniummount::platform::document;
use serde_json::{Value, json};

/// A document without findings.
pub fn valid() -> Value {
    json!({
        "version": 7,
        "routes": [
            {"name": "r1", "host": "h", "prefix": "/a/", "type": "idempotent", "timeoutMs": 900,
             "targetLatencyMs": 300, "attempts": 2, "backend": "s1"},
            {"name": "r2", "host": "h", "prefix": "/b/", "type": "idempotent", "timeoutMs": 900,
             "targetLatencyMs": 300, "attempts": 2, "gather": ["s1", "s2"], "topK": 3,
             "minCoverage": 0.5, "allowedRegions": ["north"]},
            {"name": "r3", "host": "h", "prefix": "/c/", "type": "non_idempotent", "timeoutMs": 900,
             "targetLatencyMs": 300, "attempts": 1,
             "trafficSplit": [{"backend": "s1", "weight": 3}, {"backend": "s2", "weight": 1}]},
        ],
        "services": [
            {"name": "s1", "maxConns": 8, "slowStartS": 5, "warmupPerS": 3},
            {"name": "s2", "maxConns": 8},
        ],
        "limits": {"maxHeaderBytes": 2048, "maxBodyBytes": 4096, "headerTimeoutMs": 1000,
                   "idleTimeoutMs": 9000},
        "tenants": [
            {"name": "t1", "apiKeys": ["key-one"], "ratePerS": 5, "burst": 5},
            {"name": "t2", "apiKeys": ["key-two"], "allowedRegions": ["north", "south"]},
        ],
    })
}

fn check(document: &Value, in_force: Option<&Value>) -> Vec<Finding> {
    let read = |value: &Value| document::read_candidate(value.to_string().as_bytes()).unwrap();
    let in_force = in_force.map(|value| read(value).table);
    let regions = [("d1".to_string(), "north".to_string())];
    config_check::check(&read(document), in_force.as_ref(), &regions)
}

/// A change of the valid document, with the finding that it causes.
struct Case {
    kind: Kind,
    object: &'static str,
    /// Changed value in JSON, by its pointer.
    change: (&'static str, &'static str),
}

const CASES: &[Case] = &[
    Case {
        kind: Kind::RepeatedService,
        object: "service s2",
        change: (
            "/services",
            r#"[{"name": "s1", "maxConns": 8},
            {"name": "s2", "maxConns": 8},
            {"name": "s2", "maxConns": 9}]"#,
        ),
    },
    Case {
        kind: Kind::UnknownService,
        object: "route r1",
        change: ("/routes/0/backend", r#""s9""#),
    },
    Case {
        kind: Kind::EmptyGather,
        object: "route r2",
        change: ("/routes/1/gather", r#"[]"#),
    },
    Case {
        kind: Kind::RepeatedShard,
        object: "route r2",
        change: ("/routes/1/gather", r#"["s1", "s2", "s2"]"#),
    },
    Case {
        kind: Kind::CoverageOutOfRange,
        object: "route r2",
        change: ("/routes/1/minCoverage", r#"1.01"#),
    },
    Case {
        kind: Kind::CoverageOutOfRange,
        object: "route r2",
        change: ("/routes/1/minCoverage", r#"-0.1"#),
    },
    Case {
        kind: Kind::NoRecords,
        object: "route r2",
        change: ("/routes/1/topK", r#"0"#),
    },
    Case {
        kind: Kind::NoAttempts,
        object: "route r3",
        change: ("/routes/2/attempts", r#"0"#),
    },
    Case {
        kind: Kind::SplitWithoutWeight,
        object: "route r3",
        change: (
            "/routes/2/trafficSplit",
            r#"[{"backend": "s1", "weight": 0}]"#,
        ),
    },
    Case {
        kind: Kind::RepeatedPrefix,
        object: "route r2",
        change: ("/routes/1/prefix", r#""/a/""#),
    },
    Case {
        kind: Kind::MalformedPrefix,
        object: "route r1",
        change: ("/routes/0/prefix", r#""/a""#),
    },
    Case {
        kind: Kind::MalformedPrefix,
        object: "route r1",
        change: ("/routes/0/prefix", r#""a/""#),
    },
    Case {
        kind: Kind::PartWithoutWeight,
        object: "route r3",
        change: (
            "/routes/2/trafficSplit",
            r#"[{"backend": "s1", "weight": 1}, {"backend": "s2", "weight": 0}]"#,
        ),
    },
    Case {
        kind: Kind::UnusedService,
        object: "service s3",
        change: (
            "/services",
            r#"[{"name": "s1", "maxConns": 8},
            {"name": "s2", "maxConns": 8},
            {"name": "s3", "maxConns": 8}]"#,
        ),
    },
    Case {
        kind: Kind::TenantWithoutKeys,
        object: "tenant t2",
        change: ("/tenants/1/apiKeys", r#"[]"#),
    },
    Case {
        kind: Kind::NoDomainInRegions,
        object: "route r2",
        change: ("/routes/1/allowedRegions", r#"["east"]"#),
    },
    Case {
        kind: Kind::NoDomainInRegions,
        object: "tenant t2",
        change: ("/tenants/1/allowedRegions", r#"["east"]"#),
    },
    Case {
        kind: Kind::TargetOverTimeout,
        object: "route r1",
        change: ("/routes/0/targetLatencyMs", r#"901"#),
    },
    Case {
        kind: Kind::BurstWithoutRate,
        object: "tenant t1",
        change: ("/tenants/0/ratePerS", r#"0"#),
    },
    Case {
        kind: Kind::NoBody,
        object: "limits",
        change: ("/limits/maxBodyBytes", r#"0"#),
    },
    Case {
        kind: Kind::WarmUpWithoutSlowStart,
        object: "service s1",
        change: ("/services/0/slowStartS", r#"0"#),
    },
];

/// Returns the valid document with one value replaced.
fn changed(version: u64, (pointer, value): (&str, &str)) -> Value {
    let mut document = valid();
    document["version"] = json!(version);
    *document.pointer_mut(pointer).unwrap() = serde_json::from_str(value).unwrap();
    document
}

#[test]
fn config_check_reports_each_fault_of_a_document() {
    assert_eq!(check(&valid(), None), []);
    for case in CASES {
        let findings = check(&changed(7, case.change), None);
        let is_expected =
            |finding: &Finding| finding.kind == case.kind && finding.object == case.object;
        assert!(
            findings.iter().any(is_expected),
            "{:?}: {findings:?}",
            case.kind
        );
        let worst = findings.iter().map(|finding| finding.kind.severity()).min();
        assert_eq!(worst, Some(case.kind.severity()), "{findings:?}");
        // A split without any weight also has parts without weight; its service is used elsewhere.
        let others = findings.iter().filter(|finding| !is_expected(finding));
        let others: Vec<Kind> = others.map(|finding| finding.kind).collect();
        assert!(
            others.iter().all(|kind| *kind == Kind::PartWithoutWeight),
            "{:?}: {findings:?}",
            case.kind
        );
    }
}

#[test]
fn config_check_of_a_tenant_without_keys_depends_on_anonymous_routes() {
    let mut document = valid();
    document["tenants"][1]["apiKeys"] = json!([]);
    document["routes"][0]["allowAnonymous"] = json!(true);
    assert_eq!(check(&document, None), []);
}

/// A change to the version in force, with the findings that it causes.
struct Difference {
    change: (&'static str, &'static str),
    expected: &'static [(Kind, &'static str, &'static str)],
}

const DIFFERENCES: &[Difference] = &[
    Difference {
        change: ("/version", r#"7"#),
        expected: &[(
            Kind::VersionNotHigher,
            "document",
            "version 7 is not higher than 7, which is in force; raise it",
        )],
    },
    Difference {
        change: ("/version", r#"8"#),
        expected: &[],
    },
    Difference {
        change: ("/routes/0/timeoutMs", r#"800"#),
        expected: &[(Kind::Changed, "route r1", "timeout changed")],
    },
    Difference {
        change: ("/routes/0/name", r#""r9""#),
        expected: &[
            (Kind::Added, "route r9", "added"),
            (Kind::Removed, "route r1", "removed"),
        ],
    },
    Difference {
        change: ("/services/1/maxConns", r#"9"#),
        expected: &[(Kind::Changed, "service s2", "connections changed")],
    },
    Difference {
        change: ("/limits/maxBodyBytes", r#"9"#),
        expected: &[(Kind::Changed, "limits", "changed")],
    },
    Difference {
        change: ("/tenants/1/apiKeys", r#"["key-other"]"#),
        expected: &[(Kind::Changed, "tenant t2", "keys added: 1, keys removed: 1")],
    },
    Difference {
        change: (
            "/tenants",
            r#"[{"name": "t1", "apiKeys": ["key-one", "key-new", "key-newer"]},
            {"name": "t3", "apiKeys": ["key-three"]}]"#,
        ),
        expected: &[
            (
                Kind::Changed,
                "tenant t1",
                "rate or burst changed, keys added: 2",
            ),
            (Kind::Added, "tenant t3", "added"),
            (Kind::Removed, "tenant t2", "removed"),
        ],
    },
];

#[test]
fn config_check_lists_differences_and_keys_only_by_number() {
    for case in DIFFERENCES {
        let findings = check(&changed(8, case.change), Some(&valid()));
        let found = findings.iter().map(|finding| {
            let (object, message) = (finding.object.as_str(), finding.message.as_str());
            (finding.kind, object, message)
        });
        assert_eq!(
            found.collect::<Vec<_>>(),
            case.expected,
            "{:?}",
            case.change
        );
        let shown = format!("{findings:?}");
        for key in ["key-one", "key-two", "key-new", "key-other"] {
            let digest = KeyDigest::of(key.as_bytes()).to_string();
            assert!(!shown.contains(key) && !shown.contains(&digest), "{shown}");
        }
    }
}

#[test]
fn config_check_of_malformed_keys_does_not_show_them() {
    let malformed = [
        json!("key-secret"),
        json!({"key-secret": "key-secret"}),
        json!(["key-secret", 5]),
        json!(["key-other", ["key-secret"]]),
        json!([73_465_109]),
    ];
    for keys in malformed {
        let mut document = valid();
        document["tenants"][0]["apiKeys"] = keys;
        let read = document::read_candidate(document.to_string().as_bytes());
        let error = read.unwrap_err().to_string();
        let shows_key = error.contains("key-secret") || error.contains("73465109");
        assert!(!shows_key, "{error}");
        assert!(error.contains("apiKeys"), "{error}");
    }
}

/// Guards against differences between equal documents whose routes share a name.
#[test]
fn config_check_compares_routes_of_the_same_name_in_order() {
    let mut document = valid();
    document["routes"][2]["name"] = json!("r1");
    let mut next = document.clone();
    next["version"] = json!(8);
    let findings = check(&next, Some(&document));
    assert!(findings.is_empty(), "{findings:?}");
}

/// Guards against keys in errors, which gateways log, of a document that lists keys as tenants.
#[test]
fn config_check_of_tenants_that_are_keys_does_not_show_them() {
    for tenants in [json!(["key-secret"]), json!("key-secret")] {
        let mut document = valid();
        document["tenants"] = tenants;
        let error = document::read(document.to_string().as_bytes()).unwrap_err();
        assert!(!error.to_string().contains("key-secret"), "{error}");
    }
}
