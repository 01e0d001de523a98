//! Connections to each leaf: kept, opened, and waited for.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use log::info;

use super::Gateway;
use super::leaf::Leaf;
use super::timers::Timer;
use crate::core::call::Reply;
use crate::core::connection_share::ConnectionShare;
use crate::core::instance::Instance;
use crate::core::placement::{ReplicaKey, UNREGISTERED_GRACE};
use crate::core::route::Table;
use crate::prelude::*;

/// Connections to a leaf whose service the routes don't name.
const DEFAULT_CONNECTIONS: usize = 24;

/// Time that a connection is kept unused where the leaf names none.
const DEFAULT_KEEP: Duration = Duration::from_millis(400);

/// Kept connections end this much before the leaf ends them.
const KEEP_MARGIN: Duration = Duration::from_millis(700);

/// Connections to one leaf.
#[derive(Debug)]
pub(super) struct Pool {
    pub(super) key: ReplicaKey,
    pub(super) leaf: String,
    pub(super) address: SocketAddr,
    service: ServiceName,
    /// Kept connections, the one used last at the end, with their ends.
    idle: Vec<(usize, Instant)>,
    /// Open connections, kept or in use.
    pub(super) open: usize,
    share: ConnectionShare,
    /// Attempts that wait for a connection.
    waiting: VecDeque<AttemptId>,
}

impl Gateway {
    /// Takes over a version of the routes.
    pub(super) fn take_table(&mut self, table: Table) {
        let (version, routes) = (table.version, table.routes().len());
        info!("routes version={version} routes={routes} outcome=in-force");
        self.counts
            .version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        self.table = Some(Arc::new(table));
    }

    /// Takes over the leaves that are registered now.
    pub(super) fn take_leaves(&mut self, instances: &[Instance]) {
        self.leaves_known = true;
        let leaving = instances
            .iter()
            .filter(|instance| instance.is_leaving)
            .count();
        if (instances.len(), leaving) != self.registered {
            self.registered = (instances.len(), leaving);
            info!("leaves registered={} leaving={leaving}", instances.len());
        }
        let count = i64::try_from(instances.len()).unwrap_or(i64::MAX);
        self.counts.leaves.set(count);
        let lapsed = self.placement.update(instances, self.now);
        if lapsed {
            self.timers.add(self.now + UNREGISTERED_GRACE, Timer::Lapse);
        }
        self.drop_lapsed();
    }

    /// Forgets the leaves that are gone for good.
    pub(super) fn drop_lapsed(&mut self) {
        for key in self.placement.remove_unregistered(self.now) {
            let Ok(place) = self.search_pool(key) else {
                continue;
            };
            let pool = self.pools.remove(place);
            info!(
                "leaf leaf={} service={} event=gone",
                pool.leaf, pool.service
            );
            for (connection, _) in pool.idle {
                self.leaves.try_remove(connection);
            }
            for attempt in pool.waiting {
                self.deliver(attempt, Reply::Unreachable);
            }
        }
    }

    /// Gives an attempt a connection, or lets it wait for one.
    pub(super) fn dispatch(&mut self, attempt: AttemptId) {
        let Some(open) = self.attempts.get(&attempt) else {
            return;
        };
        let (key, service) = (open.replica, open.service.clone());
        let Some(place) = self.pool(key, &service) else {
            return self.deliver(attempt, Reply::Unreachable);
        };
        if let Some(connection) = self.take_idle(place) {
            return self.assign(connection, attempt);
        }
        let most = self.most_connections(place, &service);
        if self.pools[place].open < most {
            return self.open_leaf(place, attempt);
        }
        self.pools[place].waiting.push_back(attempt);
    }

    /// Forgets an attempt that waits for a connection.
    pub(super) fn unqueue(&mut self, key: ReplicaKey, attempt: AttemptId) {
        if let Ok(place) = self.search_pool(key) {
            self.pools[place]
                .waiting
                .retain(|waiting| *waiting != attempt);
        }
    }

    /// Keeps a connection for the next attempt.
    pub(super) fn keep(&mut self, connection: usize) {
        let leaf = &self.leaves[connection];
        let Ok(place) = self.search_pool(leaf.replica) else {
            self.leaves.remove(connection);
            return;
        };
        if let Some(attempt) = self.next_waiting(place) {
            return self.assign(connection, attempt);
        }
        let leaf = &self.leaves[connection];
        let keep = leaf.keep_alive.map_or(DEFAULT_KEEP, |time| {
            time.saturating_sub(KEEP_MARGIN).max(DEFAULT_KEEP)
        });
        let until = self.now + keep;
        let timer = Timer::Leaf(connection, leaf.serial);
        self.pools[place].idle.push((connection, until));
        self.timers.add(until, timer);
    }

    /// Notes that a connection has ended, and opens another for who waits.
    pub(super) fn connection_ended(&mut self, key: ReplicaKey, connection: usize) {
        let Ok(place) = self.search_pool(key) else {
            return;
        };
        let pool = &mut self.pools[place];
        pool.open = pool.open.saturating_sub(1);
        pool.idle.retain(|(idle, _)| *idle != connection);
        if let Some(attempt) = self.next_waiting(place) {
            self.dispatch(attempt);
        }
    }

    /// Returns whether a connection is kept, and until when.
    pub(super) fn kept_until(&self, key: ReplicaKey, connection: usize) -> Option<Instant> {
        let pool = &self.pools[self.search_pool(key).ok()?];
        let mut idle = pool.idle.iter();
        idle.find(|(idle, _)| *idle == connection)
            .map(|(_, until)| *until)
    }

    /// Returns the next attempt that still wants a connection.
    fn next_waiting(&mut self, place: usize) -> Option<AttemptId> {
        loop {
            let attempt = self.pools[place].waiting.pop_front()?;
            if self.attempts.contains_key(&attempt) {
                return Some(attempt);
            }
        }
    }

    fn take_idle(&mut self, place: usize) -> Option<usize> {
        let now = self.now;
        let pool = &mut self.pools[place];
        let last = pool.idle.iter().rposition(|(_, until)| now < *until)?;
        Some(pool.idle.remove(last).0)
    }

    fn open_leaf(&mut self, place: usize, attempt: AttemptId) {
        let serial = self.serial();
        let pool = &mut self.pools[place];
        let (replica, address) = (pool.key, pool.address);
        pool.open += 1;
        self.counts.leaf_connections.inc();
        match Leaf::connect(address, replica, serial, self.now) {
            Ok(leaf) => {
                let connection = self.leaves.insert(leaf);
                if self.register_leaf(connection) {
                    return self.assign(connection, attempt);
                }
                self.leaves.remove(connection);
            }
            Err(error) => info!("leaf address={address} event=connect-failed error=\"{error}\""),
        }
        let pool = &mut self.pools[place];
        pool.open -= 1;
        self.deliver(attempt, Reply::Unreachable);
    }

    fn most_connections(&self, place: usize, service: &str) -> usize {
        let table = self.table.as_ref();
        let granted = table.and_then(|table| table.max_connections(service));
        let granted = granted.unwrap_or(DEFAULT_CONNECTIONS);
        self.pools[place].share.max_connections(granted, self.now)
    }

    /// Notes that a leaf did not even answer late.
    pub(super) fn note_silent(&mut self, key: ReplicaKey) {
        let Ok(place) = self.search_pool(key) else {
            return;
        };
        let service = &self.pools[place].service;
        self.placement.record_unresponsive(service, key, self.now);
        if self.placement.is_in_other_domain(service, key) {
            self.isolation.on_attempt(false);
        }
    }

    /// Notes that a connection broke before its first answer, so long after it
    /// was open.
    pub(super) fn broke_unanswered(&mut self, key: ReplicaKey, open_for: Duration) {
        if let Ok(place) = self.search_pool(key) {
            self.pools[place]
                .share
                .on_connection_lost(open_for, self.now);
        }
    }

    fn search_pool(&self, key: ReplicaKey) -> Result<usize, usize> {
        self.pools.binary_search_by_key(&key, |pool| pool.key)
    }

    /// Returns the place of a leaf's pool, made where there is none yet.
    fn pool(&mut self, key: ReplicaKey, service: &ServiceName) -> Option<usize> {
        match self.search_pool(key) {
            Ok(place) => Some(place),
            Err(place) => {
                let replica = self.placement.replica(service, key)?;
                let pool = Pool {
                    key,
                    leaf: replica.instance.id.clone(),
                    address: replica.instance.address,
                    service: service.clone(),
                    idle: Vec::new(),
                    open: 0,
                    share: ConnectionShare::default(),
                    waiting: VecDeque::new(),
                };
                self.pools.insert(place, pool);
                Some(place)
            }
        }
    }
}
