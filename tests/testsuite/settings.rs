//! Checks the parsing of settings files. Each fault is reported with its line, its key, the value
//! found and the values allowed.

use std::time::Duration;

use geraniummount::core::placement::Policy;
use geraniummount::ops::settings::{Gateway as GatewaySettings, Settings};

const GOOD: &str = "\
[node]
name = a1
failure_domain = arusha-a
peer_listen = 10.0.0.5:7000
first_peers = 10.0.0.6:7000, 10.0.0.7:7000

[caller]
listen = 0.0.0.0:8080

[operator]
listen = 127.0.0.1:9090

[platform]
address = 10.0.0.1:2000
";

/// A replacement in the valid file, and a text that the reported faults must contain.
struct Case {
    name: &'static str,
    replace: &'static str,
    with: &'static str,
    fault: &'static str,
}

const CASES: &[Case] = &[
    Case {
        name: "unknown section",
        replace: "[platform]",
        with: "[extra]\nlisten = 1\n[platform]",
        fault: "file.ini:13: [extra]: found an unknown section; allowed: one of the sections \
                node, caller, operator, platform, limits, log",
    },
    Case {
        name: "unknown key",
        replace: "[caller]",
        with: "[caller]\nport = 80",
        fault: "file.ini:8: [caller] port: found an unknown key; allowed: one of the keys \
                listen, spare_connections",
    },
    Case {
        name: "key given twice",
        replace: "name = a1",
        with: "name = a1\nname = a2",
        fault: "file.ini:3: [node] name: found the key a second time; allowed: each key once",
    },
    Case {
        name: "missing key",
        replace: "name = a1\n",
        with: "",
        fault: "file.ini: [node] name: found no such key; allowed: a name",
    },
    Case {
        name: "missing section",
        replace: "[platform]\naddress = 10.0.0.1:2000\n",
        with: "",
        fault: "file.ini: [platform] address: found no such key; allowed: an IP address and port",
    },
    Case {
        name: "name with a space",
        replace: "name = a1",
        with: "name = a 1",
        fault: "file.ini:2: [node] name: found 'a 1'; allowed: 1 to 63 of a-z, 0-9 and `-`, \
                starting with a letter or digit",
    },
    Case {
        name: "host name in place of an address",
        replace: "10.0.0.6:7000,",
        with: "peer-a2:7000,",
        fault: "file.ini:5: [node] first_peers: found 'peer-a2:7000'; allowed: an IP address",
    },
    Case {
        name: "unspecified peer address without peer_advertise",
        replace: "peer_listen = 10.0.0.5:7000",
        with: "peer_listen = 0.0.0.0:7000",
        fault: "file.ini:4: [node] peer_listen: found '0.0.0.0:7000'; allowed: an address that \
                peers can dial, or one in peer_advertise",
    },
    Case {
        name: "number out of range",
        replace: "[caller]",
        with: "[caller]\nspare_connections = 0",
        fault: "file.ini:8: [caller] spare_connections: found '0'; allowed: a whole number from 1 to 1024",
    },
    Case {
        name: "unknown log level",
        replace: "[caller]",
        with: "[log]\nlevel = loud\n[caller]",
        fault: "file.ini:8: [log] level: found 'loud'; allowed: one of off, error, warn, info, \
                debug, trace",
    },
    Case {
        name: "line that is neither a section, a key nor a comment",
        replace: "[caller]",
        with: "what is this\n[caller]",
        fault: "file.ini:7: (line): found 'what is this'; allowed: '[section]', 'key = value' or \
                a comment",
    },
    Case {
        name: "section without a closing bracket",
        replace: "[caller]",
        with: "[caller",
        fault: "file.ini:7: (line): found '[caller'",
    },
    Case {
        name: "one address for two listeners",
        replace: "0.0.0.0:8080",
        with: "127.0.0.1:9090",
        fault: "[operator] listen: found 127.0.0.1:9090, which [caller] listen has too",
    },
];

#[test]
fn each_fault_names_its_line_and_key() {
    for case in CASES {
        assert!(GOOD.contains(case.replace), "{}", case.name);
        let text = GOOD.replacen(case.replace, case.with, 1);
        let faults = Settings::parse("file.ini", &text).expect_err(case.name);
        let text = faults.to_string();
        assert!(text.contains(case.fault), "{}: {text}", case.name);
    }
}

#[test]
fn all_faults_are_reported_together() {
    let text = "[node]\nname = ?\n[caller]\nlisten = x\n[log]\nlevel = loud\n";
    let faults = Settings::parse("file.ini", text).expect_err("the settings are invalid");
    let keys: Vec<&str> = faults.faults.iter().map(|f| f.key.as_str()).collect();
    let expected = [
        "[node] failure_domain",
        "[node] peer_listen",
        "[operator] listen",
        "[platform] address",
        "[node] name",
        "[caller] listen",
        "[log] level",
    ];
    assert_eq!(keys, expected);
}

#[test]
fn good_settings_take_defaults() {
    let settings = Settings::parse("file.ini", GOOD).expect("the settings are valid");
    assert_eq!(settings.node.peer_advertise, settings.node.peer_listen);
    assert_eq!(settings.node.first_peers.len(), 2);
    assert_eq!(settings.platform.prefix, "geraniummount");
    assert_eq!(settings.limits.drain, Duration::from_secs(10));
}

const GATEWAY: &str = "\
[gateway]
name = vm-1
failure_domain = eu-a
callers = 127.0.0.1:8080
ready = 127.0.0.1:8081

[platform]
address = 10.0.0.1:2000
";

/// Guards against a setting that is read under another name, in another unit or not at all.
#[test]
fn settings_of_a_gateway_contain_its_bounds_and_limits() {
    let text = format!(
        "{GATEWAY}[bounds]\nrevoke_ms = 4000\nevacuate_ms = 2500\nquota_window_s = 2.5\n\
         quota_over = 0.2\nquota_slack = 30\ncold_over = 1.25\ncold_slack = 7\n\
         [limits]\nmemory_mb = 112\nmax_fds = 1024\n"
    );
    let text = text.replace(
        "failure_domain = eu-a",
        "failure_domain = eu-a\nplacement = cost\nregions = us-a=us, eu-b=eu,eu-a=eu,",
    );
    let options = GatewaySettings::parse("file.ini", &text).unwrap().options;
    let regions = [("eu-a", "eu"), ("eu-b", "eu"), ("us-a", "us")];
    let regions = regions.map(|(domain, region)| (domain.to_string(), region.to_string()));
    assert_eq!(options.regions, regions);
    assert_eq!(options.placement, Policy::Cost);
    assert_eq!(options.revoke, Some(Duration::from_secs(4)));
    assert_eq!(options.evacuate, Duration::from_millis(2_500));
    assert_eq!(options.quota_window, Duration::from_millis(2_500));
    let quota = options.quota_tolerance;
    assert_eq!((quota.share, quota.requests), (0.2, 30.0));
    let cold = options.cold_tolerance;
    assert_eq!((cold.share, cold.requests), (0.25, 7.0));
    assert_eq!(options.memory_bytes, Some(112 * 1024 * 1024));
    assert_eq!(options.max_descriptors, Some(1_024));
}

/// Guards against features that are on although no setting calls for them.
#[test]
fn settings_of_a_gateway_without_them_leave_the_defaults() {
    let options = GatewaySettings::parse("file.ini", GATEWAY).unwrap().options;
    assert_eq!(options.placement, Policy::Latency);
    assert!(options.regions.is_empty());
    assert_eq!(options.revoke, None);
    assert_eq!(options.evacuate, Duration::from_secs(5));
    assert_eq!(options.quota_window, Duration::from_secs(5));
    let quota = options.quota_tolerance;
    assert_eq!((quota.share, quota.requests), (0.1, 20.0));
    let cold = options.cold_tolerance;
    assert_eq!((cold.share, cold.requests), (0.5, 5.0));
    assert_eq!(
        (options.memory_bytes, options.max_descriptors),
        (None, None)
    );
}

/// Guards against values out of range that are taken over, or reported without their key.
#[test]
fn settings_of_a_gateway_out_of_range_are_faults() {
    const FAULTS: &[(&str, &str, &str)] = &[
        ("gateway", "regions", "eu-a"),
        ("bounds", "revoke_ms", "0"),
        ("bounds", "evacuate_ms", "-1"),
        ("bounds", "quota_window_s", "0"),
        ("bounds", "quota_over", "nan"),
        ("bounds", "quota_slack", "-1"),
        ("bounds", "cold_over", "0.5"),
        ("bounds", "cold_slack", "many"),
        ("limits", "memory_mb", "1"),
        ("limits", "max_fds", "3"),
    ];
    for (section, key, value) in FAULTS {
        let line = format!("{key} = {value}\n");
        let text = match *section {
            "gateway" => GATEWAY.replace("[platform]", &format!("{line}[platform]")),
            _ => format!("{GATEWAY}[{section}]\n{line}"),
        };
        let faults = GatewaySettings::parse("file.ini", &text)
            .unwrap_err()
            .to_string();
        let wanted = format!("[{section}] {key}: found '{value}'");
        assert!(faults.contains(&wanted), "{faults}");
    }
}
