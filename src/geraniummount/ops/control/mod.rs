//! The control thread, which manages the membership and configuration of a process.
//!
//! One thread owns [`Membership`], which knows the VMs and the leaves that are leaving, and
//! [`ChangeLog`], this VM's copy of the log of accepted changes to resources. All events reach it
//! over one bounded channel: datagrams from the receiving thread, changes from the platform's
//! watchers, peers and operators' requests, and notices, by which a source (the leaf, its health
//! endpoint or the membership list) says whether a leaf is leaving (draining), that is, finishes
//! the work in hand and takes no more. The control thread responds with datagrams and by publishing
//! a new [`View`], which holds all that the process knows of the VMs and the resources at one
//! moment.
//!
//! The platform consists of two services that the users run: a key-value store, which holds the
//! change log, and the membership list, which lists all VMs and leaves. A revision is a position in
//! the log; the catalog holds all accepted resources at one revision.

mod event;
mod fetcher;
mod handle;
mod shared;
mod watcher;

use std::cmp::Reverse;
use std::io;
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, SyncSender};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use log::{info, warn};
use xxhash_rust::xxh3::xxh3_64;

pub use self::fetcher::Fetch;
pub use self::handle::Handle;

use self::event::Event;
use self::fetcher::Fetcher;
use self::shared::Shared;
use self::watcher::{LogWatcher, MembersWatcher};
use crate::core::config::change_log::{ChangeLog, Delta};
use crate::core::leaf;
use crate::core::membership::{Action, Membership};
use crate::core::readiness::Readiness;
use crate::core::vm::State;
use crate::edge::gossip::Socket;
use crate::edge::metrics::Metrics;
use crate::edge::platform::Platform;
use crate::edge::platform::log_store::LogStore;
use crate::ops::settings::Settings;
use crate::prelude::*;

/// Maximum number of events in the control thread's channel.
const MAX_QUEUED_EVENTS: usize = 4_096;
/// Maximum number of queued events that are handled before the timers are checked.
const MAX_EVENT_BATCH: usize = 256;
/// Read timeout of the receiving thread, after which it checks whether it must end.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of VMs in each failure domain that watch the platform.
const WATCHERS_PER_DOMAIN: usize = 2;

/// Membership and configuration of a process before their threads are started.
pub struct Starter {
    handle: Handle,
    events: Receiver<Event>,
    membership: Membership,
    socket: Socket,
    platform: Platform,
    metrics: Metrics,
}

/// Membership and configuration of a process whose threads are running.
pub struct Control {
    handle: Handle,
    threads: Vec<JoinHandle<()>>,
}

/// Binds the datagram socket to the peer address. The handle can be passed to other parts of the
/// process before [`Starter::start`] is called.
pub fn prepare(settings: &Settings, metrics: &Metrics) -> io::Result<(Handle, Starter)> {
    let node = &settings.node;
    let me = Vm {
        name: node.name.clone(),
        failure_domain: node.failure_domain.clone(),
        peer_address: node.peer_advertise,
        incarnation: start_incarnation(),
        state: State::Live,
        revision: 0,
    };
    let socket = Socket::bind(node.peer_listen, RECEIVE_TIMEOUT, metrics.clone())?;
    let (sender, events) = mpsc::sync_channel(MAX_QUEUED_EVENTS);
    let platform = &settings.platform;
    let platform = Platform::new(platform.address, platform.prefix.clone(), metrics.clone());
    let handle = Handle::new(Shared::new(&me), sender, platform.clone());
    let first_peers = node.first_peers.clone();
    let membership = Membership::new(me, first_peers, rand::random(), Instant::now());
    let starter = Starter {
        handle: handle.clone(),
        events,
        membership,
        socket,
        platform,
        metrics: metrics.clone(),
    };
    Ok((handle, starter))
}

impl Starter {
    /// Returns the client for the platform, for use by other parts of the process.
    pub fn platform(&self) -> Platform {
        self.platform.clone()
    }

    /// Starts the threads. `fetch` requests changes from a peer.
    pub fn start(self, fetch: Fetch) -> io::Result<Control> {
        let shared = self.handle.shared.clone();
        let events = self.handle.events.clone();
        let receiver = self.socket.try_clone()?;
        let (fetch_requests, fetch_queue) = mpsc::sync_channel(1);
        let mut threads = vec![
            spawn(
                "gossip",
                receive_loop(receiver, shared.clone(), events.clone()),
            )?,
            spawn("fetch", {
                let (shared, events) = (shared.clone(), events.clone());
                let fetcher = Fetcher {
                    fetch,
                    shared,
                    events,
                };
                move || fetcher.run(&fetch_queue)
            })?,
        ];
        let log_watcher = LogWatcher {
            store: LogStore::new(self.platform.clone()),
            shared: shared.clone(),
            events: events.clone(),
        };
        let members_watcher = MembersWatcher {
            platform: self.platform,
            shared: shared.clone(),
            events,
        };
        // The watchers may be blocked in a long poll and are therefore not joined. They end on
        // their own after `Control::stop` was called.
        spawn("watch-log", move || log_watcher.run())?;
        spawn("watch-members", move || members_watcher.run())?;
        let task = Task {
            membership: self.membership,
            log: ChangeLog::default(),
            readiness: Readiness::new(Instant::now()),
            socket: self.socket,
            shared,
            fetch_requests,
            metrics: self.metrics,
        };
        let events = self.events;
        threads.push(spawn("control", move || task.run(&events))?);
        Ok(Control {
            handle: self.handle,
            threads,
        })
    }
}

impl Control {
    /// Returns a handle to the control thread.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Stops the threads. Waits for all of them except the platform's watchers.
    pub fn stop(self) {
        self.handle.shared.stop();
        let _ = self.handle.events.send(Event::Stop);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// State of the control thread.
struct Task {
    membership: Membership,
    log: ChangeLog,
    readiness: Readiness,
    socket: Socket,
    shared: Shared,
    fetch_requests: SyncSender<Vm>,
    metrics: Metrics,
}

impl Task {
    fn run(mut self, events: &Receiver<Event>) {
        self.publish();
        loop {
            let now = Instant::now();
            let wait = self.membership.next_wake().saturating_duration_since(now);
            match events.recv_timeout(wait) {
                Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(event) => self.handle_event(event),
                Err(RecvTimeoutError::Timeout) => {}
            }
            // Queued events are handled before the timers, because a queued datagram may show that
            // a VM is responsive whose probe would otherwise time out.
            for event in events.try_iter().take(MAX_EVENT_BATCH) {
                if matches!(event, Event::Stop) {
                    return;
                }
                self.handle_event(event);
            }
            let actions = self.membership.tick(Instant::now());
            self.perform(actions);
            if self.membership.take_changed() {
                self.publish();
            }
            self.update_readiness();
        }
    }

    fn update_readiness(&mut self) {
        if self.shared.is_ready() {
            return;
        }
        let vms = self.membership.vms();
        let now = Instant::now();
        if self.readiness.update(self.log.catalog(), &vms, now) {
            info!("control: this VM is ready for callers");
            self.shared.set_ready();
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = Instant::now();
        let actions = match event {
            Event::Datagram(message) => self.membership.receive(message, now),
            Event::ChangesReceived(delta) => self.merge_changes(delta),
            Event::LogUpToDate => {
                self.readiness.confirm();
                Vec::new()
            }
            Event::LeafDraining {
                leaf,
                source,
                draining,
            } => {
                let actions = self.membership.note_leaf_draining(&leaf, source, draining);
                if !actions.is_empty() {
                    let what = if draining {
                        "is leaving"
                    } else {
                        "is serving again"
                    };
                    info!("control: leaf {leaf} {what} according to {source}");
                }
                actions
            }
            Event::PeerHints(addresses) => {
                self.membership.set_hints(addresses);
                Vec::new()
            }
            Event::AnnounceLeaving => {
                info!("control: this VM is stopping; announcing it to the other VMs");
                self.membership.announce_leaving()
            }
            Event::Stop => Vec::new(),
        };
        self.perform(actions);
    }

    /// Merges changes into the log and puts the new configuration in force.
    fn merge_changes(&mut self, delta: Delta) -> Vec<Action> {
        if !self.log.merge(delta) {
            return Vec::new();
        }
        let revision = self.log.revision();
        info!("control: revision {revision} is in force");
        let catalog = Arc::clone(self.log.catalog());
        let exists = |leaf: &str| catalog.leaf(leaf).is_some();
        self.membership.retain_leaves(exists);
        self.membership.set_leaf_domains(catalog.failure_domains());
        let actions = self.membership.set_revision(revision);
        self.publish();
        actions
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.socket.send(to, &message),
                // The channel is full while a call to a peer is in progress. The request may be
                // dropped then, because the next datagram of that VM causes it again.
                Action::Fetch(vm) => drop(self.fetch_requests.try_send(vm)),
            }
        }
    }

    /// Publishes the view that requests are routed by, and the log if it has changed.
    fn publish(&self) {
        let me = self.membership.me();
        let vms = self.membership.vms();
        self.record_metrics(&vms);
        self.shared.set_watcher(is_watcher(me, &vms));
        self.shared.view.set(View {
            me: me.name.clone(),
            failure_domain: me.failure_domain.clone(),
            catalog: Arc::clone(self.log.catalog()),
            draining: self.draining(),
            health_draining: self.membership.health_draining(),
            vms: vms.into(),
            stopping: me.state == State::Leaving,
        });
        if self.shared.log.get().revision() != self.log.revision() {
            self.shared.log.set(self.log.clone());
        }
    }

    /// Returns the leaves that are leaving according to notices or their declared state, sorted by
    /// name.
    fn draining(&self) -> Vec<LeafName> {
        let mut draining = self.membership.draining();
        let leaves = self.log.catalog().leaves.iter();
        let declared = leaves.filter(|record| record.spec.state == leaf::State::Draining);
        draining.extend(declared.map(|record| record.spec.name.clone()));
        draining.sort();
        draining.dedup();
        draining
    }

    fn record_metrics(&self, vms: &[Vm]) {
        self.metrics.set_revision(self.log.revision());
        for state in [State::Live, State::Suspect, State::Leaving, State::Dead] {
            let count = vms.iter().filter(|vm| vm.state == state).count();
            self.metrics.set_members(state, count);
        }
    }
}

/// Returns whether `me` watches the platform. The watchers are the first [`WATCHERS_PER_DOMAIN`]
/// live VMs of a failure domain in descending order of the hash of their names.
fn is_watcher(me: &Vm, vms: &[Vm]) -> bool {
    let order_key = |vm: &Vm| (Reverse(xxh3_64(vm.name.as_bytes())), vm.name.clone());
    let own_key = order_key(me);
    let ahead = vms
        .iter()
        .filter(|vm| vm.failure_domain == me.failure_domain && vm.name != me.name)
        .filter(|vm| vm.state == State::Live && order_key(vm) < own_key);
    ahead.count() < WATCHERS_PER_DOMAIN
}

/// Passes datagrams to the control thread, and drops them while the thread's channel is full.
fn receive_loop(socket: Socket, shared: Shared, events: SyncSender<Event>) -> impl FnOnce() {
    move || {
        while !shared.is_stopped() {
            if let Some(message) = socket.receive() {
                let _ = events.try_send(Event::Datagram(message));
            }
        }
    }
}

fn spawn(name: &str, task: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    thread::Builder::new().name(name.to_owned()).spawn(task)
}

/// Returns the incarnation of this start: the milliseconds since 1970, which exceed the
/// incarnations of all earlier starts. Of two records of a VM, the one with the higher incarnation
/// is newer. If the clock was set back, the incarnation is increased when other VMs send a record
/// with a higher one.
fn start_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    if since_epoch.is_err() {
        warn!("control: the system clock is set to a time before 1970; correct it");
    }
    since_epoch.unwrap_or_default().as_millis() as Incarnation
}
