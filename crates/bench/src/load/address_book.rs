//! Addresses that a caller knows.

use std::{net, time};

use fireflyspool::{directory, ids, sorted};

/// Time for which an address that refused a connection is put last.
const AVOID_TIME: time::Duration = time::Duration::from_secs(1);

/// Cached address responses of one caller.
#[derive(Clone, Debug, Default)]
pub struct AddressBook {
    services: sorted::SortedMap<ids::ServiceName, (Vec<net::SocketAddr>, time::Instant)>,
    avoided: sorted::SortedMap<net::SocketAddr, time::Instant>,
}

impl AddressBook {
    /// Keeps a response for its lifetime.
    pub fn store(&mut self, answer: directory::AddressList, now: time::Instant) {
        let until = now + time::Duration::from_millis(answer.lifetime_ms);
        self.services
            .insert(answer.service, (answer.addresses, until));
    }

    /// Whether a response for the service is kept and its lifetime has not passed.
    pub fn is_fresh(&self, service: &str, now: time::Instant) -> bool {
        let known = self.services.get(service);
        known.is_some_and(|(addresses, until)| !addresses.is_empty() && now < *until)
    }

    /// Puts an address last for a while.
    pub fn avoid(&mut self, address: net::SocketAddr, now: time::Instant) {
        self.avoided.insert(address, now + AVOID_TIME);
    }

    /// Addresses in the order in which to try them; expired ones if there are no others.
    pub fn candidates(&self, service: &str, now: time::Instant) -> Vec<net::SocketAddr> {
        let known = self.services.get(service);
        let mut addresses = known.map_or_else(Vec::new, |known| known.0.clone());
        addresses
            .sort_by_key(|address| self.avoided.get(address).is_some_and(|until| now < *until));
        addresses
    }
}
