//! Connections to endpoints that wait for their next request.

use super::upstream_connection::UpstreamConnection;
use crate::clock::{now, Micros};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Of the time after which an endpoint closes idle connections so much is used: what is sent while it closes may have run,
/// and a request that is not idempotent can't be sent again.
const USED_KEEP_ALIVE: f64 = 0.6;
/// Where an endpoint does not say, a connection is kept for so long.
const DEFAULT_KEEP_ALIVE: Micros = 4_000_000;

struct IdleConnection {
    connection: UpstreamConnection,
    expires_at: Micros,
}

/// Idle connections by the ids of their endpoints: an address passes to another endpoint, an id never does.
#[derive(Default)]
pub(super) struct ConnectionPool {
    idle: HashMap<Arc<str>, VecDeque<IdleConnection>>,
}

impl ConnectionPool {
    /// Takes the connection that has been idle longest: what an endpoint sent too much or too late has come by then, and has
    /// ended the connection.
    pub(super) fn take(&mut self, endpoint: &str) -> Option<UpstreamConnection> {
        let (connections, now) = (self.idle.get_mut(endpoint)?, now());
        while let Some(idle) = connections.pop_front() {
            if now < idle.expires_at && idle.connection.is_ready() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Keeps a connection; `keep_alive` is the time after which its endpoint says that it closes it.
    pub(super) fn put(
        &mut self,
        endpoint: Arc<str>,
        connection: UpstreamConnection,
        keep_alive: Option<Micros>,
    ) {
        let used = |keep_alive| (keep_alive as f64 * USED_KEEP_ALIVE) as Micros;
        let idle = IdleConnection {
            connection,
            expires_at: now() + keep_alive.map_or(DEFAULT_KEEP_ALIVE, used),
        };
        self.idle.entry(endpoint).or_default().push_back(idle);
    }

    /// Closes all idle connections of an endpoint.
    pub(super) fn remove_endpoint(&mut self, endpoint: &str) {
        self.idle.remove(endpoint);
    }

    /// Closes what has been idle for too long.
    pub(super) fn remove_expired(&mut self) {
        let now = now();
        self.idle.retain(|_, connections| {
            connections.retain(|idle| now < idle.expires_at && !idle.connection.is_closed());
            !connections.is_empty()
        });
    }
}
