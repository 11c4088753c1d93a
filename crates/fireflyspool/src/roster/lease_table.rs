//! Outstanding leases.

use std::time;

use super::{holder_key, lease};
use crate::{ids, roster, sorted};

/// Outstanding leases of this term, by holder.
#[derive(Clone, Debug, Default)]
pub(super) struct LeaseTable {
    leases: sorted::SortedMap<holder_key::HolderKey, lease::Lease>,
}

impl LeaseTable {
    /// Extends a lease; returns whether the request is newer than those handled before.
    pub(super) fn renew(
        &mut self,
        key: holder_key::HolderKey,
        request: &roster::RenewRequest,
        until: time::Instant,
    ) -> bool {
        let lease = self.leases.get_or_insert_with(key, || lease::Lease {
            until,
            revision: request.revision,
            number: 0,
            servers: Vec::new(),
        });
        lease.until = lease.until.max(until);
        lease.revision = lease.revision.max(request.revision);
        let newer = request.number > lease.number;
        lease.number = lease.number.max(request.number);
        newer
    }

    /// Backend servers that a holder holds or has claimed to hold.
    pub(super) fn servers(&self, key: holder_key::HolderKey) -> Vec<ids::ServerName> {
        let lease = self.leases.get(&key);
        lease.map_or_else(Vec::new, |lease| lease.servers.clone())
    }

    /// Records that a holder holds a backend server, or claims to.
    pub(super) fn add_server(&mut self, key: holder_key::HolderKey, server: &str) {
        if let Some(lease) = self.leases.get_mut(&key)
            && let Err(position) = lease
                .servers
                .binary_search_by(|name| name.as_str().cmp(server))
        {
            lease.servers.insert(position, server.to_owned());
        }
    }

    /// Records that a holder no longer holds a backend server.
    pub(super) fn remove_server(&mut self, key: holder_key::HolderKey, server: &str) {
        if let Some(lease) = self.leases.get_mut(&key) {
            lease.servers.retain(|name| name != server);
        }
    }

    /// Removes and returns the leases that have expired.
    pub(super) fn take_expired(
        &mut self,
        now: time::Instant,
    ) -> Vec<(holder_key::HolderKey, lease::Lease)> {
        let mut expired = Vec::new();
        self.leases.retain(|key, lease| {
            let valid = now < lease.until;
            if !valid {
                expired.push((*key, lease.clone()));
            }
            valid
        });
        expired
    }

    /// Earliest expiry of a lease.
    pub(super) fn next_expiry(&self) -> Option<time::Instant> {
        self.leases.values().map(|lease| lease.until).min()
    }

    /// Latest expiry and nodes of the valid leases whose holders have not confirmed a
    /// revision; `None` if there are none.
    pub(super) fn lagging(
        &self,
        revision: ids::Revision,
        now: time::Instant,
    ) -> Option<(time::Instant, Vec<ids::NodeId>)> {
        let lagging = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.revision < revision && now < lease.until);
        let mut until = None;
        let mut nodes = Vec::new();
        for (key, lease) in lagging {
            until = until.max(Some(lease.until));
            nodes.push(key.node);
        }
        nodes.dedup();
        Some((until?, nodes))
    }
}
