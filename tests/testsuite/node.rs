//! A VM's dispatcher and peer listener in this process, and a leaf `leaf-1`
//! in the failure domain `east` that holds the one shard of `tickets`.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use geraniummount::core::contract::Contract;
use geraniummount::core::{leaf, vm};
use geraniummount::edge::dispatcher::{Dispatcher, Options};
use geraniummount::edge::peer::{Changes, Hooks, Server};
use geraniummount::prelude::*;
use geraniummount::util::published::Published;
use geraniummount_test_support::leaf::{Behaviour, Delay};

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// One VM: its dispatcher, and the server for its peers.
pub struct Node {
    pub dispatcher: Dispatcher,
    pub view: Arc<Published<View>>,
    pub server: Option<Server>,
}

impl Node {
    /// Starts a VM in a failure domain of its own name.
    pub fn start(me: &str, ip: IpAddr) -> Node {
        Node::start_in(me, me, ip)
    }

    /// Starts a VM in a failure domain.
    pub fn start_in(me: &str, failure_domain: &str, ip: IpAddr) -> Node {
        let view = View {
            me: me.to_owned(),
            failure_domain: failure_domain.to_owned(),
            catalog: Arc::default(),
            vms: Vec::new(),
            draining: Vec::new(),
            health_draining: Vec::new(),
            stopping: false,
        };
        let view = Arc::new(Published::new(view));
        let options = Options {
            bind: ip,
            max_reply_bytes: 64 * 1024,
        };
        let dispatcher = Dispatcher::new(options, Arc::clone(&view), Box::new(|_, _, _| {}));
        let mut node = Node {
            dispatcher,
            view,
            server: None,
        };
        node.listen(SocketAddr::new(ip, 0));
        node
    }

    pub fn listen(&mut self, address: SocketAddr) {
        let hooks = Hooks {
            changes: Box::new(|since| Changes {
                revision: since + 2,
                catalog: Vec::new(),
                entries: vec![b"one".to_vec(), b"two".to_vec()],
            }),
            status: Box::new(|| b"{}".to_vec()),
        };
        self.server = Some(Server::start(address, &self.dispatcher, hooks).unwrap());
    }

    pub fn address(&self) -> SocketAddr {
        self.server.as_ref().unwrap().address()
    }

    pub fn publish(&self, catalog: &Catalog, vms: &[Vm]) {
        let mut view = View::clone(&self.view.get());
        view.catalog = Arc::new(catalog.clone());
        view.vms = vms.to_vec();
        self.view.set(view);
    }
}

/// A stand-in leaf that answers after a delay.
pub fn behaviour(delay: Duration) -> Behaviour {
    Behaviour {
        slots: 8,
        connections: 100,
        delay: Delay::fixed(delay),
        shards: vec!["tickets/a".to_owned()],
        ..Behaviour::default()
    }
}

pub fn catalog(leaf_address: SocketAddr) -> Catalog {
    let leaf = Leaf {
        name: "leaf-1".to_owned(),
        address: leaf_address,
        failure_domain: "east".to_owned(),
        contract: Contract {
            slots: 8,
            connections: 100,
            open_ms: 1,
        },
        state: leaf::State::Serving,
    };
    let service = serde_json::from_str(
        r#"{"name": "tickets", "deadline_ms": 100, "max_deadline_ms": 1000,
            "shards": [{"name": "a", "replicas": ["leaf-1"]}]}"#,
    );
    Catalog {
        revision: 1,
        leaves: vec![record(leaf)],
        services: vec![record(service.unwrap())],
    }
}

fn record<T>(spec: T) -> Record<T> {
    Record {
        generation: 1,
        spec,
    }
}

pub fn vm_of(name: &str, peer_address: SocketAddr) -> Vm {
    Vm {
        name: name.to_owned(),
        failure_domain: name.to_owned(),
        peer_address,
        incarnation: 1,
        state: vm::State::Live,
        revision: 1,
    }
}

pub fn part(idempotent: bool, deadline: Duration) -> Part {
    Part {
        attempt: NEXT_ATTEMPT.fetch_add(1, Ordering::Relaxed),
        request: "request".to_owned(),
        service: "tickets".to_owned(),
        shard: "a".to_owned(),
        leaf: "leaf-1".to_owned(),
        snapshot: idempotent.then_some(1),
        deadline: Instant::now() + deadline,
        idempotent,
        hops_left: 2,
        takeover: false,
        body: Arc::from(&b"{}"[..]),
    }
}
