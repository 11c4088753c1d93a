//! Ranking of entry VMs for one caller.

use std::net;

use crate::{directory, hashing, state, view};

/// Addresses in one list: the preferred one and two fallbacks.
const LIST_LENGTH: usize = 3;

/// Least weight in permille. A member under full load keeps some callers, so that
/// its load still shows in their latency and it does not lose all of them at once.
const MIN_WEIGHT: u32 = 50;

/// Load in permille that counts as full.
const FULL_LOAD: u32 = 1_000;

/// Ranks the live entry VMs for one caller of one service.
///
/// Members that are leaving or in a zone taken out are listed only if there are
/// no others. The first addresses are in different zones where possible.
pub fn entry_addresses(service: &str, caller: &str, view: &view::View) -> directory::AddressList {
    let ranked = rank(service, caller, view);
    let lifetime_ms = view.catalog.number(state::ConfigKey::AddressLifetime);
    directory::AddressList {
        service: service.to_owned(),
        addresses: spread_over_zones(&ranked),
        lifetime_ms,
    }
}

/// Addresses of the other entry VMs, for a caller that this VM refuses.
pub fn fallback_addresses(service: &str, caller: &str, view: &view::View) -> Vec<net::SocketAddr> {
    let ranked: Vec<_> = rank(service, caller, view)
        .into_iter()
        .filter(|member| member.node != view.node)
        .collect();
    spread_over_zones(&ranked)
}

fn rank<'a>(service: &str, caller: &str, view: &'a view::View) -> Vec<&'a view::Member> {
    let usable =
        |member: &&view::Member| !member.leaving && !view.catalog.is_zone_out(&member.zone);
    let mut members: Vec<_> = view.members.values().filter(usable).collect();
    if members.is_empty() {
        members = view.members.values().collect();
    }
    let mut scored: Vec<_> = members
        .into_iter()
        .map(|member| (score(service, caller, member), member))
        .collect();
    scored.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.node.cmp(&b.1.node)));
    scored.into_iter().map(|(_, member)| member).collect()
}

/// Score of a member in weighted rendezvous hashing; the lowest one is preferred.
///
/// It is an exponential variate divided by the weight, so each member comes first
/// with a probability in proportion to its weight, and a change of one weight
/// moves only callers to or from that member.
fn score(service: &str, caller: &str, member: &view::Member) -> f64 {
    let hash = hashing::StableHasher::new()
        .text(service)
        .text(caller)
        .number(member.node)
        .finish();
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    let weight = FULL_LOAD.saturating_sub(member.load).max(MIN_WEIGHT);
    -uniform.ln() / f64::from(weight)
}

fn spread_over_zones(ranked: &[&view::Member]) -> Vec<net::SocketAddr> {
    let mut zones: Vec<&str> = Vec::new();
    let mut first = Vec::new();
    let mut rest = Vec::new();
    for member in ranked {
        if zones.contains(&member.zone.as_str()) {
            rest.push(member.http);
        } else {
            zones.push(&member.zone);
            first.push(member.http);
        }
    }
    first.extend(rest);
    first.truncate(LIST_LENGTH);
    first
}
