//! Runs `check-routes` and checks its exit codes and output, by which a script decides whether a
//! configuration is sent.

use serde_json::json;

use crate::command_line::{Case, TestDir, check};
use crate::platform::config_check::valid;

const CASES: &[Case] = &[
    Case {
        name: "nothing to report",
        args: &["check-routes", "valid.json"],
        code: 0,
        expected_output: "no finding\n",
    },
    Case {
        name: "only differences",
        args: &["check-routes", "newer.json", "--in-force", "valid.json"],
        code: 0,
        expected_output: "difference changed: route r1: priority changed\n",
    },
    Case {
        name: "only differences, as JSON",
        args: &[
            "check-routes",
            "newer.json",
            "--in-force",
            "valid.json",
            "--format",
            "json",
        ],
        code: 0,
        expected_output: r#"{
  "findings": [
    {
      "severity": "difference",
      "kind": "changed",
      "object": "route r1",
      "message": "priority changed"
    }
  ]
}
"#,
    },
    Case {
        name: "a warning",
        args: &["check-routes", "valid.json", "--regions", "d1=east,d2=west"],
        code: 11,
        expected_output: "warning no-domain-in-regions: route r2: no failure domain is in its \
                          regions (north); correct them\n",
    },
    Case {
        name: "an older version",
        args: &["check-routes", "valid.json", "--in-force", "newer.json"],
        code: 3,
        expected_output: "error version-not-higher: document: version 7 is not higher than 8",
    },
    Case {
        name: "a document that is not JSON",
        args: &["check-routes", "broken.json", "--format", "json"],
        code: 3,
        expected_output: r#""kind": "unreadable""#,
    },
    Case {
        name: "a document without a target, and no version in force",
        args: &["check-routes", "no-target.json", "--in-force", "none.json"],
        code: 3,
        expected_output: "error unreadable: file no-target.json: cannot be read: route r1 needs \
                          exactly one of backend, trafficSplit, gather\n\
                          error unreadable: file none.json: cannot be read: ",
    },
    Case {
        name: "a malformed region",
        args: &["check-routes", "valid.json", "--regions", "north"],
        code: 2,
        expected_output: "use DOMAIN=REGION",
    },
];

#[test]
fn check_routes_reports_findings_by_output_and_exit_code() {
    let dir = TestDir::new("check-routes");
    let mut newer = valid();
    newer["version"] = json!(8);
    newer["routes"][0]["priority"] = json!(3);
    let mut no_target = valid();
    no_target["routes"][0]["backend"] = json!(null);
    dir.write("valid.json", &valid().to_string());
    dir.write("newer.json", &newer.to_string());
    dir.write("no-target.json", &no_target.to_string());
    dir.write("broken.json", "{");
    check(&dir, "127.0.0.1:9", CASES);
}
