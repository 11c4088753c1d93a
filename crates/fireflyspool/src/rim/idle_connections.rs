//! Idle connections to backend servers.

use std::{net, sync, time};

use crate::rim::forward_connection;
use crate::{sorted, timer};

/// Time for which an idle connection is kept. Servers close theirs later, so a
/// request rarely meets a connection that is being closed.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// Idle connections kept for each backend server.
const MAX_IDLE_CONNECTIONS: usize = 4;

type IdleConnection = forward_connection::ForwardConnection<forward_connection::Idle>;

#[derive(Default)]
struct State {
    /// Connections by backend server, the most recently used one last.
    idle: sorted::SortedMap<net::SocketAddr, Vec<IdleConnection>>,
    /// Whether the removal of expired connections is scheduled.
    scheduled: bool,
}

/// Keeps connections for reuse until they have been idle for [`IDLE_TIMEOUT`].
pub(super) struct IdleConnections {
    timer: timer::TimerService,
    state: sync::Mutex<State>,
}

impl IdleConnections {
    /// Creates an empty pool; `timer` removes expired connections.
    pub(super) fn new(timer: timer::TimerService) -> Self {
        Self {
            timer,
            state: sync::Mutex::default(),
        }
    }

    /// Removes and returns the most recently used connection to a server.
    pub(super) fn take(&self, address: net::SocketAddr) -> Option<IdleConnection> {
        self.lock().idle.get_mut(&address)?.pop()
    }

    /// Whether a connection to a server is kept that the server has not closed.
    pub(super) fn contains(&self, address: net::SocketAddr) -> bool {
        let mut state = self.lock();
        let kept = state.idle.get_mut(&address);
        kept.is_some_and(|connections| {
            connections.retain_mut(forward_connection::ForwardConnection::is_alive);
            !connections.is_empty()
        })
    }

    /// Keeps a connection, unless `kept` or enough of the same server are kept.
    pub(super) fn put(
        self: &sync::Arc<Self>,
        address: net::SocketAddr,
        connection: IdleConnection,
        kept: usize,
    ) {
        let mut state = self.lock();
        let connections = state.idle.get_or_insert_with(address, Vec::new);
        if connections.len() < kept.min(MAX_IDLE_CONNECTIONS) {
            connections.push(connection);
        }
        if !state.scheduled {
            state.scheduled = true;
            drop(state);
            self.schedule(time::Instant::now() + IDLE_TIMEOUT);
        }
    }

    fn schedule(self: &sync::Arc<Self>, at: time::Instant) {
        let pool = sync::Arc::downgrade(self);
        self.timer.subscribe(at, move || {
            if let Some(pool) = pool.upgrade() {
                pool.remove_expired(time::Instant::now());
            }
        });
    }

    fn remove_expired(self: &sync::Arc<Self>, now: time::Instant) {
        let mut state = self.lock();
        let expiry = |connection: &IdleConnection| connection.idle_since() + IDLE_TIMEOUT;
        state.idle.retain(|_, connections| {
            connections.retain(|connection| expiry(connection) > now);
            !connections.is_empty()
        });
        let next = state.idle.values().flatten().map(expiry).min();
        state.scheduled = next.is_some();
        drop(state);
        if let Some(next) = next {
            self.schedule(next);
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        // A panic under this lock leaves no change half done.
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
