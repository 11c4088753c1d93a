//! Backend servers of a service that this VM owns.

use crate::dispatch::server;
use crate::{ids, sorted};

/// Index of a backend server in the fleet; reused after its removal.
pub(super) type ServerKey = usize;

/// Owned backend servers by key and by name.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    // A vector, because placement reads many servers per event.
    servers: Vec<Option<server::Server>>,
    names: sorted::SortedMap<ids::ServerName, ServerKey>,
}

impl Fleet {
    pub(super) fn find(&self, name: &str) -> Option<ServerKey> {
        self.names.get(name).copied()
    }

    pub(super) fn get(&self, key: ServerKey) -> Option<&server::Server> {
        self.servers.get(key)?.as_ref()
    }

    pub(super) fn get_mut(&mut self, key: ServerKey) -> Option<&mut server::Server> {
        self.servers.get_mut(key)?.as_mut()
    }

    pub(super) fn insert(&mut self, server: server::Server) -> ServerKey {
        let name = server.core().name.clone();
        let free = self.servers.iter().position(Option::is_none);
        let key = free.unwrap_or(self.servers.len());
        if key == self.servers.len() {
            self.servers.push(Some(server));
        } else {
            self.servers[key] = Some(server);
        }
        self.names.insert(name, key);
        key
    }

    pub(super) fn remove(&mut self, key: ServerKey) -> Option<server::Server> {
        let server = self.servers.get_mut(key)?.take()?;
        self.names.remove(&server.core().name);
        Some(server)
    }

    /// Applies a life cycle transition to a server.
    pub(super) fn transform(
        &mut self,
        key: ServerKey,
        transition: impl FnOnce(server::Server) -> server::Server,
    ) {
        if let Some(server) = self.servers.get_mut(key) {
            *server = server.take().map(transition);
        }
    }

    pub(super) fn keys(&self) -> Vec<ServerKey> {
        self.names.values().copied().collect()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &server::Server> {
        self.servers.iter().flatten()
    }
}
