//! State machine of an owner for one service.

use std::{collections, time};

use crate::dispatch::{attempts, backlog, fleet, places, service_times, suspects, target};
use crate::{dispatch, ids, sorted, view};

/// Queues the sub-requests of one service and sends them to the backend servers it owns.
///
/// The driver passes every event with the latest view, the current time and a
/// random number, executes the actions in order, and sends
/// [`dispatch::Event::Timer`] at [`Self::next_wake`].
#[derive(Debug)]
pub struct Dispatcher {
    pub(super) node: ids::NodeId,
    pub(super) service: ids::ServiceName,
    pub(super) config: dispatch::Config,
    pub(super) fleet: fleet::Fleet,
    pub(super) backlog: backlog::Backlog,
    pub(super) attempts: attempts::Attempts,
    pub(super) places: places::Places,
    /// Cancellations on their way, with the server they went to.
    pub(super) cancels: sorted::SortedMap<ids::AttemptId, fleet::ServerKey>,
    pub(super) suspects: suspects::Suspects,
    pub(super) times: service_times::ServiceTimes,
    /// Times at which a server can receive work again after a pause, rest or ejection.
    pub(super) wakes: sorted::SortedMap<(time::Instant, fleet::ServerKey), ()>,
    /// Servers that want another connection ahead of need.
    pub(super) wanting: collections::VecDeque<fleet::ServerKey>,
    pub(super) next_open: Option<time::Instant>,
    pub(super) leaving: Vec<fleet::ServerKey>,
    /// Servers given up under an incarnation that the view still assigns to this VM.
    pub(super) departed: sorted::SortedMap<ids::ServerName, ids::Incarnation>,
    /// Servers that refused work because they leave; final for their incarnation.
    pub(super) gone: sorted::SortedMap<ids::ServerName, ids::Incarnation>,
    pub(super) low_share: u64,
    pub(super) sequence: u64,
    pub(super) draining: bool,
    pub(super) seen: Option<view::View>,
    pub(super) entropy: u64,
    pub(super) actions: Vec<dispatch::Action>,
}

impl Dispatcher {
    /// A dispatcher without backend servers; the first view brings them.
    pub fn new(
        node: ids::NodeId,
        incarnation: ids::Incarnation,
        service: ids::ServiceName,
        config: dispatch::Config,
    ) -> Self {
        let mut backlog = backlog::Backlog::default();
        backlog.register(target::Target::Any);
        Self {
            node,
            attempts: attempts::Attempts::new(first_attempt(node, incarnation, &service)),
            service,
            config,
            fleet: fleet::Fleet::default(),
            backlog,
            places: places::Places::default(),
            cancels: sorted::SortedMap::new(),
            suspects: suspects::Suspects::default(),
            times: service_times::ServiceTimes::default(),
            wakes: sorted::SortedMap::new(),
            wanting: collections::VecDeque::new(),
            next_open: None,
            leaving: Vec::new(),
            departed: sorted::SortedMap::new(),
            gone: sorted::SortedMap::new(),
            low_share: 0,
            sequence: 0,
            draining: false,
            seen: None,
            entropy: 0,
            actions: Vec::new(),
        }
    }

    /// Processes one event.
    ///
    /// `now` must be read after `view` was loaded and right before the call,
    /// because the lease is checked against it; `entropy` is a fresh random
    /// number.
    pub fn handle(
        &mut self,
        event: dispatch::Event,
        view: &view::View,
        now: time::Instant,
        entropy: u64,
    ) -> Vec<dispatch::Action> {
        self.entropy = entropy;
        // Before anything can be sent.
        self.expire(now);
        if !self.has_seen(view) {
            self.sync(view, now);
        }
        match event {
            dispatch::Event::Submit(request) => self.submit(request, view, now),
            dispatch::Event::Cancel {
                coordinator,
                incarnation,
                sub,
            } => self.cancel((coordinator, incarnation, sub), view, now),
            dispatch::Event::Answered { attempt, reply } => {
                self.answered(attempt, reply, view, now);
            }
            dispatch::Event::Submitted { attempt, reply } => {
                self.submitted(attempt, reply, view, now);
            }
            dispatch::Event::Refused {
                attempt,
                status,
                reply,
            } => self.refused(attempt, status, &reply, view, now),
            dispatch::Event::ConnectionLost { attempt, sent } => {
                self.broken(attempt, sent, view, now);
            }
            dispatch::Event::InvalidReply { attempt } => self.bad_reply(attempt, view, now),
            dispatch::Event::CancelAnswered { attempt, state } => {
                self.cancel_answered(attempt, Some(state), view, now);
            }
            dispatch::Event::CancelFailed { attempt } => {
                self.cancel_answered(attempt, None, view, now);
            }
            dispatch::Event::ConnectionOpened {
                server,
                incarnation,
            } => self.opened(&server, incarnation, true, view, now),
            dispatch::Event::ConnectionFailed {
                server,
                incarnation,
            } => self.opened(&server, incarnation, false, view, now),
            dispatch::Event::ViewChanged | dispatch::Event::Timer => {}
            dispatch::Event::Drain => self.draining = true,
        }
        // After the event, which may tell that a server or a content must not be used.
        self.run_timers(view, now);
        self.finish_leaving(view);
        self.open_ahead(view, now);
        self.backlog.tidy();
        self.attempts.tidy();
        std::mem::take(&mut self.actions)
    }

    /// Time at which the driver must send [`dispatch::Event::Timer`].
    pub fn next_wake(&self) -> Option<time::Instant> {
        let lease = self.seen.as_ref().and_then(|view| view.lease_until);
        let lease = lease.filter(|_| !self.backlog.is_empty());
        let open = self.next_open.filter(|_| !self.wanting.is_empty());
        let wake = self.wakes.first().map(|(key, ())| key.0);
        let times = [
            self.backlog.first_deadline(),
            self.attempts.first_timer(),
            wake,
            open,
            lease,
        ];
        times.into_iter().flatten().min()
    }

    /// Current figures for metrics.
    pub fn gauges(&self, now: time::Instant) -> dispatch::Gauges {
        let servers = || self.fleet.iter();
        let usable = servers().filter(|server| server.is_usable());
        let connections = servers().map(|server| server.core().connections.total());
        dispatch::Gauges {
            waiting: self.backlog.len(),
            running: self.attempts.len(),
            permits: usable.map(|server| server.permits() as usize).sum(),
            connections: connections.map(|count| count as usize).sum(),
            servers: servers().count(),
            warming: servers().filter(|server| server.is_warming()).count(),
            ejected: servers().filter(|s| s.core().is_ejected(now)).count(),
            suspects: self.suspects.len(),
        }
    }

    /// Quantile of the service time over the last seconds, in permille.
    ///
    /// `None` while there are too few samples. A coordinator derives the delay
    /// of its hedges from it.
    pub fn service_quantile(&self, permille: u64, now: time::Instant) -> Option<time::Duration> {
        self.times.quantile(permille, now)
    }

    // The seen view keeps its parts alive, so equal pointers mean equal parts.
    fn has_seen(&self, view: &view::View) -> bool {
        self.seen.as_ref().is_some_and(|seen| {
            std::sync::Arc::ptr_eq(&seen.servers, &view.servers)
                && std::sync::Arc::ptr_eq(&seen.catalog, &view.catalog)
                && std::sync::Arc::ptr_eq(&seen.suspects, &view.suspects)
                && seen.lease_until == view.lease_until
        })
    }
}

/// First attempt number, far from those of other owners and earlier lives.
///
/// A backend server sees the attempts of successive owners and identifies a
/// cancellation by the attempt number alone.
fn first_attempt(
    node: ids::NodeId,
    incarnation: ids::Incarnation,
    service: &str,
) -> ids::AttemptId {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    let words = node
        .to_be_bytes()
        .into_iter()
        .chain(incarnation.to_be_bytes());
    for byte in words.chain(service.bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    // The low half counts attempts.
    hash & 0xffff_ffff_0000_0000
}
