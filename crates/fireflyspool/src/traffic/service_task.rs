//! The task that owns the dispatcher of one service.

use std::{sync, time};

use tokio::sync::{mpsc, oneshot};

use crate::{control, dispatch, ids, rim, roster, sorted, timer, traffic};

/// Messages that may wait for one service; a full queue refuses sub-requests.
const CAPACITY: usize = 16_384;

/// Where the results of one coordinator's sub-request go.
type ReplyKey = (ids::NodeId, ids::Incarnation, ids::SubRequestId);

/// Sending side of a service's queue.
pub type ServiceSender = mpsc::Sender<traffic::ServiceMessage>;

/// Driver of one [`dispatch::Dispatcher`]: executes its actions and feeds it events.
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
        let (sender, receiver) = mpsc::channel(CAPACITY);
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
                    // The asker may have gone away meanwhile.
                    let _ = reply.send(self.clients.contains_key(&server));
                }
                traffic::ServiceMessage::Gauges(reply) => {
                    // The asker may have gone away meanwhile.
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
                    // The coordinator may have given up meanwhile.
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

    /// Subscribes to the time at which the dispatcher wants to be called again.
    pub(super) fn arm_timer(&mut self) {
        let next = self.dispatcher.next_wake();
        let sender = self.sender.clone();
        self.wake.set(next, move || {
            if let Some(sender) = sender.upgrade() {
                // A full queue calls the dispatcher soon enough by itself.
                let _ = sender.try_send(traffic::ServiceMessage::Event(dispatch::Event::Timer));
            }
        });
    }
}
