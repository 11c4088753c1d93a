//! Simulated site in virtual time: lease holders, leaders, backend servers and a network
//! that loses, delays, duplicates and reorders messages.

use std::time;

use fireflyspool::{backend, lease, roster, state, view};

use crate::common::Script;

const ZONES: [&str; 2] = ["z1", "z2"];

enum Event {
    Request(roster::RenewRequest, usize, time::Instant),
    Reply(roster::RenewReply, usize, time::Instant),
    Announce(backend::Announcement, usize),
    Released(usize, String),
}

/// Process of an entry VM; a paused one keeps its node number and may resume.
pub(crate) struct Process {
    pub(crate) holder: lease::Holder,
    pub(crate) view: view::View,
    node: u64,
    paused: bool,
    renew_at: time::Instant,
    /// For each backend server, the latest incarnation seen and whether it was leaving.
    latest_seen: Vec<(String, u64, bool)>,
}

/// The site; checks its invariants after each event.
pub(crate) struct Site {
    pub(crate) now: time::Instant,
    pub(crate) control: state::ControlState,
    pub(crate) leader: Option<roster::Roster>,
    pub(crate) processes: Vec<Process>,
    pub(crate) servers: Vec<backend::Announcement>,
    term: u64,
    elect_at: Option<time::Instant>,
    announce_at: time::Instant,
    events: Vec<(time::Instant, Event)>,
    number: u64,
    in_force: u64,
}

impl Site {
    pub(crate) fn new(nodes: u64, servers: u64) -> Self {
        let now = time::Instant::now() + time::Duration::from_secs(1_000);
        let mut site = Self {
            now,
            control: state::ControlState::default(),
            leader: Some(roster::Roster::new(1, now, roster::Config::default())),
            processes: Vec::new(),
            servers: (0..servers).map(announcement).collect(),
            term: 1,
            elect_at: None,
            announce_at: now,
            events: Vec::new(),
            number: 0,
            in_force: 0,
        };
        (1..=nodes).for_each(|node| site.start(node));
        site
    }

    /// Starts a process of a VM; earlier processes of the VM remain.
    fn start(&mut self, node: u64) {
        let incarnation = self.processes.len() as u64 + 1;
        let holder = lease::Holder::new(member(node, incarnation), lease::Config::default());
        self.processes.push(Process {
            view: holder.view(),
            holder,
            node,
            paused: false,
            renew_at: self.now,
            latest_seen: Vec::new(),
        });
    }

    /// Injects a random fault, advances by a random time and checks all invariants.
    pub(crate) fn step(&mut self, script: &mut Script) {
        self.inject_fault(script);
        let step = 1 + script.below(250);
        self.advance(script, step);
    }

    /// Advances without further faults.
    pub(crate) fn settle(&mut self, script: &mut Script, duration: time::Duration) {
        let end = self.now + duration;
        let nodes: Vec<u64> = self.processes.iter().map(|process| process.node).collect();
        for (index, process) in self.processes.iter_mut().enumerate() {
            // Of several processes of one VM only the latest continues.
            process.paused = nodes[index + 1..].contains(&process.node);
        }
        while self.now < end {
            self.advance(script, 20);
        }
    }

    pub(crate) fn command(&mut self, change: state::Change) {
        self.number += 1;
        let command = state::Command {
            operator: "ann".to_owned(),
            number: self.number,
            expected: None,
            change: state::Operation::Change(change),
        };
        self.control.apply(&state::Entry::Command {
            command,
            stamped: 0,
        });
    }

    /// Processes that are not paused.
    pub(crate) fn live(&self) -> impl Iterator<Item = &Process> {
        self.processes.iter().filter(|process| !process.paused)
    }

    fn inject_fault(&mut self, script: &mut Script) {
        let process = script.below(self.processes.len() as u64) as usize;
        let server = script.below(self.servers.len() as u64) as usize;
        match script.below(60) {
            0 => self.processes[process].paused = true,
            1..=4 => self.processes[process].paused = false,
            5 if self.processes.len() < 9 => {
                self.processes[process].paused |= script.chance(70);
                self.start(self.processes[process].node);
            }
            6 if script.chance(15) => self.processes[process].holder.set_leaving(),
            7 | 8 => {
                let zone = ZONES[script.below(2) as usize].to_owned();
                self.command(if self.control.catalog.is_zone_out(&zone) {
                    state::Change::BringBackZone { zone }
                } else {
                    state::Change::TakeOutZone { zone }
                });
            }
            9 | 10 => self.command(state::Change::SetValue {
                key: "queue-limit".to_owned(),
                value: (1 + script.below(9)).to_string(),
            }),
            11 => {
                let server = &mut self.servers[server];
                server.incarnation += 1;
                server.sequence = 0;
                server.phase = backend::Phase::Starting;
            }
            12 | 13 if self.servers[server].phase != backend::Phase::Leaving => {
                self.servers[server].phase = backend::Phase::Ready;
            }
            14 => self.servers[server].phase = backend::Phase::Leaving,
            15 if self.elect_at.is_none() => {
                // The deposed leader stops granting before another one can be elected.
                self.leader = None;
                self.elect_at = Some(self.now + millis(script.below(1_500)));
            }
            _ => {}
        }
    }

    fn advance(&mut self, script: &mut Script, step: u64) {
        self.now += millis(step);
        let now = self.now;
        if self.elect_at.is_some_and(|at| at <= now) {
            self.elect_at = None;
            self.term += 1;
            let roster = roster::Roster::new(self.term, now, roster::Config::default());
            self.leader = Some(roster);
        }
        if let Some(leader) = self.leader.as_mut().filter(|l| l.next_deadline() <= now) {
            leader.expire(now);
        }
        if self.announce_at <= now {
            self.announce_at = now + millis(1_000);
            for index in 0..self.servers.len() {
                self.servers[index].sequence += 1;
                let process = script.below(self.processes.len() as u64) as usize;
                let to = if script.is_exhausted() {
                    self.processes.len() - 1
                } else {
                    process
                };
                let announcement = self.servers[index].clone();
                self.send(script, Event::Announce(announcement, to));
            }
        }
        for index in 0..self.processes.len() {
            if self.processes[index].renew_at <= now && !self.processes[index].paused {
                self.renew(script, index);
            }
        }
        while let Some(position) = self.due(script) {
            let (_, event) = self.events.swap_remove(position);
            self.deliver(script, event);
            self.check();
        }
        self.check();
    }

    /// A random event among those that are due at a running process.
    fn due(&self, script: &mut Script) -> Option<usize> {
        let is_running = |event: &Event| match event {
            Event::Request(..) => true,
            Event::Reply(_, index, _) | Event::Announce(_, index) | Event::Released(index, _) => {
                !self.processes[*index].paused
            }
        };
        let due = |(at, event): &(time::Instant, Event)| *at <= self.now && is_running(event);
        let due: Vec<usize> = (0..self.events.len())
            .filter(|index| due(&self.events[*index]))
            .collect();
        let chosen = script.below(due.len().max(1) as u64) as usize;
        due.get(chosen).copied()
    }

    fn deliver(&mut self, script: &mut Script, event: Event) {
        let now = self.now;
        match event {
            Event::Request(request, from, sent_at) => {
                let reply = match &mut self.leader {
                    Some(leader) => {
                        let grant = leader.renew(&request, &self.control, now);
                        roster::RenewReply::Granted(grant)
                    }
                    None => roster::RenewReply::NotLeader { leader: None },
                };
                self.send(script, Event::Reply(reply, from, sent_at));
            }
            Event::Reply(reply, index, sent_at) => {
                let process = &mut self.processes[index];
                let effect = process.holder.reply(reply, sent_at, now);
                if effect.publish {
                    process.view = process.holder.view();
                }
                if effect.renew {
                    process.renew_at = now;
                }
                for server in process.holder.to_release() {
                    let at = now + millis(script.below(1_500));
                    self.events.push((at, Event::Released(index, server)));
                }
            }
            Event::Announce(announcement, index) => {
                let process = &mut self.processes[index];
                if process.holder.handle_announcement(&announcement, now) {
                    process.renew_at = now;
                }
                process.view = process.holder.view();
            }
            Event::Released(index, server) => {
                self.processes[index].holder.mark_released(&server);
                self.processes[index].renew_at = now;
            }
        }
    }

    fn renew(&mut self, script: &mut Script, index: usize) {
        let process = &mut self.processes[index];
        process.renew_at = self.now + roster::RENEWAL_INTERVAL;
        let request = process.holder.request(self.now);
        self.send(script, Event::Request(request, index, self.now));
    }

    /// Sends a message, which may be lost, duplicated or delayed.
    fn send(&mut self, script: &mut Script, event: Event) {
        let copy = match &event {
            Event::Request(request, from, at) => Some(Event::Request(request.clone(), *from, *at)),
            Event::Reply(reply, to, at) => Some(Event::Reply(reply.clone(), *to, *at)),
            Event::Announce(..) | Event::Released(..) => None,
        };
        for event in [Some(event), copy.filter(|_| script.chance(10))]
            .into_iter()
            .flatten()
        {
            let delay = match script.below(10) {
                0 => script.below(6_000),
                1 | 2 => script.below(1_500),
                _ => script.below(40),
            };
            if !script.chance(15) {
                self.events.push((self.now + millis(delay), event));
            }
        }
    }

    fn check(&mut self) {
        self.check_exclusion();
        self.check_revisions();
        self.check_incarnations();
    }

    /// At most one process acts on a backend server, with at most as many permits as slots.
    fn check_exclusion(&self) {
        for server in &self.servers {
            let name = &server.server;
            let acting = self.processes.iter().filter(|process| {
                let record = process.view.servers.get(name);
                let owns = record.is_some_and(|record| record.owner == Some(process.node));
                // Requests may still run after a revocation, until the process releases the server.
                let holds = || {
                    process
                        .holder
                        .clone()
                        .request(self.now)
                        .holds
                        .contains(name)
                };
                process.view.may_act(self.now) && (owns || holds())
            });
            let permits: Vec<u32> = acting
                .map(|process| {
                    let record = process.view.servers.get(name);
                    record.map_or(server.slots, |record| process.view.slots(record))
                })
                .collect();
            assert!(
                permits.len() <= 1,
                "{} processes act on {name}",
                permits.len()
            );
            assert!(permits.iter().sum::<u32>() <= server.slots);
        }
    }

    /// Revisions of views never go back, and a revision that was in force once is held
    /// wherever a lease is valid.
    fn check_revisions(&mut self) {
        let revision = self.control.catalog.revision;
        if let Some(leader) = &self.leader
            && leader.in_force(revision, self.now) == roster::InForce::Yes
        {
            self.in_force = revision;
        }
        for process in &self.processes {
            let held = process.view.catalog.revision;
            let valid = process.view.may_act(self.now);
            assert!(
                !valid || held >= self.in_force,
                "{held} < {}",
                self.in_force
            );
            assert!(
                process.holder.view().catalog.revision >= held,
                "a revision went back"
            );
        }
    }

    /// No view returns to an older incarnation, or shows a leaving incarnation in another phase.
    fn check_incarnations(&mut self) {
        for process in &mut self.processes {
            for record in process.view.servers.values() {
                let shown = &record.announcement;
                let left = shown.phase == backend::Phase::Leaving;
                let latest = &mut process.latest_seen;
                match latest.iter_mut().find(|(name, ..)| *name == shown.server) {
                    None => latest.push((shown.server.clone(), shown.incarnation, left)),
                    Some((name, incarnation, was_leaving)) => {
                        assert!(shown.incarnation >= *incarnation, "{name} went back");
                        let same = shown.incarnation == *incarnation;
                        assert!(!(same && *was_leaving && !left), "{name} returned");
                        (*incarnation, *was_leaving) = (shown.incarnation, left);
                    }
                }
            }
        }
    }
}

pub(crate) fn millis(number: u64) -> time::Duration {
    time::Duration::from_millis(number)
}

pub(crate) fn member(node: u64, incarnation: u64) -> view::Member {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 7_000));
    view::Member {
        node,
        incarnation,
        zone: ZONES[(node % 2) as usize].to_owned(),
        http: address,
        rpc: address,
        leaving: false,
        load: 0,
    }
}

pub(crate) fn announcement(number: u64) -> backend::Announcement {
    backend::Announcement {
        server: format!("intake-desk-{number}"),
        incarnation: 1,
        sequence: 0,
        service: "intake-desk".to_owned(),
        zone: ZONES[(number % 2) as usize].to_owned(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 8_000 + number as u16)),
        slots: 2,
        connections: 55,
        phase: backend::Phase::Ready,
        hosted: vec![backend::HostedShard {
            collection: "awards".to_owned(),
            version: 1,
            shard: (number / 2) as u32,
        }],
        load: backend::Load::default(),
    }
}
