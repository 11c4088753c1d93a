//! Entry VMs and control VMs that share quotas, in virtual time and without a network.

use std::{cmp, collections, net, time};

use fireflyspool::{configuration, ids, quota, sorted};

use super::query_fixture::SplitMix64;

/// Longest one-way delay of a message in microseconds.
const MAX_DELAY_US: u64 = 3_000;

/// Time after which the driver gives a call up.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Time after which a control VM that reaches no majority grants nothing.
const QUORUM_TIMEOUT: time::Duration = time::Duration::from_millis(2_200);

/// Objective of all requests.
const OBJECTIVE: time::Duration = time::Duration::from_millis(150);

enum Event {
    Request {
        vm: usize,
        account: usize,
    },
    Ask {
        vm: usize,
        hub: usize,
        asks: Vec<quota::Ask>,
    },
    End {
        vm: usize,
        hub: usize,
        grants: Option<Vec<Option<quota::Grant>>>,
    },
    Wake {
        vm: usize,
    },
}

pub(crate) struct HubNode {
    pub(crate) shares: quota::Shares,
    /// Since when it is cut off from the other control VMs.
    pub(crate) isolated: Option<time::Instant>,
    /// Whether entry VMs get no answer from it.
    pub(crate) silent: bool,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct End {
    pub(crate) account: usize,
    pub(crate) at: time::Instant,
    pub(crate) waited: time::Duration,
    pub(crate) result: Result<(), quota::Denial>,
}

pub(crate) struct QuotaSite {
    pub(crate) now: time::Instant,
    pub(crate) random: SplitMix64,
    pub(crate) hubs: Vec<HubNode>,
    pub(crate) accounts: Vec<configuration::Account>,
    pub(crate) ends: Vec<End>,
    pub(crate) calls: usize,
    /// Size of the control group; a replaced member stays in `hubs`.
    size: usize,
    vms: Vec<quota::TokenQueue>,
    open: sorted::SortedMap<ids::Ticket, (usize, time::Instant)>,
    events: Vec<Option<Event>>,
    order: collections::BinaryHeap<cmp::Reverse<(time::Instant, usize)>>,
    tickets: ids::Ticket,
}

pub(crate) fn account(name: &str, rate: f64, burst: f64) -> configuration::Account {
    configuration::Account {
        name: name.to_owned(),
        keys: Vec::new(),
        priority: None,
        rate,
        burst,
    }
}

fn listener(hub: usize) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, 1], 7_000 + hub as u16))
}

impl QuotaSite {
    /// Site whose control VMs have just started and know the accounts.
    pub(crate) fn new(
        vms: usize,
        hubs: usize,
        accounts: Vec<configuration::Account>,
        seed: u64,
    ) -> Self {
        let now = time::Instant::now();
        let mut site = Self {
            now,
            random: SplitMix64(seed),
            hubs: Vec::new(),
            accounts,
            ends: Vec::new(),
            calls: 0,
            size: hubs,
            vms: Vec::new(),
            open: sorted::SortedMap::new(),
            events: Vec::new(),
            order: collections::BinaryHeap::new(),
            tickets: 0,
        };
        for position in 0..hubs {
            let shares = site.started(position);
            let (isolated, silent) = (None, false);
            site.hubs.push(HubNode {
                shares,
                isolated,
                silent,
            });
        }
        for vm in 0..vms {
            let mut order: Vec<_> = (0..hubs).map(listener).collect();
            order.rotate_left(vm % hubs);
            let mut queue = quota::TokenQueue::default();
            queue.set_hubs(&order, now);
            site.vms.push(queue);
        }
        site
    }

    fn started(&self, position: usize) -> quota::Shares {
        let mut shares = quota::Shares::new(self.now);
        shares.set_place(Some((position, self.size)), self.now);
        shares.set_accounts(self.accounts.clone(), self.now);
        shares
    }

    pub(crate) fn restart(&mut self, hub: usize) {
        self.hubs[hub].shares = self.started(hub % self.size);
    }

    /// Replaces an isolated member of the group by a control VM at a new listener.
    pub(crate) fn replace(&mut self, hub: usize) {
        let shares = self.started(hub % self.size);
        let (isolated, silent) = (None, false);
        self.hubs.push(HubNode {
            shares,
            isolated,
            silent,
        });
        let new = listener(self.hubs.len() - 1);
        let hubs: Vec<_> = (0..self.size).map(listener).collect();
        for (vm, queue) in self.vms.iter_mut().enumerate() {
            // Some entry VMs do not learn that the member was replaced.
            let mut order = hubs.clone();
            order.rotate_left(vm % hubs.len());
            if vm % 3 > 0 {
                order.retain(|known| *known != listener(hub));
            }
            order.push(new);
            queue.set_hubs(&order, self.now);
        }
    }

    /// Puts other limits in force at all control VMs.
    pub(crate) fn configure(&mut self, accounts: Vec<configuration::Account>) {
        self.accounts = accounts;
        for hub in &mut self.hubs {
            hub.shares.set_accounts(self.accounts.clone(), self.now);
        }
    }

    fn schedule(&mut self, at: time::Instant, event: Event) {
        self.order.push(cmp::Reverse((at, self.events.len())));
        self.events.push(Some(event));
    }

    pub(crate) fn request(&mut self, at: time::Instant, vm: usize, account: usize) {
        self.schedule(at, Event::Request { vm, account });
    }

    /// Schedules requests of an account at random entry VMs, at random or at regular intervals.
    pub(crate) fn load(
        &mut self,
        account: usize,
        rate: f64,
        from: time::Instant,
        until: time::Instant,
        regular: bool,
    ) {
        let mut at = from;
        loop {
            let uniform = (self.random.next() >> 11) as f64 / (1_u64 << 53) as f64;
            let gap = if regular { 1.0 } else { -(1.0 - uniform).ln() };
            at += time::Duration::from_secs_f64(gap / rate);
            if at >= until {
                return;
            }
            let vm = self.random.below(self.vms.len() as u64) as usize;
            self.request(at, vm, account);
        }
    }

    pub(crate) fn run(&mut self, until: time::Instant) {
        while let Some(cmp::Reverse((at, index))) = self.order.peek().copied() {
            if at > until {
                break;
            }
            self.order.pop();
            self.now = self.now.max(at);
            if let Some(event) = self.events[index].take() {
                self.handle(event);
            }
        }
        self.now = until;
    }

    fn delay(&mut self) -> time::Duration {
        time::Duration::from_micros(200 + self.random.below(MAX_DELAY_US))
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Request { vm, account } => {
                self.tickets += 1;
                self.open.insert(self.tickets, (account, now));
                let spread = self.random.below(1_000) as f64 / 1_000.0;
                let account = &self.accounts[account];
                let actions = self.vms[vm].request(self.tickets, account, OBJECTIVE, spread, now);
                self.execute(vm, actions);
            }
            Event::Ask { vm, hub, asks } => {
                let node = &mut self.hubs[hub];
                let is_cut = |since: time::Instant| now > since + QUORUM_TIMEOUT;
                if node.silent {
                    self.schedule(
                        now + CALL_TIMEOUT,
                        Event::End {
                            vm,
                            hub,
                            grants: None,
                        },
                    );
                    return;
                }
                let granting = !node.isolated.is_some_and(is_cut);
                let grants = granting.then(|| node.shares.take(&asks, now));
                let at = now + self.delay();
                self.schedule(at, Event::End { vm, hub, grants });
            }
            Event::End { vm, hub, grants } => {
                let actions = self.vms[vm].call_ended(listener(hub), grants, now);
                self.execute(vm, actions);
            }
            Event::Wake { vm } => {
                if self.vms[vm].next_wake().is_some_and(|due| due <= now) {
                    let actions = self.vms[vm].wake(now);
                    self.execute(vm, actions);
                }
            }
        }
    }

    fn execute(&mut self, vm: usize, actions: Vec<quota::Action>) {
        for action in actions {
            match action {
                quota::Action::Call { hub, asks } => {
                    self.calls += 1;
                    let hub = usize::from(hub.port() - 7_000);
                    let at = self.now + self.delay();
                    self.schedule(at, Event::Ask { vm, hub, asks });
                }
                quota::Action::Finish { ticket, result } => {
                    let (account, since) = self.open.remove(&ticket).expect("one end a request");
                    let (at, waited) = (self.now, self.now - since);
                    self.ends.push(End {
                        account,
                        at,
                        waited,
                        result,
                    });
                }
            }
        }
        if let Some(due) = self.vms[vm].next_wake() {
            self.schedule(due.max(self.now), Event::Wake { vm });
        }
    }

    /// Requests without an end.
    pub(crate) fn open(&self) -> usize {
        self.open.len()
    }
}
