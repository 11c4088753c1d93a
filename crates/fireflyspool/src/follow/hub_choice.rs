//! Choice of the control VM to poll.
//!
//! An entry VM follows a hub of its own zone if there is one. If that hub does not
//! answer or is not current, the entry VM asks hubs of other zones, and one of its own
//! zone between any two of them.
//!
//! A hub that has not sent its records to this VM before would send all of them. After a
//! start, and after the control VMs were without a majority, no hub is current for
//! seconds, and then all are at about the same time. So a hub of another zone is asked for
//! its records only after it has said that it is current, and hubs of the own zone have
//! not; a hub that was followed before sends what has changed since.

use std::net;

use crate::{hashing, hub, ids, sorted};

/// The hub that is polled, the others, and how far each one is known.
pub(super) struct HubChoice {
    zone: ids::ZoneName,
    /// Random number that spreads the entry VMs over the hubs.
    spread: ids::Incarnation,
    contacts: Vec<net::SocketAddr>,
    hubs: Vec<hub::HubInfo>,
    /// Listener of the hub that is polled.
    current: net::SocketAddr,
    /// Polls since the last one that a current hub answered.
    failures: usize,
    /// Hub of another zone that was current when it was last asked.
    candidate: Option<net::SocketAddr>,
    /// Incarnation and position of the hubs whose records this VM has.
    positions: sorted::SortedMap<net::SocketAddr, (ids::Incarnation, ids::ChangePosition)>,
}

impl HubChoice {
    /// Starts with one of the contacts; `None` if there are none.
    pub(super) fn new(member: &hub::Member, contacts: Vec<net::SocketAddr>) -> Option<Self> {
        let spread = member.incarnation;
        let current = pick(&contacts, spread)?;
        Some(Self {
            zone: member.zone.clone(),
            spread,
            contacts,
            hubs: Vec::new(),
            current,
            failures: 0,
            candidate: None,
            positions: sorted::SortedMap::new(),
        })
    }

    /// Listener of the hub that is polled.
    pub(super) fn current(&self) -> net::SocketAddr {
        self.current
    }

    /// Hubs in the order in which they are asked for tokens: the polled one, others of the own
    /// zone, the rest. The order of the others differs between entry VMs.
    pub(super) fn ranked(&self) -> Vec<net::SocketAddr> {
        let known = self.hubs.iter().map(|info| info.rpc);
        let mut ranked: Vec<_> = match self.hubs.is_empty() {
            true => self.contacts.clone(),
            false => known.collect(),
        };
        if !ranked.contains(&self.current) {
            ranked.push(self.current);
        }
        ranked.sort_by_key(|listener| {
            let hasher = hashing::StableHasher::new().number(self.spread);
            let hash = hasher.text(&listener.to_string()).finish();
            (*listener != self.current, !self.is_local(*listener), hash)
        });
        ranked
    }

    /// Checksum of the known hubs.
    pub(super) fn hubs_checksum(&self) -> u64 {
        hub::HubInfo::checksum(&self.hubs)
    }

    /// Hub that collects the observations of a backend server or the
    /// counts of a service.
    ///
    /// All entry VMs choose the same one. Spread over all hubs, the observations of a large
    /// site are too few at each of them to tell a slow server from one that pauses.
    pub(super) fn observer(&self, server: &str) -> net::SocketAddr {
        let observer = hub::HubInfo::observer(&self.hubs, server);
        observer.map_or(self.current, |info| info.rpc)
    }

    /// Polls since the last one that a current hub answered.
    pub(super) fn failures(&self) -> usize {
        self.failures
    }

    /// Incarnation and position of the current hub as far as its records are known; 0 if
    /// they are not.
    pub(super) fn position(&self) -> (ids::Incarnation, ids::ChangePosition) {
        self.positions.get(&self.current).copied().unwrap_or((0, 0))
    }

    /// Whether the current hub is to send all its records if it has not before.
    pub(super) fn wants_records(&self) -> bool {
        self.is_local(self.current) || self.candidate == Some(self.current)
    }

    /// Records how far the records of the current hub are known.
    pub(super) fn set_position(
        &mut self,
        incarnation: ids::Incarnation,
        position: ids::ChangePosition,
    ) {
        self.positions.insert(self.current, (incarnation, position));
    }

    /// Adds hubs to the known ones. A hub that is not current may be cut off with a few others,
    /// so those that it does not reach stay known.
    pub(super) fn add_hubs(&mut self, hubs: Vec<hub::HubInfo>) {
        let knew_local = !self.local().is_empty();
        let former = std::mem::take(&mut self.hubs);
        let is_missing = |info: &hub::HubInfo| !hubs.iter().any(|new| new.rpc == info.rpc);
        let kept: Vec<_> = former.into_iter().filter(is_missing).collect();
        self.hubs = hubs.into_iter().chain(kept).collect();
        // Otherwise each answer would lead back to the same hub of the own zone.
        if !knew_local {
            self.prefer_local();
        }
    }

    /// Sets the known hubs, and moves to one of the own zone if the current one is not.
    pub(super) fn set_hubs(&mut self, hubs: Vec<hub::HubInfo>) {
        self.hubs = hubs;
        self.prefer_local();
    }

    /// Moves to a hub of the own zone if the current one is in another.
    fn prefer_local(&mut self) {
        if !self.is_local(self.current)
            && let Some(local) = pick(&self.local(), self.spread)
        {
            self.current = local;
        }
    }

    /// Handles the answer of a current hub, which has sent its records or not.
    pub(super) fn confirm(&mut self, with_records: bool) {
        if with_records {
            self.failures = 0;
            return;
        }
        self.candidate = Some(self.current);
        if let Some(local) = self.next_local() {
            self.current = local;
        }
    }

    /// Moves on from a hub that did not answer or is not current.
    pub(super) fn fail(&mut self) {
        self.failures += 1;
        if self.candidate == Some(self.current) {
            self.candidate = None;
        }
        let next = match self.is_local(self.current) {
            true => self.candidate.or_else(|| self.next_foreign()),
            false => self.next_local().or_else(|| self.next_foreign()),
        };
        let any = || self.next_local();
        self.current = next.or_else(any).unwrap_or(self.current);
    }

    fn local(&self) -> Vec<net::SocketAddr> {
        let local = self.hubs.iter().filter(|info| info.zone == self.zone);
        local.map(|info| info.rpc).collect()
    }

    fn is_local(&self, listener: net::SocketAddr) -> bool {
        self.local().contains(&listener)
    }

    fn next_local(&self) -> Option<net::SocketAddr> {
        pick(&self.others(&self.local()), self.turn())
    }

    fn next_foreign(&self) -> Option<net::SocketAddr> {
        let known = self.hubs.iter().map(|info| info.rpc);
        let mut foreign: Vec<_> = known.chain(self.contacts.iter().copied()).collect();
        foreign.retain(|listener| !self.is_local(*listener));
        foreign.sort_unstable();
        foreign.dedup();
        pick(&self.others(&foreign), self.turn())
    }

    fn others(&self, listeners: &[net::SocketAddr]) -> Vec<net::SocketAddr> {
        let others = listeners.iter().copied();
        others.filter(|other| *other != self.current).collect()
    }

    /// Number that selects among hubs; each of two neighbouring failures may take another
    /// kind of hub.
    fn turn(&self) -> u64 {
        self.spread.wrapping_add(self.failures as u64 / 2)
    }
}

fn pick(listeners: &[net::SocketAddr], turn: u64) -> Option<net::SocketAddr> {
    let index = turn.checked_rem(listeners.len() as u64)?;
    listeners.get(usize::try_from(index).ok()?).copied()
}
