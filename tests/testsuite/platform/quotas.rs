//! Requests of tenants with quotas, at gateways that divide the quotas between them.

use std::io::Write;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use geraniummount::core::fingerprint;
use geraniummount_test_support::platform::users::caller::Reply;
use geraniummount_test_support::proxy::Proxy;
use serde_json::{Value, json};

use super::deployment::{Deployment, refuse};
use super::fixture::{Fixture, WAIT_TIMEOUT, connect, document, exchange, request, service_route};

/// Version of the configuration that contains the tenant.
const VERSION: u64 = 2;

/// Writes a configuration with one tenant, and waits until each VM serves it.
fn limit(deployment: &Deployment, rate: f64) {
    let mut route = service_route("/a/", "idempotent", "one");
    route["allowAnonymous"] = json!(true);
    let mut config: Value = serde_json::from_str(&document(VERSION, &[route])).unwrap();
    config["tenants"] =
        json!([{"name": "shop", "apiKeys": ["k1"], "ratePerS": rate, "burst": rate}]);
    deployment.vms[0].store.put("op/config", config.to_string());
    for vm in &deployment.vms {
        // The version before it serves all requests.
        vm.wait_until(|vm| vm.get(&format!("/v{VERSION}/"), 1_000).status == 401);
        vm.wait_until(|vm| send(vm).status == 200);
    }
}

/// Sends a request with the tenant's key.
fn send(vm: &Fixture) -> Reply {
    exchange(vm.callers_address, &with_key("/a/x")).unwrap()
}

/// Encodes a request with the tenant's key.
fn with_key(path: &str) -> Vec<u8> {
    let request = String::from_utf8(request("GET", path, 1_000, b"")).unwrap();
    let request = request.replacen("\r\n", "\r\nAuthorization: Token k1\r\n", 1);
    request.into_bytes()
}

fn wait_of(reply: &Reply) -> Duration {
    let wait = reply.field("Retry-After").expect("a wait is stated");
    Duration::from_secs_f64(wait.parse().expect("the wait is a number"))
}

/// Guards against requests over the quota that run, and against a wait that is not true.
#[test]
fn platform_quota_over_it_requests_get_429_with_the_wait() {
    for domains in [&["near"][..], &["near", "near"], &["near", "far"]] {
        let deployment = Deployment::start(domains);
        limit(&deployment, 10.0);
        let start = Instant::now();
        let replies: Vec<Reply> = (0..200)
            .map(|number| send(&deployment.vms[number % domains.len()]))
            .collect();
        let served = replies.iter().filter(|reply| reply.status == 200).count();
        let refused: Vec<&Reply> = replies.iter().filter(|reply| reply.status == 429).collect();
        assert_eq!(served + refused.len(), replies.len(), "{domains:?}");
        let seconds = start.elapsed().as_secs_f64();
        let bound = (10.0 * seconds + 10.0) * 1.1 + 20.0;
        assert!(
            served as f64 <= bound,
            "{domains:?}: {served} served in {seconds} s"
        );
        let last = refused.last().expect("requests over the quota are refused");
        assert!(!wait_of(last).is_zero(), "{domains:?}");
        std::thread::sleep(wait_of(last) * 2 + Duration::from_millis(300));
        assert_eq!(send(&deployment.vms[0]).status, 200, "{domains:?}");
    }
}

/// Guards against requests within the quota that are refused because VMs divide it.
#[test]
fn platform_quota_within_it_requests_of_all_vms_are_served() {
    let deployment = Deployment::start(&["near", "near", "far"]);
    limit(&deployment, 40.0);
    std::thread::sleep(Duration::from_secs(2));
    for number in 0..120 {
        let reply = send(&deployment.vms[number % 3]);
        assert_eq!(reply.status, 200, "request {number}");
        std::thread::sleep(Duration::from_millis(40));
    }
}

/// Guards against delegated requests that take no token, or whose refusal does not reach the caller.
#[test]
fn platform_quota_counts_requests_where_they_are_sent_to_leaves() {
    let deployment = Deployment::start(&["near", "near"]);
    limit(&deployment, 10.0);
    deployment.change_links(0, refuse);
    deployment.proxies.iter().for_each(Proxy::close_connections);
    let vm = &deployment.vms[0];
    vm.wait_until(|vm| send(vm).status == 200);
    // The requests until then have used tokens.
    std::thread::sleep(Duration::from_secs(2));
    let start = Instant::now();
    let replies: Vec<Reply> = (0..150).map(|_| send(vm)).collect();
    let served = replies.iter().filter(|reply| reply.status == 200).count();
    let bound = (10.0 * start.elapsed().as_secs_f64() + 10.0) * 1.1 + 20.0;
    let statuses: Vec<u16> = replies.iter().map(|reply| reply.status).collect();
    assert!(
        served > 0 && served as f64 <= bound,
        "{served} served: {statuses:?}"
    );
    let refused = replies.iter().find(|reply| reply.status == 429);
    assert!(!wait_of(refused.expect("some are over the quota")).is_zero());
}

/// A VM that borrows the portion of another one, and answers no question for a token by itself.
struct SilentCounter {
    name: String,
    socket: UdpSocket,
    vm: SocketAddr,
    vm_key: String,
}

/// Returns a name that comes before that of a VM in the order in which VMs count.
fn name_before(vm: &str) -> String {
    let rank = |name: &str| fingerprint::of([b"near".as_slice(), name.as_bytes()]);
    let names = (0..).map(|number| format!("silent{number}"));
    let mut before = names.filter(|name| rank(name) < rank(vm));
    before.next().expect("some name comes before")
}

impl SilentCounter {
    /// Registers the VM with the store of another one, and becomes the counting VM of its domain.
    fn start(vm: &Fixture) -> SilentCounter {
        let key = vm.store.keys("peers/")[0].clone();
        let own: Value = serde_json::from_slice(&vm.store.value(&key).unwrap()).unwrap();
        let counter = SilentCounter {
            name: name_before(key.strip_prefix("peers/").unwrap()),
            socket: UdpSocket::bind("127.0.0.1:0").unwrap(),
            vm: vm.peers_address,
            vm_key: own["key"].as_str().unwrap().to_string(),
        };
        counter.socket.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let address = counter.socket.local_addr().unwrap();
        let entry = json!({"address": address, "domain": "near", "key": "secret",
                           "written_at_ms": 4_000_000_000_000_u64});
        let key = format!("peers/{}", counter.name);
        vm.store.put(&key, entry.to_string());
        vm.wait_until(|vm| {
            counter.borrow();
            send(vm).status == 503
        });
        counter
    }

    fn borrow(&self) {
        self.send(1, &json!({"type": "quota", "quota": "ask-loan"}));
        std::thread::sleep(Duration::from_millis(20));
    }

    fn send(&self, id: u64, message: &Value) {
        let datagram = json!({"from": self.name, "key": self.vm_key, "id": id, "message": message});
        let datagram = datagram.to_string();
        self.socket.send_to(datagram.as_bytes(), self.vm).unwrap();
    }

    /// Waits for the next question for a token that has not arrived yet; returns its number.
    fn receive_question(&self) -> u64 {
        let mut buf = [0; 2_048];
        loop {
            let length = self.socket.recv(&mut buf).unwrap();
            let datagram: Value = serde_json::from_slice(&buf[..length]).unwrap();
            if datagram["message"]["quota"] == "ask-token" {
                return datagram["id"].as_u64().unwrap();
            }
        }
    }

    /// Drops the datagrams that have arrived.
    fn drop_received(&self) {
        self.socket.set_nonblocking(true).unwrap();
        while self.socket.recv(&mut [0; 2_048]).is_ok() {}
        self.socket.set_nonblocking(false).unwrap();
    }
}

/// Guards against requests that run, or are refused as over the quota, while nobody can tell: they
/// are refused as not run, and served once another VM counts.
#[test]
fn platform_quota_requests_are_refused_as_not_run_while_the_counting_vm_is_gone() {
    let deployment = Deployment::start(&["near"]);
    limit(&deployment, 20.0);
    let vm = &deployment.vms[0];
    let counter = SilentCounter::start(vm);
    counter.borrow();
    let refused = send(vm);
    assert_eq!(refused.status, 503);
    assert!(!wait_of(&refused).is_zero());
    vm.wait_until(|vm| send(vm).status == 200);
}

/// Guards against a request that runs after its caller has left while it waited for its token.
#[test]
fn platform_quota_requests_whose_caller_leaves_while_they_wait_do_not_run() {
    let deployment = Deployment::start(&["near"]);
    limit(&deployment, 20.0);
    let vm = &deployment.vms[0];
    let counter = SilentCounter::start(vm);
    for is_caller_gone in [false, true] {
        counter.borrow();
        counter.drop_received();
        let path = format!("/a/{is_caller_gone}");
        let mut caller = connect(vm.callers_address);
        caller.write_all(&with_key(&path)).unwrap();
        let question = counter.receive_question();
        let runs = || -> usize { deployment.leaves.iter().map(|leaf| leaf.runs().len()).sum() };
        let before = runs();
        if is_caller_gone {
            drop(caller);
            std::thread::sleep(Duration::from_millis(10));
        }
        let grant = json!({"type": "quota", "quota": "token", "granted": 1, "wait_ms": 0});
        counter.send(question, &grant);
        std::thread::sleep(Duration::from_millis(200));
        let expected = usize::from(!is_caller_gone);
        assert_eq!(runs() - before, expected, "caller gone: {is_caller_gone}");
    }
}
