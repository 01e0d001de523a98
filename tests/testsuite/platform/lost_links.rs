//! A VM that has lost its links to all leaves is served by the VMs that reach them.

use std::time::Duration;

use geraniummount_test_support::proxy::{Link, Proxy};

use super::deployment::{Deployment, hang, refuse};

/// Time after which a VM without links has to serve as well as the others.
const CONTACT: Duration = Duration::from_secs(2);

/// Number of requests that are counted.
const COUNTED_REQUESTS: usize = 40;

/// Idle time after which a gateway has closed its connections to leaves.
const IDLE_TIME: Duration = Duration::from_millis(800);

/// How a VM loses its links.
struct Case {
    name: &'static str,
    change: fn(&mut Link),
    /// Whether open connections are closed, of all VMs.
    closes_connections: bool,
    /// Whether the VM gets no requests for a while, so that its connections are closed as idle.
    is_idle: bool,
}

impl Case {
    /// Cuts the links of a VM.
    fn cut(&self, deployment: &Deployment, vm: usize) {
        deployment.change_links(vm, self.change);
        if self.closes_connections {
            deployment.proxies.iter().for_each(Proxy::close_connections);
        }
        if self.is_idle {
            std::thread::sleep(IDLE_TIME);
        }
    }
}

const CASES: &[Case] = &[
    Case {
        name: "connections hang",
        change: hang,
        closes_connections: false,
        is_idle: false,
    },
    Case {
        name: "connections are reset and new ones refused",
        change: refuse,
        closes_connections: true,
        is_idle: false,
    },
    Case {
        name: "open connections live on until they are idle, and new ones are refused",
        change: refuse,
        closes_connections: false,
        is_idle: true,
    },
];

#[test]
fn platform_lost_links_are_not_counted_as_crashes_of_leaves() {
    for case in CASES {
        let deployment = Deployment::start(&["near", "near", "far"]);
        case.cut(&deployment, 0);
        deployment.send_for(0, CONTACT);
        let listed = deployment.vms[0].store.keys("quarantine/");
        assert!(listed.is_empty(), "{}: {listed:?}", case.name);
    }
}

#[test]
fn platform_lost_links_to_leaves_do_not_leave_callers_unserved() {
    for case in CASES {
        let deployment = Deployment::start(&["near", "near", "far"]);
        case.cut(&deployment, 0);
        deployment.send_for(0, CONTACT);
        let own = deployment.count_served(0, COUNTED_REQUESTS);
        let others = deployment.count_served(1, COUNTED_REQUESTS);
        let is_enough = own * 3 >= others * 2;
        assert!(
            is_enough,
            "{}: {own} served, {others} by another VM",
            case.name
        );
    }
}
