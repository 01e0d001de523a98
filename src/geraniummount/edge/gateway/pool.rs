//! Connections to each leaf: kept, opened, and waited for.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use log::info;

use super::Gateway;
use super::leaf::LeafConnection;
use super::timers::Timer;
use crate::core::call::Reply;
use crate::core::connection_share::ConnectionShare;
use crate::core::instance::Instance;
use crate::core::placement::{Key, LAPSE};
use crate::core::route::Table;
use crate::prelude::*;

/// Connections to a leaf whose service the routes don't name.
const DEFAULT_MAX_CONNECTIONS: usize = 24;

/// Time that a connection is kept unused where the leaf names none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(400);

/// Kept connections end this much before the leaf ends them.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// Connections to one leaf.
#[derive(Debug)]
pub(super) struct Pool {
    pub(super) key: Key,
    pub(super) leaf_id: String,
    pub(super) address: SocketAddr,
    service: ServiceName,
    /// Kept connections, the one used last at the end, with their ends.
    idle: Vec<(usize, Instant)>,
    /// Open connections, kept or in use.
    pub(super) open_connections: usize,
    share: ConnectionShare,
    /// Attempts that wait for a connection.
    waiting: VecDeque<AttemptId>,
}

impl Gateway {
    /// Takes over a version of the routes.
    pub(super) fn apply_routes(&mut self, table: Table) {
        let (version, routes) = (table.version, table.routes().len());
        info!("routes version={version} routes={routes} outcome=in-force");
        self.metrics
            .routes_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        self.route_table = Some(Arc::new(table));
    }

    /// Takes over the leaves that are registered now.
    pub(super) fn apply_leaves(&mut self, instances: &[Instance]) {
        self.has_leaf_list = true;
        let leaving = instances.iter().filter(|instance| instance.leaving).count();
        if (instances.len(), leaving) != self.leaf_counts {
            self.leaf_counts = (instances.len(), leaving);
            info!("leaves registered={} leaving={leaving}", instances.len());
        }
        let count = i64::try_from(instances.len()).unwrap_or(i64::MAX);
        self.metrics.registered_leaves.set(count);
        let has_unregistered = self.placement.update(instances, self.now);
        if has_unregistered {
            self.timers.add(self.now + LAPSE, Timer::Unregistered);
        }
        self.remove_unregistered();
    }

    /// Forgets the leaves that are gone for good.
    pub(super) fn remove_unregistered(&mut self) {
        for key in self.placement.drop_lapsed(self.now) {
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

    /// Gives an attempt a connection, or lets it wait for one.
    pub(super) fn dispatch(&mut self, attempt: AttemptId) {
        let Some(in_flight) = self.attempts.get(&attempt) else {
            return;
        };
        let (key, service) = (in_flight.replica, in_flight.service.clone());
        let Some(index) = self.pool_index(key, &service) else {
            return self.queue_reply(attempt, Reply::Unreachable);
        };
        if let Some(connection) = self.take_idle(index) {
            return self.send_attempt(connection, attempt);
        }
        let max_connections = self.max_connections(index, &service);
        if self.pools[index].open_connections < max_connections {
            return self.open_connection(index, attempt);
        }
        self.pools[index].waiting.push_back(attempt);
    }

    /// Forgets an attempt that waits for a connection.
    pub(super) fn remove_waiting(&mut self, key: Key, attempt: AttemptId) {
        if let Ok(index) = self.search_pool(key) {
            self.pools[index]
                .waiting
                .retain(|waiting| *waiting != attempt);
        }
    }

    /// Keeps a connection for the next attempt.
    pub(super) fn release(&mut self, connection: usize) {
        let leaf = &self.leaf_connections[connection];
        let Ok(index) = self.search_pool(leaf.replica) else {
            self.leaf_connections.remove(connection);
            return;
        };
        if let Some(attempt) = self.next_waiting(index) {
            return self.send_attempt(connection, attempt);
        }
        let leaf = &self.leaf_connections[connection];
        let keep = leaf.keep_alive.map_or(DEFAULT_KEEP_ALIVE, |time| {
            time.saturating_sub(KEEP_ALIVE_MARGIN)
                .max(DEFAULT_KEEP_ALIVE)
        });
        let until = self.now + keep;
        let timer = Timer::Leaf(connection, leaf.serial);
        self.pools[index].idle.push((connection, until));
        self.timers.add(until, timer);
    }

    /// Notes that a connection has ended, and opens another for who waits.
    pub(super) fn on_connection_closed(&mut self, key: Key, connection: usize) {
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

    /// Returns whether a connection is kept, and until when.
    pub(super) fn idle_until(&self, key: Key, connection: usize) -> Option<Instant> {
        let pool = &self.pools[self.search_pool(key).ok()?];
        let mut idle = pool.idle.iter();
        idle.find(|(idle, _)| *idle == connection)
            .map(|(_, until)| *until)
    }

    /// Returns the next attempt that still wants a connection.
    fn next_waiting(&mut self, index: usize) -> Option<AttemptId> {
        loop {
            let attempt = self.pools[index].waiting.pop_front()?;
            if self.attempts.contains_key(&attempt) {
                return Some(attempt);
            }
        }
    }

    fn take_idle(&mut self, index: usize) -> Option<usize> {
        let now = self.now;
        let pool = &mut self.pools[index];
        let last = pool.idle.iter().rposition(|(_, until)| now < *until)?;
        Some(pool.idle.remove(last).0)
    }

    fn open_connection(&mut self, index: usize, attempt: AttemptId) {
        let serial = self.allocate_serial();
        let pool = &mut self.pools[index];
        let (replica, address) = (pool.key, pool.address);
        pool.open_connections += 1;
        self.metrics.leaf_connections.inc();
        match LeafConnection::connect(address, replica, serial, self.now) {
            Ok(leaf) => {
                let connection = self.leaf_connections.insert(leaf);
                if self.register_leaf(connection) {
                    return self.send_attempt(connection, attempt);
                }
                self.leaf_connections.remove(connection);
            }
            Err(error) => info!("leaf address={address} event=connect-failed error=\"{error}\""),
        }
        let pool = &mut self.pools[index];
        pool.open_connections -= 1;
        self.queue_reply(attempt, Reply::Unreachable);
    }

    fn max_connections(&self, index: usize, service: &str) -> usize {
        let table = self.route_table.as_ref();
        let leaf_limit = table.and_then(|table| table.max_connections(service));
        let leaf_limit = leaf_limit.unwrap_or(DEFAULT_MAX_CONNECTIONS);
        self.pools[index].share.most(leaf_limit, self.now)
    }

    /// Notes that a leaf did not even answer late.
    pub(super) fn record_unresponsive(&mut self, key: Key) {
        let Ok(index) = self.search_pool(key) else {
            return;
        };
        let service = &self.pools[index].service;
        self.placement.stay_silent(service, key, self.now);
        if self.placement.is_far(service, key) {
            self.isolation.on_attempt(false);
        }
    }

    /// Notes that a connection broke before its first answer, so long after it
    /// was open.
    pub(super) fn record_broken_unanswered(&mut self, key: Key, open_for: Duration) {
        if let Ok(index) = self.search_pool(key) {
            self.pools[index].share.on_broken(open_for, self.now);
        }
    }

    fn search_pool(&self, key: Key) -> Result<usize, usize> {
        self.pools.binary_search_by_key(&key, |pool| pool.key)
    }

    /// Returns the index of a leaf's pool, made where there is none yet.
    fn pool_index(&mut self, key: Key, service: &ServiceName) -> Option<usize> {
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
