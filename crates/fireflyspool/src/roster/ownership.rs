//! Selection of the owner of each backend server.

use super::{assignment, candidate, member_table, placement, server_table};
use crate::ids;

/// One optional move at a time is allowed per this many backend servers.
///
/// A move is optional if it only improves balance or returns a backend server to its zone.
/// A moving backend server has no owner for about two renewal intervals.
const SERVERS_PER_MOVE: usize = 32;

/// Target owner of every announced backend server; `None` if it gets none.
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
        Some(assignment::Assignment {
            server: &announcement.server,
            service: &announcement.service,
            zone: &announcement.zone,
            hosted: &announcement.hosted,
            zone_out: is_out(&announcement.zone),
            owner: state.target.or(state.holder.map(|holder| holder.node)),
        })
    });
    let assignments: Vec<_> = live.collect();
    let moving = servers.states.values().filter(|state| state.is_moving());
    let budget = (assignments.len() / SERVERS_PER_MOVE).max(1);
    let budget = budget.saturating_sub(moving.count());
    let assignments = placement::Placement::run(candidates.collect(), assignments, budget);
    let target =
        |assignment: &assignment::Assignment<'_>| (assignment.server.to_owned(), assignment.owner);
    assignments.iter().map(target).collect()
}
