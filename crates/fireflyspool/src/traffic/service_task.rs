//! The task that owns the dispatcher of one service.

use std::{net, sync, time};

use tokio::sync::{mpsc, oneshot};

use crate::{control, dispatch, ids, rim, roster, sorted, telemetry, timer, traffic};

/// Messages that may wait for one service; a full queue refuses sub-requests.
const CAPACITY: usize = 16_384;

/// Time for which a cancellation may take; the permit is held until the
/// deadline of the attempt anyway.
const CANCEL_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Idle connections that a client keeps beyond the slots of its server, for
/// cancellations.
const SPARE_CONNECTIONS: usize = 2;

/// Where the results of one coordinator's sub-request go.
type ReplyKey = (ids::NodeId, ids::Incarnation, ids::SubRequestId);

/// Sending side of a service's queue.
pub type ServiceSender = mpsc::Sender<traffic::ServiceMessage>;

/// Driver of one [`dispatch::Dispatcher`]: executes its actions and feeds it events.
pub struct ServiceTask {
    shared: sync::Arc<traffic::Shared>,
    dispatcher: dispatch::Dispatcher,
    sender: mpsc::WeakSender<traffic::ServiceMessage>,
    clients: sorted::SortedMap<ids::ServerName, rim::BackendClient>,
    replies: sorted::SortedMap<ReplyKey, oneshot::Sender<dispatch::SubOutcome>>,
    wake: Option<(time::Instant, timer::TimerToken)>,
}

impl ServiceTask {
    /// Starts the task of a service.
    pub fn start(shared: sync::Arc<traffic::Shared>, service: ids::ServiceName) -> ServiceSender {
        let (sender, receiver) = mpsc::channel(CAPACITY);
        let config = dispatch::Config::default();
        let dispatcher =
            dispatch::Dispatcher::new(shared.node, shared.incarnation, service, config);
        let task = Self {
            shared,
            dispatcher,
            sender: sender.downgrade(),
            clients: sorted::SortedMap::new(),
            replies: sorted::SortedMap::new(),
            wake: None,
        };
        tokio::spawn(task.run(receiver));
        sender
    }

    async fn run(mut self, mut receiver: mpsc::Receiver<traffic::ServiceMessage>) {
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

    fn handle(&mut self, event: dispatch::Event) {
        let view = self.shared.view.load();
        let now = time::Instant::now();
        let entropy = self.shared.entropy();
        let actions = self.dispatcher.handle(event, &view, now, entropy);
        drop(view);
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: dispatch::Action) {
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
            dispatch::Action::Open {
                server,
                incarnation,
                address,
                count,
            } => {
                self.open(&server, incarnation, address, count);
            }
            dispatch::Action::CloseServer { server } => {
                self.clients.remove(&server);
            }
            dispatch::Action::Released { server } => {
                self.shared.tell_control(control::Event::Released(server));
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

    fn report_crash(&self, fingerprint: ids::Fingerprint, server: ids::ServerName) {
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

    fn send(
        &mut self,
        attempt: ids::AttemptId,
        server: &str,
        address: net::SocketAddr,
        body: dispatch::Body,
        timeout: time::Duration,
    ) {
        let Some(sender) = self.sender.upgrade() else {
            return;
        };
        let Some(client) = self.client(server, address) else {
            let event = dispatch::Event::Broken {
                attempt,
                sent: false,
            };
            tokio::spawn(async move { sender.send(traffic::ServiceMessage::Event(event)).await });
            return;
        };
        let shared = sync::Arc::clone(&self.shared);
        tokio::spawn(async move {
            let event = match client.send(&body, timeout).await {
                rim::BackendReply::Searched(reply) => dispatch::Event::Answered { attempt, reply },
                rim::BackendReply::Submitted(reply) => {
                    dispatch::Event::Submitted { attempt, reply }
                }
                rim::BackendReply::Refused(status, reply) => dispatch::Event::Refused {
                    attempt,
                    status,
                    reply,
                },
                rim::BackendReply::Unreadable => dispatch::Event::Unreadable { attempt },
                rim::BackendReply::Broken { sent } => dispatch::Event::Broken { attempt, sent },
            };
            telemetry::Metrics::count(&shared.metrics.attempts, event_name(&event));
            // The task ends only with the process.
            let _ = sender.send(traffic::ServiceMessage::Event(event)).await;
        });
    }

    fn cancel(&mut self, attempt: ids::AttemptId, server: &str, address: net::SocketAddr) {
        let Some(sender) = self.sender.upgrade() else {
            return;
        };
        let client = self.client(server, address);
        tokio::spawn(async move {
            let state = match client {
                Some(client) => client.cancel(attempt, CANCEL_TIMEOUT).await,
                None => None,
            };
            let event = match state {
                Some(state) => dispatch::Event::CancelAnswered { attempt, state },
                None => dispatch::Event::CancelFailed { attempt },
            };
            let _ = sender.send(traffic::ServiceMessage::Event(event)).await;
        });
    }

    fn open(
        &mut self,
        server: &str,
        incarnation: ids::Incarnation,
        address: net::SocketAddr,
        count: u32,
    ) {
        let client = self.client(server, address);
        for _ in 0..count {
            let Some(sender) = self.sender.upgrade() else {
                return;
            };
            let client = client.clone();
            let server = server.to_owned();
            tokio::spawn(async move {
                let opened = match client {
                    Some(client) => client.open().await,
                    None => false,
                };
                let event = if opened {
                    dispatch::Event::Opened {
                        server,
                        incarnation,
                    }
                } else {
                    dispatch::Event::OpenFailed {
                        server,
                        incarnation,
                    }
                };
                let _ = sender.send(traffic::ServiceMessage::Event(event)).await;
            });
        }
    }

    /// Client of a server; a restarted server at another address gets a new one.
    fn client(&mut self, server: &str, address: net::SocketAddr) -> Option<rim::BackendClient> {
        if let Some(client) = self.clients.get(server)
            && client.address() == address
        {
            return Some(client.clone());
        }
        let view = self.shared.view.load();
        let slots = view
            .servers
            .get(server)
            .map_or(1, |record| view.slots(record));
        let idle = slots as usize + SPARE_CONNECTIONS;
        match rim::BackendClient::new(address, idle) {
            Ok(client) => {
                self.clients.insert(server.to_owned(), client.clone());
                Some(client)
            }
            Err(error) => {
                slog::error!(self.shared.logger, "cannot set up a client"; "error" => %error);
                None
            }
        }
    }

    /// Subscribes to the time at which the dispatcher wants to be called again.
    fn arm_timer(&mut self) {
        let next = self.dispatcher.next_wake();
        if self.wake.map(|(at, _)| at) == next {
            return;
        }
        if let Some((_, token)) = self.wake.take() {
            self.shared.timer.cancel(token);
        }
        let Some(at) = next else { return };
        let sender = self.sender.clone();
        let token = self.shared.timer.subscribe(at, move || {
            if let Some(sender) = sender.upgrade() {
                // A full queue calls the dispatcher soon enough by itself.
                let _ = sender.try_send(traffic::ServiceMessage::Event(dispatch::Event::Timer));
            }
        });
        self.wake = Some((at, token));
    }
}

fn event_name(event: &dispatch::Event) -> &'static str {
    match event {
        dispatch::Event::Answered { .. } => "answered",
        dispatch::Event::Submitted { .. } => "submitted",
        dispatch::Event::Refused { .. } => "refused",
        dispatch::Event::Unreadable { .. } => "unreadable",
        dispatch::Event::Broken { sent: true, .. } => "broken",
        _ => "not_sent",
    }
}
