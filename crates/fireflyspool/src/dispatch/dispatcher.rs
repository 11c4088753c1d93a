//! State machine of an owner VM for one service.

use std::{collections, time};

use crate::dispatch::{attempts, backlog, fleet, service_times, sub_states, suspects, target};
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
    pub(super) subs: sub_states::SubStates,
    /// Cancellations without an answer yet, with the server that they were sent to.
    pub(super) cancels: sorted::SortedMap<ids::AttemptId, fleet::ServerKey>,
    pub(super) suspects: suspects::Suspects,
    pub(super) times: service_times::ServiceTimes,
    /// Times at which a pause, backoff or ejection of a server ends.
    pub(super) wakes: sorted::SortedMap<(time::Instant, fleet::ServerKey), ()>,
    /// Servers queued for a preconnect.
    pub(super) preconnects: collections::VecDeque<fleet::ServerKey>,
    pub(super) next_preconnect: Option<time::Instant>,
    pub(super) leaving: Vec<fleet::ServerKey>,
    /// Released incarnations that the view still assigns to this VM.
    pub(super) released: sorted::SortedMap<ids::ServerName, ids::Incarnation>,
    /// Incarnations that refused work with status 410 because they leave; this is final.
    pub(super) gone: sorted::SortedMap<ids::ServerName, ids::Incarnation>,
    /// Guaranteed share of each kind below urgent, in permille.
    pub(super) low_share: u64,
    /// Number of the latest arrival or requeue.
    pub(super) sequence: u64,
    pub(super) draining: bool,
    pub(super) last_view: Option<view::View>,
    pub(super) entropy: u64,
    pub(super) actions: Vec<dispatch::Action>,
}

impl Dispatcher {
    /// Dispatcher without backend servers; the first view adds them.
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
            subs: sub_states::SubStates::default(),
            cancels: sorted::SortedMap::new(),
            suspects: suspects::Suspects::default(),
            times: service_times::ServiceTimes::default(),
            wakes: sorted::SortedMap::new(),
            preconnects: collections::VecDeque::new(),
            next_preconnect: None,
            leaving: Vec::new(),
            released: sorted::SortedMap::new(),
            gone: sorted::SortedMap::new(),
            low_share: 0,
            sequence: 0,
            draining: false,
            last_view: None,
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
        // Expires deadlines before anything can be sent.
        self.expire(now);
        if !self.is_current(view) {
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
                self.connection_lost(attempt, sent, view, now);
            }
            dispatch::Event::InvalidReply { attempt } => self.reject_reply(attempt, view, now),
            dispatch::Event::CancelAnswered { attempt, state } => {
                self.cancel_answered(attempt, Some(state), view, now);
            }
            dispatch::Event::CancelFailed { attempt } => {
                self.cancel_answered(attempt, None, view, now);
            }
            dispatch::Event::ConnectionOpened {
                server,
                incarnation,
            } => self.connect_finished(&server, incarnation, true, view, now),
            dispatch::Event::ConnectionFailed {
                server,
                incarnation,
            } => self.connect_finished(&server, incarnation, false, view, now),
            dispatch::Event::ViewChanged | dispatch::Event::Timer => {}
            dispatch::Event::Drain => self.draining = true,
        }
        // Timers run after the event, which may rule out a server or a suspect request.
        self.run_timers(view, now);
        self.finish_leaving(view);
        self.preconnect(view, now);
        self.backlog.purge();
        self.attempts.purge();
        std::mem::take(&mut self.actions)
    }

    /// Time at which the driver must send [`dispatch::Event::Timer`].
    pub fn next_wake(&self) -> Option<time::Instant> {
        let lease = self.last_view.as_ref().and_then(|view| view.lease_until);
        let lease = lease.filter(|_| !self.backlog.is_empty());
        let open = self
            .next_preconnect
            .filter(|_| !self.preconnects.is_empty());
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

    /// Current values for metrics.
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

    /// Quantile, given in permille, of the service times of the last 10 seconds.
    ///
    /// `None` while there are too few samples. Coordinators derive their hedge
    /// delay from it.
    pub fn service_quantile(&self, permille: u64, now: time::Instant) -> Option<time::Duration> {
        self.times.quantile(permille, now)
    }

    // The stored view keeps its parts alive, so equal pointers mean equal parts.
    fn is_current(&self, view: &view::View) -> bool {
        self.last_view.as_ref().is_some_and(|last| {
            std::sync::Arc::ptr_eq(&last.servers, &view.servers)
                && std::sync::Arc::ptr_eq(&last.catalog, &view.catalog)
                && std::sync::Arc::ptr_eq(&last.suspects, &view.suspects)
                && last.lease_until == view.lease_until
        })
    }
}

/// First attempt number: a hash in the upper half, far from those of other owners and
/// incarnations.
///
/// A backend server receives attempts of successive owners and matches a
/// cancellation by the attempt number alone.
fn first_attempt(
    node: ids::NodeId,
    incarnation: ids::Incarnation,
    service: &str,
) -> ids::AttemptId {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    let prefix = node
        .to_be_bytes()
        .into_iter()
        .chain(incarnation.to_be_bytes());
    for byte in prefix.chain(service.bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    // The lower half counts attempts.
    hash & 0xffff_ffff_0000_0000
}
