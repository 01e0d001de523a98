//! Fuzzes the gossip decoder, the membership and all ports with input that no VM sends.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use geraniummount::core::gossip::{Body, MAX_COUNTER, Message, Notice, Source};
use geraniummount::core::membership::Membership;
use geraniummount::core::vm::State;
use geraniummount::edge::gossip::{decode, encode};
use geraniummount::prelude::*;
use geraniummount_test_support::fleet::{Fleet, Plan};
use proptest::collection::vec;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::fixtures;
use crate::seeded::config;

const NAMES: [&str; 4] = ["vm-0", "vm-1", "", "a name that is no name\u{0}"];
const DOMAINS: [&str; 3] = ["east", "west", ""];
const STATES: [State; 4] = [State::Live, State::Suspect, State::Leaving, State::Dead];
const SOURCES: [Source; 3] = [Source::Health, Source::Leaf, Source::Members];

/// Number of payloads sent to each port.
const PAYLOAD_COUNT: usize = 200;

/// Maximum length of a random payload.
const MAX_PAYLOAD_BYTES: usize = 3_000;

/// Maximum wait for an answer to a payload.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(20);

fn counter() -> impl Strategy<Value = u64> {
    prop_oneof![
        20 => Just(1),
        20 => 0..1_000_u64,
        4 => Just(MAX_COUNTER),
        1 => any::<u64>(),
    ]
}

fn address() -> impl Strategy<Value = SocketAddr> {
    (any::<[u8; 4]>(), any::<u16>()).prop_map(SocketAddr::from)
}

prop_compose! {
    fn vm()(
        name in prop::sample::select(&NAMES[..]),
        domain in prop::sample::select(&DOMAINS[..]),
        state in prop::sample::select(&STATES[..]),
        peer_address in address(),
        (incarnation, revision) in (counter(), counter()),
    ) -> Vm {
        Vm {
            name: name.to_owned(),
            failure_domain: domain.to_owned(),
            peer_address,
            incarnation,
            state,
            revision,
        }
    }
}

prop_compose! {
    fn notice()(
        leaf in prop::sample::select(&NAMES[..]),
        source in prop::sample::select(&SOURCES[..]),
        version in counter(),
        draining in any::<bool>(),
    ) -> Notice {
        Notice { leaf: leaf.to_owned(), source, version, draining }
    }
}

fn body() -> impl Strategy<Value = Body> {
    prop_oneof![
        any::<u64>().prop_map(|probe| Body::Ping { probe }),
        any::<u64>().prop_map(|probe| Body::Ack { probe }),
        (any::<u64>(), address()).prop_map(|(probe, target)| Body::PingRequest { probe, target }),
        Just(Body::Join),
        Just(Body::Push),
    ]
}

prop_compose! {
    fn message()(
        from in vm(),
        body in body(),
        digest in any::<u64>(),
        vms in vec(vm(), 0..8),
        notices in vec(notice(), 0..8),
    ) -> Message {
        Message { from, body, digest, vms, notices }
    }
}

/// Returns the largest counter in a message.
fn largest_counter(message: &Message) -> u64 {
    let vms = message.vms.iter().chain([&message.from]);
    let vms = vms.map(|vm| vm.incarnation.max(vm.revision));
    let notices = message.notices.iter().map(|notice| notice.version);
    vms.chain(notices).max().unwrap_or_default()
}

fn membership(now: Instant) -> Membership {
    let me = Vm {
        failure_domain: "east".to_owned(),
        ..fixtures::live_vm("vm-0", ([127, 0, 0, 1], 7_000).into())
    };
    Membership::new(me, Vec::new(), 1, now)
}

proptest! {
    #![proptest_config(config(400))]

    #[test]
    fn datagrams_decode_to_the_encoded_message(message in message()) {
        let Some(bytes) = encode(&message) else { return Ok(()) };
        let Some(read) = decode(&bytes) else {
            prop_assert!(largest_counter(&message) > MAX_COUNTER, "{:?}", message);
            return Ok(());
        };
        prop_assert_eq!(&read.from, &message.from);
        prop_assert_eq!(read.body, message.body);
        prop_assert!(message.vms.starts_with(&read.vms));
        prop_assert!(message.notices.starts_with(&read.notices));
    }

    #[test]
    fn corrupted_datagrams_do_not_panic(
        message in message(),
        corruption in vec((any::<prop::sample::Index>(), any::<u8>()), 1..20),
        end in any::<prop::sample::Index>(),
    ) {
        let Some(mut bytes) = encode(&message) else { return Ok(()) };
        for (index, value) in corruption {
            let index = index.index(bytes.len());
            bytes[index] = value;
        }
        drop(decode(&bytes[..=end.index(bytes.len())]));
        drop(decode(&bytes));
    }

    #[test]
    fn membership_survives_any_messages(messages in vec(message(), 1..40)) {
        let mut now = Instant::now();
        let mut membership = membership(now);
        for message in messages {
            let before = membership.me().clone();
            let bytes = encode(&message).unwrap_or_default();
            if let Some(message) = decode(&bytes) {
                membership.receive(message, now);
            }
            prop_assert_eq!(membership.me().revision, before.revision);
            prop_assert!(membership.me().incarnation >= before.incarnation);
            now += Duration::from_millis(100);
            membership.tick(now);
        }
        let known = membership.vms();
        prop_assert!(known.iter().any(|vm| vm.name == "vm-0" && vm.state == State::Live));
    }
}

/// Returns payloads that announce more data than they contain, then random ones.
fn payloads(rng: &mut SmallRng) -> Vec<Vec<u8>> {
    let mut payloads = vec![
        vec![0xff; 64],
        vec![0; 64],
        [&[0, 0, 0, 0][..], &u32::MAX.to_le_bytes()].concat(),
        [&511_u32.to_le_bytes()[..], &[0xff; 2_048]].concat(),
        b"POST /v1/services/x/query HTTP/1.1\r\nContent-Length: 99999999999999\r\n\r\n".to_vec(),
        b"PUT /v1/resources/leaf/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"
            .to_vec(),
        b"GET /v1/resources?watch=18446744073709551615&wait_ms=1 HTTP/1.1\r\n\r\n".to_vec(),
        [&b"GET /"[..], &[b'a'; 20_000]].concat(),
    ];
    while payloads.len() < PAYLOAD_COUNT {
        let length = rng.random_range(0..MAX_PAYLOAD_BYTES);
        payloads.push((0..length).map(|_| rng.random()).collect());
    }
    payloads
}

fn send(to: SocketAddr, payload: &[u8]) {
    let mut stream = TcpStream::connect(to).expect("listener accepts");
    stream
        .set_read_timeout(Some(ANSWER_TIMEOUT))
        .expect("timeout");
    // Both calls may fail, because the other side may close the connection at any time.
    let _ = stream.write_all(payload);
    let _ = stream.read(&mut [0; 1_024]);
}

#[test]
fn random_payloads_on_any_port_do_not_stop_a_vm() {
    let plan = Plan::new(env!("CARGO_BIN_EXE_geraniummount")).domain("a", 1);
    let fleet = Fleet::start(plan).expect("fleet starts");
    let name = fleet.vm_names().remove(0);
    let vm = fleet.vm(&name);
    let mut rng = SmallRng::seed_from_u64(900);
    let udp = UdpSocket::bind("127.0.0.1:0").expect("socket");
    for payload in payloads(&mut rng) {
        for port in [vm.caller, vm.operator, vm.peer_proxy.address()] {
            send(port, &payload);
        }
        let length = payload.len().min(1_400);
        udp.send_to(&payload[..length], vm.peer_proxy.address())
            .expect("sent");
    }
    for client in [fleet.caller(&name), fleet.operator(&name)] {
        let paths = ["/ready", "/health"];
        let answers = paths.map(|path| client.get(path).is_ok_and(|reply| reply.is_success()));
        assert!(answers.contains(&true), "{answers:?}");
    }
}
