//! Dispatcher under direct control of a test.

use std::time;

use fireflyspool::{backend, dispatch, view};

use crate::fixture;

/// Dispatcher with its view and a clock that the test advances.
pub(crate) struct Harness {
    pub(crate) dispatcher: dispatch::Dispatcher,
    pub(crate) view: view::View,
    pub(crate) now: time::Instant,
}

/// Attempt that the dispatcher sent.
#[derive(Clone, Debug)]
pub(crate) struct SentAttempt {
    pub(crate) attempt: u64,
    pub(crate) server: String,
    pub(crate) body: dispatch::Body,
}

impl Harness {
    /// Dispatcher without slow start, so that all slots are free at once.
    pub(crate) fn warm(records: Vec<view::ServerRecord>) -> Self {
        Self::new(records, false)
    }

    pub(crate) fn new(records: Vec<view::ServerRecord>, slow_start: bool) -> Self {
        let now = time::Instant::now();
        let config = dispatch::Config {
            slow_start,
            ..dispatch::Config::default()
        };
        let service = fixture::SERVICE.to_owned();
        let lease = now + time::Duration::from_secs(3_600);
        Self {
            dispatcher: dispatch::Dispatcher::new(fixture::NODE, 1, service, config),
            view: fixture::view(records, lease),
            now,
        }
    }

    pub(crate) fn handle(&mut self, event: dispatch::Event) -> Vec<dispatch::Action> {
        self.dispatcher.handle(event, &self.view, self.now, 5)
    }

    pub(crate) fn wait(&mut self, ms: u64) -> Vec<dispatch::Action> {
        self.now += time::Duration::from_millis(ms);
        self.handle(dispatch::Event::Timer)
    }

    pub(crate) fn submit(&mut self, request: dispatch::SubRequest) -> Vec<dispatch::Action> {
        self.handle(dispatch::Event::Submit(request))
    }

    /// Answers a search correctly.
    pub(crate) fn answer(&mut self, send: &SentAttempt, incarnation: u64) -> Vec<dispatch::Action> {
        let dispatch::Body::Search(request) = &send.body else {
            panic!("a search expected: {send:?}");
        };
        let reply = fixture::reply(request, incarnation);
        let attempt = send.attempt;
        self.handle(dispatch::Event::Answered { attempt, reply })
    }

    /// Reports the connection of an attempt as lost, and a cancellation of it as failed.
    pub(crate) fn lose_connection(
        &mut self,
        send: &SentAttempt,
        sent: bool,
    ) -> Vec<dispatch::Action> {
        let attempt = send.attempt;
        let mut actions = self.handle(dispatch::Event::ConnectionLost { attempt, sent });
        let cancels = |a: &dispatch::Action| matches!(a, dispatch::Action::CancelAttempt { .. });
        if actions.iter().any(cancels) {
            actions.extend(self.handle(dispatch::Event::CancelFailed { attempt }));
        }
        actions
    }

    /// Refuses an attempt with a status and a retry delay of 200 ms.
    pub(crate) fn refuse(&mut self, send: &SentAttempt, status: u16) -> Vec<dispatch::Action> {
        let reply = backend::RefusedReply {
            attempt: send.attempt,
            ran: false,
            retry_after_ms: Some(200),
        };
        self.handle(dispatch::Event::Refused {
            attempt: send.attempt,
            status,
            reply,
        })
    }
}

/// Attempts sent by these actions.
pub(crate) fn sends(actions: &[dispatch::Action]) -> Vec<SentAttempt> {
    let sends = actions.iter().filter_map(|action| match action {
        dispatch::Action::Send {
            attempt,
            server,
            body,
            ..
        } => Some(SentAttempt {
            attempt: *attempt,
            server: server.clone(),
            body: body.clone(),
        }),
        _ => None,
    });
    sends.collect()
}

/// The only attempt sent by these actions.
pub(crate) fn only_send(actions: &[dispatch::Action]) -> SentAttempt {
    let sends = sends(actions);
    assert_eq!(sends.len(), 1, "one send expected: {actions:?}");
    sends[0].clone()
}

/// Results reported by these actions, by sub-request.
pub(crate) fn replies(actions: &[dispatch::Action]) -> Vec<(u64, dispatch::SubOutcome)> {
    let replies = actions.iter().filter_map(|action| match action {
        dispatch::Action::Reply { sub, outcome, .. } => Some((*sub, outcome.clone())),
        _ => None,
    });
    replies.collect()
}

/// Identifier of the request that an attempt belongs to.
pub(crate) fn request_of(send: &SentAttempt) -> &str {
    match &send.body {
        dispatch::Body::Search(request) => &request.request,
        dispatch::Body::Submit(request) => &request.request,
    }
}
