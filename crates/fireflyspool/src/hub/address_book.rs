//! Addresses for callers.

use std::net;

use crate::hub;

/// Most addresses in one answer.
const MAX_ADDRESSES: usize = 64;

/// Least number of entry VMs in the caller's zone for an answer without others.
///
/// A single address would leave the caller without a choice if it fails.
const MIN_ZONE_ADDRESSES: usize = 2;

/// Entry VMs that may be named to callers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AddressBook {
    /// Ready entry VMs.
    pub members: Vec<hub::Member>,
}

impl AddressBook {
    /// Addresses for a caller: of its zone, else of its region, else all.
    pub fn answer(&self, query: &hub::AddressQuery) -> Vec<net::SocketAddr> {
        let select = |keep: &dyn Fn(&hub::Member) -> bool| -> Vec<_> {
            let kept = self.members.iter().filter(|member| keep(member));
            kept.map(|member| member.callers).collect()
        };
        let mut addresses = select(&|member| member.zone == query.zone);
        if addresses.len() < MIN_ZONE_ADDRESSES {
            addresses = select(&|member| member.region == query.region);
        }
        if addresses.is_empty() {
            addresses = select(&|_| true);
        }
        addresses.truncate(MAX_ADDRESSES);
        addresses
    }
}
