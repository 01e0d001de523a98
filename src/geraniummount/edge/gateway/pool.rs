//! Connection pools, one per leaf: reuses idle connections, opens new ones up to a limit, and
//! queues attempts that wait for a connection. An attempt is one try to run a part of a caller's
//! request at one leaf. A leaf is unregistered once the store that the users run no longer lists
//! it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use log::{info, warn};

use super::Gateway;
use super::cold_leaves;
use super::leaf::LeafConnection;
use super::timers::Timer;
use crate::core::call::Reply;
use crate::core::connection_share::ConnectionShare;
use crate::core::cost::Load;
use crate::core::instance::Instance;
use crate::core::placement::{LimitChange, NamedLimit, Notice, ReplicaKey, UNREGISTERED_GRACE};
use crate::core::route::Table;
use crate::core::scope::Scope;
use crate::prelude::*;

/// Connections that a leaf accepts from all VMs together, if the routes do not name its service.
const DEFAULT_MAX_CONNECTIONS: usize = 24;

/// Keep-alive time of an idle connection if the leaf announces none; also the minimum.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(400);

/// An idle connection is closed this long before the leaf would close it, but not before
/// [`DEFAULT_KEEP_ALIVE`] has passed.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// Connection pool of one leaf.
#[derive(Debug)]
pub(super) struct Pool {
    /// Key of the leaf.
    pub(super) key: ReplicaKey,
    pub(super) leaf_id: String,
    pub(super) address: SocketAddr,
    /// Service of the leaf.
    pub(super) service: ServiceName,
    /// Keys of the idle connections, each with the time at which the connection expires; the most
    /// recently used one is last.
    idle: Vec<(usize, Instant)>,
    /// Number of open connections, idle or in use.
    pub(super) open_connections: usize,
    /// This VM's share of the connections that the leaf accepts from all VMs.
    share: ConnectionShare,
    /// Attempts that wait for a connection, in order of arrival.
    pub(super) waiting: VecDeque<AttemptId>,
}

impl Gateway {
    /// Brings a version of the routes into force.
    pub(super) fn apply_routes(&mut self, table: Table) {
        let (version, routes) = (table.version, table.routes().len());
        let warm_ups = table.warm_ups();
        if !self.routes.apply(table) {
            let in_force = self.routes.version();
            return warn!(
                "routes version={version} in_force={in_force} outcome=older action=ignore"
            );
        }
        info!("routes version={version} routes={routes} outcome=in-force");
        self.metrics
            .gauges
            .routes_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        self.apply_quotas();
        self.placement.set_warm_ups(warm_ups, self.now);
        self.on_cold_leaves();
    }

    /// Replaces the list of registered leaves with that of the store in an era.
    pub(super) fn apply_leaves(&mut self, instances: &[Instance], era: Era) {
        self.has_leaf_list = true;
        let leaving = instances
            .iter()
            .filter(|instance| instance.is_leaving)
            .count();
        if (instances.len(), leaving) != self.leaf_counts {
            self.leaf_counts = (instances.len(), leaving);
            info!("leaves registered={} leaving={leaving}", instances.len());
        }
        let count = i64::try_from(instances.len()).unwrap_or(i64::MAX);
        self.metrics.gauges.registered_leaves.set(count);
        self.placement.set_era(era);
        self.placement.set_time_of_day(cold_leaves::unix_ms());
        let has_unregistered = self.placement.update(instances, self.now);
        if has_unregistered {
            self.timers
                .add(self.now + UNREGISTERED_GRACE, Timer::Unregistered);
        }
        self.remove_unregistered();
        self.on_cold_leaves();
        self.prove_unregistered(instances);
    }

    /// Removes the pools of leaves that have been unregistered for [`UNREGISTERED_GRACE`], and
    /// fails the attempts that wait for a connection to them.
    pub(super) fn remove_unregistered(&mut self) {
        for key in self.placement.remove_unregistered(self.now) {
            let Ok(index) = self.search_pool(key) else {
                continue;
            };
            let pool = self.pools.remove(index);
            info!(
                "leaf leaf={} service={} event=gone",
                pool.leaf_id, pool.service
            );
            for (connection, _) in pool.idle {
                self.leaf_connections.try_remove(connection);
            }
            for attempt in pool.waiting {
                self.queue_reply(attempt, Reply::Unreachable);
            }
        }
    }

    /// Sends an attempt over an idle or a new connection, or queues it until one is free.
    ///
    /// While new connections to all leaves fail, none is opened: a request that was written to one
    /// may have run. The attempt is passed back to its call, which tries the next leaf.
    pub(super) fn dispatch(&mut self, attempt: AttemptId) {
        let Some(in_flight) = self.attempts.get(&attempt) else {
            return;
        };
        let (key, service) = (in_flight.replica, in_flight.service.clone());
        let Some(index) = self.pool_index(key, &service) else {
            return self.queue_reply(attempt, Reply::Unreachable);
        };
        if !self.may_send(attempt) {
            return self.queue_reply(attempt, Reply::Withheld);
        }
        if let Some(connection) = self.take_idle(index) {
            return self.assign(connection, attempt);
        }
        if self.only_open_connections_work() {
            return self.queue_reply(attempt, Reply::Withheld);
        }
        let max_connections = self.max_connections(index, &service);
        if self.pools[index].open_connections < max_connections {
            return self.open_connection(index, attempt);
        }
        self.pools[index].waiting.push_back(attempt);
    }

    /// Applies what a leaf said about further requests. The attempts that wait for a connection to
    /// a leaf that wants no more requests are passed back to their calls.
    pub(super) fn apply_notice(&mut self, key: ReplicaKey, notice: Notice) {
        if notice.is_empty() {
            return;
        }
        let Ok(index) = self.search_pool(key) else {
            return;
        };
        let pool = &mut self.pools[index];
        if !self
            .placement
            .on_notice(&pool.service, key, notice, self.now)
        {
            return;
        }
        let (leaf, service) = (&pool.leaf_id, &pool.service);
        match notice.hold {
            _ if notice.is_leaving => {
                info!("leaf leaf={leaf} service={service} event=leaving source=answer");
            }
            hold => {
                let hold = hold.unwrap_or_default().as_millis();
                info!("leaf leaf={leaf} service={service} event=held for_ms={hold}");
            }
        }
        for attempt in std::mem::take(&mut pool.waiting) {
            self.queue_reply(attempt, Reply::Withheld);
        }
    }

    /// Applies the load that a leaf reports, if it does.
    pub(super) fn apply_load(&mut self, key: ReplicaKey, load: Option<Load>) {
        if let (Ok(index), Some(load)) = (self.search_pool(key), load) {
            let service = &self.pools[index].service;
            self.placement.on_load(service, key, load, self.now);
        }
    }

    /// Applies the limit that a leaf names in the response to a request that was sent at `sent_at`,
    /// or that it names none. When a limit begins, the attempts that wait for a connection are
    /// passed back to their calls, as they were chosen without it.
    pub(super) fn apply_limit(&mut self, key: ReplicaKey, named: NamedLimit, sent_at: Instant) {
        let Ok(index) = self.search_pool(key) else {
            return;
        };
        let pool = &mut self.pools[index];
        let (leaf, service) = (&pool.leaf_id, &pool.service);
        match self
            .placement
            .on_limit(service, key, named, sent_at, self.now)
        {
            LimitChange::Unchanged => return,
            LimitChange::Ended(attempts) => {
                let (first, extra) = (attempts.first, attempts.extra);
                return info!(
                    "leaf leaf={leaf} service={service} event=limit-ended first={first} \
                     extra={extra}"
                );
            }
            LimitChange::Began(per_second) => {
                info!("leaf leaf={leaf} service={service} event=limited per_second={per_second}");
            }
        }
        for attempt in std::mem::take(&mut pool.waiting) {
            self.queue_reply(attempt, Reply::Withheld);
        }
        self.watch_limits();
    }

    /// Removes an attempt from the queue of its leaf's pool.
    pub(super) fn remove_waiting(&mut self, key: ReplicaKey, attempt: AttemptId) {
        if let Ok(index) = self.search_pool(key) {
            self.pools[index]
                .waiting
                .retain(|waiting| *waiting != attempt);
        }
    }

    /// Passes a connection to the next queued attempt, or keeps it as idle if no attempt is queued.
    /// Closes the connection if its leaf's pool was removed.
    pub(super) fn release(&mut self, connection: usize) {
        let leaf = &self.leaf_connections[connection];
        let Ok(index) = self.search_pool(leaf.replica) else {
            self.leaf_connections.remove(connection);
            return;
        };
        if let Some(attempt) = self.next_waiting(index) {
            return self.assign(connection, attempt);
        }
        let leaf = &self.leaf_connections[connection];
        let keep = leaf.reader.keep_alive.map_or(DEFAULT_KEEP_ALIVE, |time| {
            time.saturating_sub(KEEP_ALIVE_MARGIN)
                .max(DEFAULT_KEEP_ALIVE)
        });
        let until = self.now + keep;
        let timer = Timer::Leaf(connection, leaf.serial);
        self.pools[index].idle.push((connection, until));
        self.timers.add(until, timer);
    }

    /// Removes a closed connection from its pool, and dispatches the next queued attempt.
    pub(super) fn on_connection_closed(&mut self, key: ReplicaKey, connection: usize) {
        let Ok(index) = self.search_pool(key) else {
            return;
        };
        let pool = &mut self.pools[index];
        pool.open_connections = pool.open_connections.saturating_sub(1);
        pool.idle.retain(|(idle, _)| *idle != connection);
        if let Some(attempt) = self.next_waiting(index) {
            self.dispatch(attempt);
        }
    }

    /// Returns when an idle connection expires; `None` if the connection is not idle.
    pub(super) fn idle_until(&self, key: ReplicaKey, connection: usize) -> Option<Instant> {
        let pool = &self.pools[self.search_pool(key).ok()?];
        let mut idle = pool.idle.iter();
        idle.find(|(idle, _)| *idle == connection)
            .map(|(_, until)| *until)
    }

    /// Takes the next queued attempt that may still be sent. The others are passed back to their
    /// calls.
    fn next_waiting(&mut self, index: usize) -> Option<AttemptId> {
        loop {
            let attempt = self.pools[index].waiting.pop_front()?;
            if self.may_send(attempt) {
                return Some(attempt);
            }
            self.queue_reply(attempt, Reply::Withheld);
        }
    }

    /// Takes the most recently used idle connection that has not expired.
    fn take_idle(&mut self, index: usize) -> Option<usize> {
        let now = self.now;
        let pool = &mut self.pools[index];
        let last = pool.idle.iter().rposition(|(_, until)| now < *until)?;
        Some(pool.idle.remove(last).0)
    }

    /// Opens a connection for an attempt; the attempt fails as unreachable if this fails.
    fn open_connection(&mut self, index: usize, attempt: AttemptId) {
        match self.connect(index) {
            Some(connection) => self.assign(connection, attempt),
            None => self.queue_reply(attempt, Reply::Unreachable),
        }
    }

    /// Opens a connection to a leaf and sends a health request over it, to check this VM's links.
    pub(super) fn open_check_connection(&mut self, key: ReplicaKey, service: &ServiceName) {
        let Some(index) = self.pool_index(key, service) else {
            return;
        };
        let path = self.routes.health_path(service).unwrap_or("/").to_string();
        if let Some(connection) = self.connect(index) {
            self.send_health_request(connection, &path);
        }
    }

    /// Opens a connection to the leaf of a pool; returns its key, or `None` if this fails.
    fn connect(&mut self, index: usize) -> Option<usize> {
        let serial = self.allocate_serial();
        let pool = &mut self.pools[index];
        let (replica, address) = (pool.key, pool.address);
        pool.open_connections += 1;
        self.metrics.leaf_connections.inc();
        let (source, account) = (self.options.source, &self.account);
        match LeafConnection::connect(address, source, replica, serial, account, self.now) {
            Ok(leaf) => {
                let connection = self.leaf_connections.insert(leaf);
                if self.register_leaf(connection) {
                    return Some(connection);
                }
                self.leaf_connections.remove(connection);
            }
            Err(error) => info!("leaf address={address} event=connect-failed error=\"{error}\""),
        }
        let pool = &mut self.pools[index];
        pool.open_connections -= 1;
        None
    }

    /// Returns how many connections this VM may have open to a leaf.
    fn max_connections(&self, index: usize, service: &str) -> usize {
        let leaf_limit = self.routes.max_connections(service);
        let leaf_limit = leaf_limit.unwrap_or(DEFAULT_MAX_CONNECTIONS);
        self.pools[index]
            .share
            .max_connections(leaf_limit, self.now)
    }

    /// Records that a leaf did not respond to an attempt, not even in the time that an abandoned
    /// attempt's connection stays open.
    pub(super) fn record_unresponsive(&mut self, key: ReplicaKey) {
        let Ok(index) = self.search_pool(key) else {
            return;
        };
        let service = &self.pools[index].service;
        self.placement.record_unresponsive(service, key, self.now);
        if self.placement.is_in_other_domain(service, key) {
            self.isolation.on_attempt(false);
        }
    }

    /// Records that a connection broke before its first response; `open_for` is the time since the
    /// connection was established.
    pub(super) fn record_broken_unanswered(&mut self, key: ReplicaKey, open_for: Duration) {
        if let Ok(index) = self.search_pool(key) {
            self.pools[index]
                .share
                .on_connection_lost(open_for, self.now);
        }
    }

    /// Returns whether there is an idle connection to a leaf in `scope` of each service.
    pub(super) fn has_idle_connections(&self, services: &[&ServiceName], scope: &Scope) -> bool {
        let is_idle = |key| {
            let pool = self.search_pool(key).map(|index| &self.pools[index]);
            pool.is_ok_and(|pool| pool.idle.iter().any(|(_, until)| self.now < *until))
        };
        services.iter().all(|service| {
            let group = self.placement.group(service);
            let mut replicas = group.into_iter().flat_map(|group| group.replicas());
            replicas.any(|replica| {
                let is_allowed = scope.contains(&replica.instance.domain);
                is_allowed && !replica.is_evacuated() && is_idle(replica.key)
            })
        })
    }

    /// Returns the id of a leaf, for logs.
    pub(super) fn leaf_id(&self, key: ReplicaKey) -> &str {
        let pool = self.search_pool(key).map(|index| &self.pools[index]);
        pool.map_or("gone", |pool| pool.leaf_id.as_str())
    }

    /// Returns the service of a leaf; `None` if the leaf is gone.
    pub(super) fn leaf_service(&self, key: ReplicaKey) -> Option<ServiceName> {
        let index = self.search_pool(key).ok()?;
        Some(self.pools[index].service.clone())
    }

    /// Returns the index of a leaf's pool, or the index at which it would be inserted.
    pub(super) fn search_pool(&self, key: ReplicaKey) -> Result<usize, usize> {
        self.pools.binary_search_by_key(&key, |pool| pool.key)
    }

    /// Returns the index of a leaf's pool, created on first use; `None` if the leaf is unknown.
    fn pool_index(&mut self, key: ReplicaKey, service: &ServiceName) -> Option<usize> {
        match self.search_pool(key) {
            Ok(index) => Some(index),
            Err(index) => {
                let replica = self.placement.replica(service, key)?;
                let pool = Pool {
                    key,
                    leaf_id: replica.instance.id.clone(),
                    address: replica.instance.address,
                    service: service.clone(),
                    idle: Vec::new(),
                    open_connections: 0,
                    share: ConnectionShare::default(),
                    waiting: VecDeque::new(),
                };
                self.pools.insert(index, pool);
                Some(index)
            }
        }
    }
}
