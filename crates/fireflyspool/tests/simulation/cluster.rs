//! Group of simulated nodes.

use std::time;

use fireflyspool::{consensus, ids};

use crate::simulation;
use crate::simulation::node;

/// Most messages queued at a paused node; more are dropped, as by a full socket buffer.
const MAX_INBOX_MESSAGES: usize = 200;

pub(crate) struct Cluster {
    pub(crate) base: time::Instant,
    /// Virtual time in milliseconds.
    pub(crate) now: u64,
    pub(crate) founders: u64,
    pub(crate) nodes: Vec<simulation::Node>,
    pub(crate) network: simulation::Network,
    pub(crate) oracle: simulation::Oracle,
    pub(crate) rng: simulation::Splitmix,
    pub(crate) next_ticket: ids::Ticket,
    next_incarnation: ids::Incarnation,
    /// Founders that lost their disk and were initialized as founders again.
    reinitialized: u64,
}

impl Cluster {
    /// A group of founding members, and two more nodes that may join.
    pub(crate) fn new(seed: u64, founders: u64) -> Self {
        let founding: Vec<_> = (1..=founders).collect();
        let node = |number| {
            let list = if number <= founders {
                founding.clone()
            } else {
                Vec::new()
            };
            simulation::Node::new(number, 1000 + number, list)
        };
        let mut cluster = Self {
            base: time::Instant::now(),
            now: 0,
            founders,
            nodes: (1..=founders + 2).map(node).collect(),
            network: simulation::Network::new(seed),
            oracle: simulation::Oracle::default(),
            rng: simulation::Splitmix(!seed),
            next_ticket: 1,
            next_incarnation: 2000,
            reinitialized: 0,
        };
        for at in 0..cluster.nodes.len() {
            cluster.restart(at);
        }
        cluster
    }

    pub(crate) fn instant(&self) -> time::Instant {
        self.base + time::Duration::from_millis(self.now)
    }

    pub(crate) fn leader(&self) -> Option<usize> {
        let leads = |node: &simulation::Node| {
            let process = node.process.as_ref();
            !node.paused && process.is_some_and(|process| process.replica.is_leader())
        };
        self.nodes.iter().position(leads)
    }

    pub(crate) fn restart(&mut self, at: usize) {
        if self.nodes[at].process.is_none() {
            let entropy = self.rng.next();
            let now = self.instant();
            let actions = self.nodes[at].start(now, entropy);
            self.execute(at, actions);
        }
    }

    pub(crate) fn crash(&mut self, at: usize, tail: simulation::Tail) {
        let cut = self.rng.next();
        self.nodes[at].crash(tail, cut);
    }

    /// Replaces a disk by an empty one with a new incarnation.
    pub(crate) fn lose_disk(&mut self, at: usize, joining: bool) {
        let number = self.nodes[at].node;
        let may_found = number <= self.founders && self.reinitialized < (self.founders - 1) / 2;
        let founding = if !joining && may_found {
            self.reinitialized += 1;
            (1..=self.founders).collect()
        } else {
            Vec::new()
        };
        self.next_incarnation += 1;
        self.nodes[at] = simulation::Node::new(number, self.next_incarnation, founding);
        self.nodes[at].disk_lost = true;
        self.restart(at);
    }

    pub(crate) fn resume(&mut self, at: usize) {
        if self.nodes[at].paused {
            self.nodes[at].paused = false;
            let mut events = std::mem::take(&mut self.nodes[at].inbox);
            events.push(consensus::Event::Timer);
            self.handle_events(at, events);
        }
    }

    pub(crate) fn propose(&mut self, at: usize) -> ids::Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let payload = ticket.to_string().into_bytes();
        self.handle_events(at, vec![consensus::Event::Propose { ticket, payload }]);
        ticket
    }

    pub(crate) fn change_members(&mut self, at: usize, change: consensus::MembershipChange) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.handle_events(at, vec![consensus::Event::ChangeMembers { ticket, change }]);
    }

    pub(crate) fn compact(&mut self, at: usize) {
        if let Some(process) = &self.nodes[at].process {
            let index = process.applied;
            let snapshot = serde_json::to_vec(&process.state).expect("a state can be encoded");
            self.handle_events(at, vec![consensus::Event::Compact { index, snapshot }]);
        }
    }

    /// Advances virtual time, delivers messages and fires timers.
    pub(crate) fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        let mut ticks = 0;
        loop {
            let timers = self.nodes.iter().filter(|node| !node.paused);
            let timers = timers.filter_map(|node| node.process.as_ref()?.timer);
            let next = timers.chain(self.network.next()).min();
            let Some(next) = next.filter(|next| *next <= end) else {
                break;
            };
            ticks += 1;
            // A message takes at least a millisecond, and timers are set to later times.
            assert!(
                ticks <= 3 * (millis + 1),
                "virtual time does not advance: {:?}",
                self.timers()
            );
            self.now = self.now.max(next);
            self.tick();
        }
        self.now = end;
        self.check_grants();
    }

    pub(crate) fn timers(&self) -> Vec<(u64, Option<u64>, consensus::Status)> {
        let processes = self.nodes.iter().filter_map(|node| node.process.as_ref());
        let timer = |process: &node::Process| (self.now, process.timer, process.replica.status());
        processes.map(timer).collect()
    }

    fn tick(&mut self) {
        let mut batches: Vec<Vec<consensus::Event>> = vec![Vec::new(); self.nodes.len()];
        for envelope in self.network.take_arrived(self.now) {
            let at = usize::try_from(envelope.to - 1).expect("numbers are small");
            batches[at].push(consensus::Event::Received(envelope));
        }
        for (at, mut batch) in batches.into_iter().enumerate() {
            let node = &mut self.nodes[at];
            if node.paused {
                let room = MAX_INBOX_MESSAGES.saturating_sub(node.inbox.len());
                node.inbox.extend(batch.into_iter().take(room));
                continue;
            }
            let Some(process) = &mut node.process else {
                continue;
            };
            if process.timer.is_some_and(|timer| timer <= self.now) {
                process.timer = None;
                batch.push(consensus::Event::Timer);
            }
            if !batch.is_empty() {
                self.handle_events(at, batch);
            }
        }
    }

    /// Handles events and executes their actions as one batch, as the control thread does.
    pub(crate) fn handle_events(&mut self, at: usize, events: Vec<consensus::Event>) {
        let now = self.instant();
        let node = &mut self.nodes[at];
        let Some(process) = &mut node.process else {
            return;
        };
        if node.paused {
            node.inbox.extend(events);
            return;
        }
        let mut actions = Vec::new();
        for event in events {
            let entropy = self.rng.next();
            let handled = process.replica.handle(event, now, entropy);
            self.oracle.check_single_change(process, &handled);
            actions.extend(handled);
        }
        self.execute(at, actions);
        self.check_leaders();
        self.check_grants();
    }
}
