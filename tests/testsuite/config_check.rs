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

/// A change of the valid document, with the only finding that it causes.
struct Case {
    kind: Kind,
    object: &'static str,
    /// Changed value, by its JSON pointer.
    change: (&'static str, Value),
}

fn cases() -> Vec<Case> {
    let case = |kind, object, pointer, value| Case {
        kind,
        object,
        change: (pointer, value),
    };
    let second_s2 = json!([{"name": "s1", "maxConns": 8}, {"name": "s2", "maxConns": 8},
                           {"name": "s2", "maxConns": 9}]);
    let third_service = json!([{"name": "s1", "maxConns": 8}, {"name": "s2", "maxConns": 8},
                               {"name": "s3", "maxConns": 8}]);
    let no_weights = json!([{"backend": "s1", "weight": 0.0}]);
    let no_weight = json!([{"backend": "s1", "weight": 1}, {"backend": "s2", "weight": 0}]);
    vec![
        case(Kind::RepeatedService, "service s2", "/services", second_s2),
        case(
            Kind::UnknownService,
            "route r1",
            "/routes/0/backend",
            json!("s9"),
        ),
        case(Kind::EmptyGather, "route r2", "/routes/1/gather", json!([])),
        case(
            Kind::RepeatedShard,
            "route r2",
            "/routes/1/gather",
            json!(["s1", "s2", "s2"]),
        ),
        case(
            Kind::CoverageOutOfRange,
            "route r2",
            "/routes/1/minCoverage",
            json!(1.01),
        ),
        case(
            Kind::CoverageOutOfRange,
            "route r2",
            "/routes/1/minCoverage",
            json!(-0.1),
        ),
        case(Kind::NoRecords, "route r2", "/routes/1/topK", json!(0)),
        case(Kind::NoAttempts, "route r3", "/routes/2/attempts", json!(0)),
        case(
            Kind::SplitWithoutWeight,
            "route r3",
            "/routes/2/trafficSplit",
            no_weights,
        ),
        case(
            Kind::RepeatedPrefix,
            "route r2",
            "/routes/1/prefix",
            json!("/a/"),
        ),
        case(
            Kind::MalformedPrefix,
            "route r1",
            "/routes/0/prefix",
            json!("/a"),
        ),
        case(
            Kind::MalformedPrefix,
            "route r1",
            "/routes/0/prefix",
            json!("a/"),
        ),
        case(
            Kind::PartWithoutWeight,
            "route r3",
            "/routes/2/trafficSplit",
            no_weight,
        ),
        case(
            Kind::UnusedService,
            "service s3",
            "/services",
            third_service,
        ),
        case(
            Kind::TenantWithoutKeys,
            "tenant t2",
            "/tenants/1/apiKeys",
            json!([]),
        ),
        case(
            Kind::NoDomainInRegions,
            "route r2",
            "/routes/1/allowedRegions",
            json!(["east"]),
        ),
        case(
            Kind::NoDomainInRegions,
            "tenant t2",
            "/tenants/1/allowedRegions",
            json!(["east"]),
        ),
        case(
            Kind::TargetOverTimeout,
            "route r1",
            "/routes/0/targetLatencyMs",
            json!(901),
        ),
        case(
            Kind::BurstWithoutRate,
            "tenant t1",
            "/tenants/0/ratePerS",
            json!(0),
        ),
        case(Kind::NoBody, "limits", "/limits/maxBodyBytes", json!(0)),
        case(
            Kind::WarmUpWithoutSlowStart,
            "service s1",
            "/services/0/slowStartS",
            json!(0),
        ),
    ]
}

#[test]
fn config_check_reports_each_fault_of_a_document() {
    assert_eq!(check(&valid(), None), []);
    for case in cases() {
        let mut document = valid();
        let (pointer, value) = &case.change;
        *document.pointer_mut(pointer).unwrap() = value.clone();
        let findings = check(&document, None);
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
    change: (&'static str, Value),
    expected: &'static [(Kind, &'static str, &'static str)],
}

#[test]
fn config_check_lists_differences_and_keys_only_by_number() {
    let renamed = json!([{"name": "t1", "apiKeys": ["key-one", "key-new", "key-newer"]},
                         {"name": "t3", "apiKeys": ["key-three"]}]);
    let cases = [
        Difference {
            change: ("/version", json!(7)),
            expected: &[(
                Kind::VersionNotHigher,
                "document",
                "version 7 is not higher than 7, which is in force; raise it",
            )],
        },
        Difference {
            change: ("/version", json!(8)),
            expected: &[],
        },
        Difference {
            change: ("/routes/0/timeoutMs", json!(800)),
            expected: &[(Kind::Changed, "route r1", "timeoutMs changed")],
        },
        Difference {
            change: ("/routes/0/name", json!("r9")),
            expected: &[
                (Kind::Added, "route r9", "added"),
                (Kind::Removed, "route r1", "removed"),
            ],
        },
        Difference {
            change: ("/services/1/maxConns", json!(9)),
            expected: &[(Kind::Changed, "service s2", "maxConns changed")],
        },
        Difference {
            change: ("/limits/maxBodyBytes", json!(9)),
            expected: &[(Kind::Changed, "limits", "changed")],
        },
        Difference {
            change: ("/tenants/1/apiKeys", json!(["key-other"])),
            expected: &[(Kind::Changed, "tenant t2", "keys added: 1, keys removed: 1")],
        },
        Difference {
            change: ("/tenants", renamed),
            expected: &[
                (
                    Kind::Changed,
                    "tenant t1",
                    "ratePerS or burst changed, keys added: 2",
                ),
                (Kind::Added, "tenant t3", "added"),
                (Kind::Removed, "tenant t2", "removed"),
            ],
        },
    ];
    for case in cases {
        let mut document = valid();
        document["version"] = json!(8);
        let (pointer, value) = &case.change;
        *document.pointer_mut(pointer).unwrap() = value.clone();
        let findings = check(&document, Some(&valid()));
        let found = findings.iter().map(|finding| {
            let (object, message) = (finding.object.as_str(), finding.message.as_str());
            (finding.kind, object, message)
        });
        assert_eq!(found.collect::<Vec<_>>(), case.expected, "{pointer}");
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
