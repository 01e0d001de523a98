//! Guards against requests that are handled by older routes than an earlier one: a VM passes requests
//! to another VM with newer routes, and then handles some by its own again.

use geraniummount::core::delegation::{Decline, Handler, Links, Routes, Unable};
use geraniummount::core::key_lease::Keys;
use geraniummount::core::route::{Limits, Table};
use proptest::prelude::*;

use crate::seeded::config;

fn table(version: u64) -> Table {
    Table::new(version, Limits::default(), Vec::new(), Vec::new())
}

/// Returns routes of which a version is in force, and one has been seen.
fn routes(in_force: Option<u64>, seen: u64) -> Routes {
    let mut routes = Routes::default();
    if let Some(version) = in_force {
        assert!(routes.apply(table(version)));
    }
    routes.on_seen(seen);
    routes
}

/// The decision, without the routes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Decision {
    Own,
    OwnIfConnected,
    Peer,
    Nobody(Unable),
}

fn decision(handler: &Handler) -> Decision {
    match handler {
        Handler::Own(_) => Decision::Own,
        Handler::OwnIfConnected(_) => Decision::OwnIfConnected,
        Handler::Peer { .. } => Decision::Peer,
        Handler::Nobody(unable) => Decision::Nobody(*unable),
    }
}

struct Case {
    name: &'static str,
    in_force: Option<u64>,
    seen: u64,
    links: Links,
    keys: Keys,
    has_peers: bool,
    expected: Decision,
}

const CASES: &[Case] = &[
    Case {
        name: "nothing is known yet",
        in_force: None,
        seen: 0,
        links: Links::Working,
        keys: Keys::Confirmed,
        has_peers: true,
        expected: Decision::Nobody(Unable::NoRoutes),
    },
    Case {
        name: "all is well",
        in_force: Some(3),
        seen: 0,
        links: Links::Working,
        keys: Keys::Confirmed,
        has_peers: true,
        expected: Decision::Own,
    },
    Case {
        name: "the own routes are as new as those seen",
        in_force: Some(3),
        seen: 3,
        links: Links::Working,
        keys: Keys::Confirmed,
        has_peers: true,
        expected: Decision::Own,
    },
    Case {
        name: "no leaf is reached",
        in_force: Some(3),
        seen: 2,
        links: Links::Lost,
        keys: Keys::Confirmed,
        has_peers: true,
        expected: Decision::Peer,
    },
    Case {
        name: "no leaf is reached, and no other VM is known",
        in_force: Some(3),
        seen: 0,
        links: Links::Lost,
        keys: Keys::Confirmed,
        has_peers: false,
        expected: Decision::Own,
    },
    Case {
        name: "open connections work",
        in_force: Some(3),
        seen: 3,
        links: Links::OnlyOpenConnections,
        keys: Keys::Confirmed,
        has_peers: true,
        expected: Decision::OwnIfConnected,
    },
    Case {
        name: "open connections work, and newer routes have been seen",
        in_force: Some(3),
        seen: 4,
        links: Links::OnlyOpenConnections,
        keys: Keys::Confirmed,
        has_peers: true,
        expected: Decision::Peer,
    },
    Case {
        name: "the links are back, and newer routes have been seen",
        in_force: Some(3),
        seen: 4,
        links: Links::Working,
        keys: Keys::Confirmed,
        has_peers: true,
        expected: Decision::Peer,
    },
    Case {
        name: "the links are back, newer routes have been seen, and no other VM is known any more",
        in_force: Some(3),
        seen: 4,
        links: Links::Working,
        keys: Keys::Confirmed,
        has_peers: false,
        expected: Decision::Nobody(Unable::Outdated),
    },
    Case {
        name: "no leaf is reached, newer routes have been seen, and no other VM is known any more",
        in_force: Some(3),
        seen: 4,
        links: Links::Lost,
        keys: Keys::Confirmed,
        has_peers: false,
        expected: Decision::Nobody(Unable::Outdated),
    },
    Case {
        name: "the key can't be confirmed",
        in_force: Some(3),
        seen: 3,
        links: Links::Working,
        keys: Keys::Unconfirmed,
        has_peers: true,
        expected: Decision::Peer,
    },
    Case {
        name: "the key can't be confirmed, and open connections work",
        in_force: Some(3),
        seen: 3,
        links: Links::OnlyOpenConnections,
        keys: Keys::Unconfirmed,
        has_peers: true,
        expected: Decision::Peer,
    },
    Case {
        name: "the key can't be confirmed, and no other VM is known",
        in_force: Some(3),
        seen: 3,
        links: Links::Lost,
        keys: Keys::Unconfirmed,
        has_peers: false,
        expected: Decision::Nobody(Unable::KeysUnconfirmed),
    },
];

#[test]
fn delegation_routes_decide_who_handles_a_request() {
    for case in CASES {
        let routes = routes(case.in_force, case.seen);
        let handler = routes.handler(case.links, case.keys, case.has_peers);
        assert_eq!(decision(&handler), case.expected, "{}", case.name);
        if let Handler::Peer { min_version, table } = handler {
            let expected = case.seen.max(case.in_force.unwrap_or_default());
            assert_eq!(min_version, expected, "{}", case.name);
            assert_eq!(table.is_some(), !routes.is_outdated(), "{}", case.name);
        }
    }
}

#[test]
fn delegation_routes_older_than_required_or_seen_serve_no_other_vm() {
    struct ForPeer {
        in_force: Option<u64>,
        seen: u64,
        min_version: u64,
        keys: Keys,
        expected: Result<u64, Decline>,
    }
    const CASES: &[ForPeer] = &[
        ForPeer {
            in_force: None,
            seen: 0,
            min_version: 0,
            keys: Keys::Confirmed,
            expected: Err(Decline::NotReady),
        },
        ForPeer {
            in_force: Some(3),
            seen: 0,
            min_version: 3,
            keys: Keys::Confirmed,
            expected: Ok(3),
        },
        ForPeer {
            in_force: Some(3),
            seen: 0,
            min_version: 4,
            keys: Keys::Confirmed,
            expected: Err(Decline::Outdated),
        },
        ForPeer {
            in_force: Some(3),
            seen: 4,
            min_version: 2,
            keys: Keys::Confirmed,
            expected: Err(Decline::Outdated),
        },
        ForPeer {
            in_force: Some(3),
            seen: 3,
            min_version: 3,
            keys: Keys::Unconfirmed,
            expected: Err(Decline::KeysUnconfirmed),
        },
    ];
    for case in CASES {
        let routes = routes(case.in_force, case.seen);
        let version = routes.for_peer(case.min_version, case.keys);
        assert_eq!(version.map(|table| table.version), case.expected);
    }
}

#[test]
fn delegation_routes_do_not_limit_requests_below_the_usual_while_newer_ones_are_seen() {
    let small = Limits {
        max_body_bytes: 10,
        ..Limits::default()
    };
    let mut routes = Routes::default();
    routes.apply(Table::new(3, small, Vec::new(), Vec::new()));
    assert_eq!(routes.limits(), small);
    routes.on_seen(4);
    assert_eq!(routes.limits(), Limits::default());
}

/// What happens to a VM.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The store delivers a version, which may come late.
    Applied(u64),
    /// Another VM acknowledges or answers a request, with its version.
    Seen(u64),
    LinksChanged(Links),
    PeersChanged(bool),
    KeysChanged(Keys),
    /// A request of a caller arrives.
    Arrived,
    /// Another VM passes a request on, and requires a version.
    PassedOn(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let links = prop_oneof![
        Just(Links::Working),
        Just(Links::OnlyOpenConnections),
        Just(Links::Lost)
    ];
    prop_oneof![
        1 => (1..8u64).prop_map(Event::Applied),
        1 => (0..8u64).prop_map(Event::Seen),
        1 => links.prop_map(Event::LinksChanged),
        1 => any::<bool>().prop_map(Event::PeersChanged),
        1 => prop_oneof![Just(Keys::Confirmed), Just(Keys::Unconfirmed)]
            .prop_map(Event::KeysChanged),
        3 => Just(Event::Arrived),
        1 => (0..8u64).prop_map(Event::PassedOn),
    ]
}

proptest! {
    #![proptest_config(config(3_000))]

    #[test]
    fn delegation_routes_never_go_back_in_any_order_of_events(
        events in prop::collection::vec(event(), 0..40),
    ) {
        let mut routes = Routes::default();
        let (mut links, mut has_peers) = (Links::Working, false);
        let mut keys = Keys::Confirmed;
        // Newest version that callers may have seen the effect of.
        let mut newest = 0;
        let mut applied = 0;
        for event in events {
            match event {
                Event::Applied(version) => {
                    prop_assert_eq!(routes.apply(table(version)), version >= applied);
                    applied = applied.max(version);
                }
                Event::Seen(version) => {
                    routes.on_seen(version);
                    newest = newest.max(version);
                }
                Event::LinksChanged(changed) => links = changed,
                Event::PeersChanged(changed) => has_peers = changed,
                Event::KeysChanged(changed) => keys = changed,
                Event::Arrived => match routes.handler(links, keys, has_peers) {
                    Handler::Own(table) | Handler::OwnIfConnected(table) => {
                        prop_assert!(table.version >= newest && keys == Keys::Confirmed);
                        newest = table.version;
                    }
                    Handler::Peer { min_version, table } => {
                        prop_assert!(has_peers && min_version >= newest);
                        prop_assert!(table.is_none_or(|table| table.version >= newest));
                    }
                    Handler::Nobody(Unable::KeysUnconfirmed) => {
                        prop_assert!(!has_peers && keys == Keys::Unconfirmed);
                    }
                    Handler::Nobody(Unable::NoRoutes) => prop_assert_eq!(applied, 0),
                    Handler::Nobody(Unable::Outdated) => {
                        prop_assert!(!has_peers && applied < newest);
                    }
                },
                Event::PassedOn(min_version) => {
                    if let Ok(table) = routes.for_peer(min_version, keys) {
                        prop_assert!(table.version >= newest.max(min_version));
                    }
                }
            }
        }
    }
}
