//! Entry VM addresses for callers.

use std::net;

use crate::{hashing, hub, sorted};

/// Most addresses in one answer.
const MAX_ADDRESSES: usize = 64;

/// Fewest entry VMs in the caller's zone for an answer limited to that zone.
///
/// With a single address, the caller would have no alternative when it fails.
const MIN_ZONE_ADDRESSES: usize = 2;

/// Entry VMs of each zone to which another one may delegate groups of shards. With several,
/// one that fails or is busy leaves others; with few, connections to them are used again.
const DELEGATES_PER_ZONE: usize = 4;

/// Entry VMs whose addresses callers may get.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AddressBook {
    /// Live entry VMs that are ready, ascending by address.
    pub members: Vec<hub::Member>,
}

impl AddressBook {
    /// Addresses for a caller: those of its zone, else of its region, else all.
    ///
    /// If there are too many, those with the lowest hashes for the caller's zone: callers of
    /// one zone keep the same ones, and those of several zones spread over all.
    pub fn answer(&self, query: &hub::AddressQuery) -> Vec<net::SocketAddr> {
        let select = |keep: &dyn Fn(&hub::Member) -> bool| -> Vec<_> {
            let kept = self.members.iter().filter(|member| keep(member));
            kept.map(|member| (self.rank(query, member), member.callers))
                .collect()
        };
        let mut addresses = select(&|member| member.zone == query.zone);
        if addresses.len() < MIN_ZONE_ADDRESSES {
            addresses = select(&|member| member.region == query.region);
        }
        if addresses.is_empty() {
            addresses = select(&|_| true);
        }
        if addresses.len() > MAX_ADDRESSES {
            addresses.sort_unstable();
            addresses.truncate(MAX_ADDRESSES);
        }
        addresses.into_iter().map(|(_, address)| address).collect()
    }

    /// Entry VMs of the same region to which `member` may delegate, preferred ones first.
    ///
    /// Rendezvous hashing spreads the entry VMs evenly over those that delegate, and changes
    /// few of them when one fails.
    pub fn delegates(&self, member: &hub::Member) -> Vec<hub::Delegate> {
        let hasher = hashing::StableHasher::new().number(member.incarnation);
        let others = self.members.iter().filter(|other| {
            other.region == member.region && other.incarnation != member.incarnation
        });
        let mut zones = sorted::SortedMap::new();
        for other in others {
            let Some(listener) = other.listener else {
                continue;
            };
            let rank = hasher.number(other.incarnation).finish();
            zones
                .get_or_insert_with(other.zone.as_str(), Vec::new)
                .push((rank, listener, other));
        }
        let mut delegates = Vec::new();
        for (zone, ranked) in zones.iter_mut() {
            ranked.sort_unstable_by_key(|(rank, listener, _)| (*rank, *listener));
            let preferred = ranked.iter().take(DELEGATES_PER_ZONE);
            delegates.extend(preferred.map(|(_, listener, other)| hub::Delegate {
                listener: *listener,
                zone: (*zone).to_owned(),
                incarnation: other.incarnation,
            }));
        }
        delegates
    }

    fn rank(&self, query: &hub::AddressQuery, member: &hub::Member) -> u64 {
        let hasher = hashing::StableHasher::new().text(&query.zone);
        hasher.number(member.incarnation).finish()
    }
}
