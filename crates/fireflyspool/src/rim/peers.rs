//! Connections to the other processes of the tier.

use std::{net, sync};

use crate::{ids, rim, settings, sorted};

/// Holds one [`rim::Peer`] for each VM that has been called.
///
/// The lock guards the table only and is never held across a call.
pub struct Peers {
    key: Option<settings::SharedKey>,
    table: sync::RwLock<sorted::SortedMap<ids::NodeId, sync::Arc<rim::Peer>>>,
}

impl Peers {
    /// Creates a table without connections.
    pub fn new(key: Option<settings::SharedKey>) -> Self {
        Self {
            key,
            table: sync::RwLock::default(),
        }
    }

    /// Returns the connection to a VM; a changed address replaces the old connection.
    pub fn get(&self, node: ids::NodeId, address: net::SocketAddr) -> sync::Arc<rim::Peer> {
        let table = self
            .table
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if let Some(peer) = table.get(&node)
            && peer.address() == address
        {
            return sync::Arc::clone(peer);
        }
        drop(table);
        let peer = sync::Arc::new(rim::Peer::new(address, self.key.clone()));
        let mut table = self
            .table
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        table.insert(node, sync::Arc::clone(&peer));
        peer
    }
}
