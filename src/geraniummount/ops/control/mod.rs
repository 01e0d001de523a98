//! The control thread: membership and configuration of one process.
//!
//! One thread owns [`Membership`] and [`ChangeLog`]. Everything reaches it
//! over one bounded channel: datagrams from the receiving thread, changes
//! from the watchers of the platform, from peers and from operators' calls,
//! and what leaves say of themselves. It answers by datagrams and by
//! publishing a new [`View`].

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
use crate::core::change_log::{ChangeLog, Delta};
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

/// Events that wait for the control thread.
const QUEUE: usize = 4_096;
/// Events that are taken in before time is looked at.
const BATCH: usize = 256;
/// How often the receiving thread looks whether it is to end.
const RECEIVE_WAIT: Duration = Duration::from_millis(250);
/// VMs of a failure domain that watch the platform.
const WATCHERS: usize = 2;

/// Control of one process that is ready to start.
pub struct Starter {
    handle: Handle,
    events: Receiver<Event>,
    membership: Membership,
    socket: Socket,
    platform: Platform,
    metrics: Metrics,
}

/// Running control of one process.
pub struct Control {
    handle: Handle,
    threads: Vec<JoinHandle<()>>,
}

/// Binds the peer address for datagrams. The handle can be given to other
/// parts before [`Starter::start`].
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
    let socket = Socket::bind(node.peer_listen, RECEIVE_WAIT, metrics.clone())?;
    let (sender, events) = mpsc::sync_channel(QUEUE);
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
    /// Returns the platform's client, for other parts.
    pub fn platform(&self) -> Platform {
        self.platform.clone()
    }

    /// Starts the threads; `fetch` asks a peer for changes.
    pub fn start(self, fetch: Fetch) -> io::Result<Control> {
        let shared = self.handle.shared.clone();
        let events = self.handle.events.clone();
        let receiver = self.socket.try_clone()?;
        let (wanted, fetches) = mpsc::sync_channel(1);
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
                move || fetcher.run(&fetches)
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
        // These may wait in a call for long; they end by themselves.
        spawn("watch-log", move || log_watcher.run())?;
        spawn("watch-members", move || members_watcher.run())?;
        let task = Task {
            membership: self.membership,
            log: ChangeLog::default(),
            readiness: Readiness::new(Instant::now()),
            socket: self.socket,
            shared,
            wanted,
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
    /// Returns access to the control thread.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Ends the threads.
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
    wanted: SyncSender<Vm>,
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
                Ok(event) => self.take(event),
                Err(RecvTimeoutError::Timeout) => {}
            }
            // What has already come counts before silence does.
            for event in events.try_iter().take(BATCH) {
                if matches!(event, Event::Stop) {
                    return;
                }
                self.take(event);
            }
            let actions = self.membership.tick(Instant::now());
            self.perform(actions);
            if self.membership.take_changed() {
                self.publish();
            }
            self.look_whether_ready();
        }
    }

    fn look_whether_ready(&mut self) {
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

    fn take(&mut self, event: Event) {
        let now = Instant::now();
        let actions = match event {
            Event::Datagram(message) => self.membership.receive(message, now),
            Event::Learned(delta) => self.learn(delta),
            Event::Confirmed => {
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
                        "serves again"
                    };
                    info!("control: leaf {leaf} {what}, as {source} says");
                }
                actions
            }
            Event::Hints(addresses) => {
                self.membership.set_hints(addresses);
                Vec::new()
            }
            Event::AnnounceLeaving => {
                info!("control: this VM stops; the others are told");
                self.membership.announce_leaving()
            }
            Event::Stop => Vec::new(),
        };
        self.perform(actions);
    }

    /// Takes in changes and puts them in force.
    fn learn(&mut self, delta: Delta) -> Vec<Action> {
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
                // Full while a call is out: asked again by the next datagram.
                Action::Fetch(vm) => drop(self.wanted.try_send(vm)),
            }
        }
    }

    /// Publishes what traffic goes by.
    fn publish(&self) {
        let me = self.membership.me();
        let vms = self.membership.vms();
        self.count(&vms);
        self.shared.set_watches(watches(me, &vms));
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

    /// Leaves that are leaving: those noted, and those declared so.
    fn draining(&self) -> Vec<LeafName> {
        let mut draining = self.membership.draining();
        let leaves = self.log.catalog().leaves.iter();
        let declared = leaves.filter(|record| record.spec.state == leaf::State::Draining);
        draining.extend(declared.map(|record| record.spec.name.clone()));
        draining.sort();
        draining.dedup();
        draining
    }

    fn count(&self, vms: &[Vm]) {
        self.metrics.set_revision(self.log.revision());
        for state in [State::Live, State::Suspect, State::Leaving, State::Dead] {
            let count = vms.iter().filter(|vm| vm.state == state).count();
            self.metrics.set_members(state, count);
        }
    }
}

/// Whether `me` is among the first live VMs of its failure domain in the hash
/// order by which the platform's watchers are chosen.
fn watches(me: &Vm, vms: &[Vm]) -> bool {
    let order_key = |vm: &Vm| (Reverse(xxh3_64(vm.name.as_bytes())), vm.name.clone());
    let mine = order_key(me);
    let ahead = vms
        .iter()
        .filter(|vm| vm.failure_domain == me.failure_domain && vm.name != me.name)
        .filter(|vm| vm.state == State::Live && order_key(vm) < mine);
    ahead.count() < WATCHERS
}

/// Passes datagrams to the control thread; drops them while it is behind.
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

/// Milliseconds since the epoch: higher than at any earlier start. A clock
/// that was set back is made up for when the others refute.
fn start_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    if since_epoch.is_err() {
        warn!("control: the clock stands before 1970; set it");
    }
    since_epoch.unwrap_or_default().as_millis() as Incarnation
}
