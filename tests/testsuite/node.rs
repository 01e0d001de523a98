//! Runs the dispatcher and the peer listener of a VM in this process.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use geraniummount::edge::claims::Claims;
use geraniummount::edge::dispatcher::{Dispatcher, Options};
use geraniummount::edge::metrics::Metrics;
use geraniummount::edge::peer::{Changes, Hooks, Server};
use geraniummount::edge::platform::Platform;
use geraniummount::prelude::*;
use geraniummount::util::published::Published;

/// The dispatcher of a VM and the server for its peers.
pub struct Node {
    pub dispatcher: Dispatcher,
    pub view: Arc<Published<View>>,
    pub server: Option<Server>,
}

impl Node {
    /// Starts a VM in a failure domain of the same name.
    pub fn start(me: &str, ip: IpAddr) -> Node {
        Node::start_in(me, me, ip)
    }

    /// Starts a VM in the given failure domain.
    pub fn start_in(me: &str, failure_domain: &str, ip: IpAddr) -> Node {
        let view = View {
            me: me.to_owned(),
            failure_domain: failure_domain.to_owned(),
            catalog: Arc::default(),
            vms: Vec::new().into(),
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

    /// Starts the peer server on `address`, in place of an earlier one.
    pub fn listen(&mut self, address: SocketAddr) {
        let hooks = Hooks {
            changes: Box::new(|since| Changes {
                revision: since + 2,
                catalog: Vec::new(),
                entries: vec![b"one".to_vec(), b"two".to_vec()],
            }),
            status: Box::new(|| b"{}".to_vec()),
            claims: self.claims(),
        };
        self.server = Some(Server::start(address, &self.dispatcher, hooks).unwrap());
    }

    /// Returns claims on a platform that cannot be reached.
    fn claims(&self) -> Claims {
        let unreachable = SocketAddr::from(([127, 0, 0, 1], 1));
        let platform = Platform::new(unreachable, "none", Metrics::default());
        let peers = self.dispatcher.peers().clone();
        Claims::start(&platform, Arc::clone(&self.view), peers, Metrics::default())
    }

    /// Returns the address of the peer server.
    pub fn address(&self) -> SocketAddr {
        self.server.as_ref().unwrap().address()
    }

    /// Replaces the catalog and the VMs in the view of this VM.
    pub fn publish(&self, catalog: &Catalog, vms: &[Vm]) {
        let mut view = View::clone(&self.view.get());
        view.catalog = Arc::new(catalog.clone());
        view.vms = vms.to_vec().into();
        self.view.set(view);
    }
}
