//! Which entry VM shall own which backend server.

use super::{candidate, member_table, placement, seat, server_table};
use crate::ids;

/// Moves of ownership at one time that only improve balance: one in this many backend servers.
///
/// A moved backend server has no owner for about two renewals.
const MOVE_SHARE: usize = 32;

/// Chosen owner of every announced backend server.
pub(super) fn targets(
    members: &member_table::MemberTable,
    servers: &server_table::ServerTable,
    zones_out: &[ids::ZoneName],
) -> Vec<(ids::ServerName, Option<ids::NodeId>)> {
    let is_out = |zone: &str| zones_out.iter().any(|out| out == zone);
    let usable = members.iter().filter(|member| !member.leaving);
    let candidates = usable.map(|member| candidate::Candidate {
        node: member.node,
        zone: &member.zone,
        zone_out: is_out(&member.zone),
    });
    let live = servers.states.values().filter_map(|state| {
        let announcement = state.announcement.as_ref()?;
        Some(seat::Seat {
            server: &announcement.server,
            service: &announcement.service,
            zone: &announcement.zone,
            hosted: &announcement.hosted,
            out: is_out(&announcement.zone),
            owner: state.target.or(state.holder.map(|holder| holder.node)),
        })
    });
    let seats: Vec<_> = live.collect();
    let moving = servers.states.values().filter(|state| state.is_moving());
    let budget = (seats.len() / MOVE_SHARE).max(1);
    let budget = budget.saturating_sub(moving.count());
    let seats = placement::Placement::run(candidates.collect(), seats, budget);
    let owned = |seat: &seat::Seat<'_>| (seat.server.to_owned(), seat.owner);
    seats.iter().map(owned).collect()
}
