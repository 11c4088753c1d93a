//! The task that owns the dispatcher of one service.

use std::{sync, time};

use tokio::sync::{mpsc, oneshot};

use crate::{control, dispatch, ids, rim, roster, sorted, timer, traffic};

/// Queue capacity of a service task, in messages; a full queue refuses sub-requests.
const QUEUE_CAPACITY: usize = 16_384;

/// Identifies a sub-request among those of all coordinators.
type ReplyKey = (ids::NodeId, ids::Incarnation, ids::SubRequestId);

/// Sending side of a service's queue.
pub type ServiceSender = mpsc::Sender<traffic::ServiceMessage>;

/// Feeds events to one [`dispatch::Dispatcher`] and executes its actions.
pub struct ServiceTask {
    pub(super) shared: sync::Arc<traffic::Shared>,
    pub(super) dispatcher: dispatch::Dispatcher,
    pub(super) sender: mpsc::WeakSender<traffic::ServiceMessage>,
    pub(super) clients: sorted::SortedMap<ids::ServerName, rim::BackendClient>,
    pub(super) replies: sorted::SortedMap<ReplyKey, oneshot::Sender<dispatch::SubOutcome>>,
    pub(super) wake: timer::Alarm,
}

impl ServiceTask {
    /// Starts the task of a service.
    pub fn start(shared: sync::Arc<traffic::Shared>, service: ids::ServiceName) -> ServiceSender {
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        let config = dispatch::Config::default();
        let dispatcher =
            dispatch::Dispatcher::new(shared.node, shared.incarnation, service, config);
        let wake = timer::Alarm::new(shared.timer.clone());
        let task = Self {
            shared,
            dispatcher,
            sender: sender.downgrade(),
            clients: sorted::SortedMap::new(),
            replies: sorted::SortedMap::new(),
            wake,
        };
        tokio::spawn(task.run(receiver));
        sender
    }

    pub(super) async fn run(mut self, mut receiver: mpsc::Receiver<traffic::ServiceMessage>) {
        while let Some(message) = receiver.recv().await {
            match message {
                traffic::ServiceMessage::Submit(sub_request, reply) => {
                    let key = (
                        sub_request.coordinator,
                        sub_request.incarnation,
                        sub_request.sub,
                    );
                    self.replies.insert(key, reply);
                    self.handle(dispatch::Event::Submit(*sub_request));
                }
                traffic::ServiceMessage::Event(event) => self.handle(event),
                traffic::ServiceMessage::HasClient(server, reply) => {
                    // Fails if the asking task was cancelled.
                    let _ = reply.send(self.clients.contains_key(&server));
                }
                traffic::ServiceMessage::Gauges(reply) => {
                    // Fails if the asking task was cancelled.
                    let _ = reply.send(self.dispatcher.gauges(time::Instant::now()));
                }
            }
            self.arm_timer();
        }
    }

    pub(super) fn handle(&mut self, event: dispatch::Event) {
        let view = self.shared.view.load();
        let now = time::Instant::now();
        let entropy = self.shared.entropy();
        let actions = self.dispatcher.handle(event, &view, now, entropy);
        drop(view);
        for action in actions {
            self.execute(action);
        }
    }

    pub(super) fn execute(&mut self, action: dispatch::Action) {
        match action {
            dispatch::Action::Send {
                attempt,
                server,
                address,
                body,
                timeout,
            } => {
                self.send(attempt, &server, address, body, timeout);
            }
            dispatch::Action::CancelAttempt {
                attempt,
                server,
                address,
            } => {
                self.cancel(attempt, &server, address);
            }
            dispatch::Action::Reply {
                coordinator,
                incarnation,
                sub,
                outcome,
            } => {
                if let Some(reply) = self.replies.remove(&(coordinator, incarnation, sub)) {
                    // Fails if the coordinator no longer waits.
                    let _ = reply.send(outcome);
                }
            }
            dispatch::Action::OpenConnections {
                server,
                incarnation,
                address,
                count,
            } => {
                self.open(&server, incarnation, address, count);
            }
            dispatch::Action::CloseConnections { server } => {
                self.clients.remove(&server);
            }
            dispatch::Action::Released { server } => {
                self.shared
                    .tell_control(control::Event::ConnectionsClosed(server));
            }
            dispatch::Action::ReportCrash {
                fingerprint,
                server,
            } => {
                self.report_crash(fingerprint, server);
            }
            dispatch::Action::Log(decision) => self.shared.log_placement(&decision),
        }
    }

    pub(super) fn report_crash(&self, fingerprint: ids::Fingerprint, server: ids::ServerName) {
        let view = self.shared.view.load();
        let Some(record) = view.servers.get(&server) else {
            return;
        };
        let incarnation = record.announcement.incarnation;
        let crash = roster::Crash {
            fingerprint,
            server,
            incarnation,
        };
        self.shared.tell_control(control::Event::Crash(crash));
    }

    /// Sets the alarm to the next wake-up time of the dispatcher.
    pub(super) fn arm_timer(&mut self) {
        let next = self.dispatcher.next_wake();
        let sender = self.sender.clone();
        self.wake.set(next, move || {
            if let Some(sender) = sender.upgrade() {
                // If the queue is full, its next message calls the dispatcher soon.
                let _ = sender.try_send(traffic::ServiceMessage::Event(dispatch::Event::Timer));
            }
        });
    }
}
