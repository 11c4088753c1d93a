//! `show` statements on the replicated state.

use std::net;

use crate::{consensus, control, ids, language, state};

impl control::Voter {
    pub(super) fn show(&self, show: language::Show) -> control::Table {
        match show {
            language::Show::Members => show_members(&self.replica.status(), &self.addresses()),
            language::Show::History => show_history(&self.state),
            _ => control::Table::default(),
        }
    }
}

fn show_members(
    status: &consensus::Status,
    addresses: &[(ids::NodeId, net::SocketAddr)],
) -> control::Table {
    let mut table = control::Table::new(&["vm", "kind", "address", "role", "matched"]);
    for member in status.members.iter() {
        let address = addresses.iter().find(|(node, _)| *node == member.node);
        let address = address.map_or("unknown".to_owned(), |(_, address)| address.to_string());
        let leads = status.leader == Some(member.node);
        let role = if leads { "leader" } else { "follower" };
        let follower = status
            .followers
            .iter()
            .find(|follower| follower.node == member.node);
        let matched = follower.map_or(status.last_index, |follower| follower.match_index);
        let kind = format!("{:?}", member.kind).to_lowercase();
        table.push(&[&member.node, &kind, &address, &role, &matched]);
    }
    table
}

fn show_history(state: &state::ControlState) -> control::Table {
    let mut table = control::Table::new(&["revision", "operator", "number", "change"]);
    for record in state.history.iter() {
        let change = format!("{:?}", record.change);
        table.push(&[&record.revision, &record.operator, &record.number, &change]);
    }
    table
}
