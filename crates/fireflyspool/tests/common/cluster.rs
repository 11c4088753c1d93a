//! Simulated cluster of lease holders and one leader, without faults, that advances in
//! rounds of one renewal interval.

use std::time;

use fireflyspool::{backend, lease, roster, state, view};

pub(crate) struct Cluster {
    pub(crate) now: time::Instant,
    pub(crate) control: state::ControlState,
    pub(crate) leader: roster::Roster,
    pub(crate) holders: Vec<lease::Holder>,
    pub(crate) servers: Vec<backend::Announcement>,
    /// Time that the leader took for renewals.
    pub(crate) leader_time: time::Duration,
    /// Size of the last renewal request as JSON.
    pub(crate) request_bytes: usize,
    /// Size of the last reply as JSON.
    pub(crate) grant_bytes: usize,
    zones: u64,
}

impl Cluster {
    /// Spreads members and backend servers evenly over zones, with three replicas of each
    /// shard, in different zones if there are enough.
    pub(crate) fn new(members: u64, servers: u64, zones: u64) -> Self {
        let now = time::Instant::now();
        let mut cluster = Self {
            now,
            control: state::ControlState::default(),
            leader: roster::Roster::new(1, now, roster::Config::default()),
            holders: Vec::new(),
            servers: (0..servers)
                .map(|number| announcement(number, zones))
                .collect(),
            leader_time: time::Duration::ZERO,
            request_bytes: 0,
            grant_bytes: 0,
            zones,
        };
        (1..=members).for_each(|node| cluster.join(node));
        cluster
    }

    pub(crate) fn join(&mut self, node: u64) {
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 7_000));
        let member = view::Member {
            node,
            incarnation: 0x5eed_5eed_5eed_0000 + node,
            zone: format!("z{}", node % self.zones),
            http: address,
            rpc: address,
            leaving: false,
            load: 100,
        };
        let holder = lease::Holder::new(member, lease::Config::default());
        self.holders.push(holder);
    }

    /// Renews every lease once; before that, each backend server announces itself to a holder.
    pub(crate) fn round(&mut self) {
        self.now += roster::RENEWAL_INTERVAL;
        let count = self.holders.len();
        for (index, server) in self.servers.iter_mut().enumerate() {
            server.sequence += 1;
            self.holders[index % count].handle_announcement(server, self.now);
        }
        for index in 0..count {
            self.renew(index);
        }
    }

    pub(crate) fn rounds(&mut self, count: usize) {
        (0..count).for_each(|_| self.round());
    }

    pub(crate) fn renew(&mut self, index: usize) {
        let holder = &mut self.holders[index];
        let request = holder.request(self.now);
        self.request_bytes = bytes(&request);
        let start = time::Instant::now();
        let grant = self.leader.renew(&request, &self.control, self.now);
        self.leader_time += start.elapsed();
        let reply = roster::RenewReply::Granted(grant);
        self.grant_bytes = bytes(&reply);
        holder.reply(reply, self.now, self.now);
        for server in holder.to_release() {
            holder.mark_released(&server);
        }
    }

    pub(crate) fn command(&mut self, number: u64, change: state::Change) {
        let command = state::Command {
            operator: "ann".to_owned(),
            number,
            expected: None,
            change: state::Operation::Change(change),
        };
        let stamped = 0;
        self.control
            .apply(&state::Entry::Command { command, stamped });
    }

    /// Owner of each backend server, in the order of their names.
    pub(crate) fn owners(&self) -> Vec<Option<u64>> {
        self.leader.servers().map(|record| record.owner).collect()
    }

    /// Smallest and greatest number of backend servers that a member owns.
    pub(crate) fn share_range(&self) -> (usize, usize) {
        let owners = self.owners();
        let nodes = self.leader.members().filter(|member| !member.leaving);
        let share = |node| owners.iter().filter(|owner| **owner == Some(node)).count();
        let shares: Vec<usize> = nodes.map(|member| share(member.node)).collect();
        let least = shares.iter().min().copied().unwrap_or(0);
        (least, shares.iter().max().copied().unwrap_or(0))
    }
}

/// Counts the backend servers whose owner changed.
pub(crate) fn count_moved(before: &[Option<u64>], after: &[Option<u64>]) -> usize {
    let pairs = before.iter().zip(after);
    pairs.filter(|(before, after)| before != after).count()
}

pub(crate) fn bytes(message: &impl serde::Serialize) -> usize {
    serde_json::to_vec(message).map_or(0, |json| json.len())
}

fn announcement(number: u64, zones: u64) -> backend::Announcement {
    backend::Announcement {
        server: format!("award-ledger-{number:04}"),
        incarnation: 1_700_000_000_000 + number,
        sequence: 100_000,
        service: "award-ledger".to_owned(),
        zone: format!("z{}", number % zones),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 8_000)),
        slots: 2,
        connections: 55,
        phase: backend::Phase::Ready,
        hosted: vec![backend::HostedShard {
            collection: "awards-2026".to_owned(),
            version: 17,
            shard: (number / 3) as u32,
        }],
        load: backend::Load::default(),
    }
}
