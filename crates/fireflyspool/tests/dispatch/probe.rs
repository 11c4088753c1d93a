//! A dispatcher under direct control.

use std::time;

use fireflyspool::{backend, dispatch, view};

use crate::fixture;

/// Dispatcher with its view and a clock that the test moves.
pub(crate) struct Probe {
    pub(crate) dispatcher: dispatch::Dispatcher,
    pub(crate) view: view::View,
    pub(crate) now: time::Instant,
}

/// Send that a probe has seen.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    pub(crate) attempt: u64,
    pub(crate) server: String,
    pub(crate) body: dispatch::Body,
}

impl Probe {
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

    /// Answers an attempt to a search.
    pub(crate) fn answer(&mut self, seen: &Seen, incarnation: u64) -> Vec<dispatch::Action> {
        let dispatch::Body::Search(request) = &seen.body else {
            panic!("a search expected: {seen:?}");
        };
        let reply = fixture::reply(request, incarnation);
        let attempt = seen.attempt;
        self.handle(dispatch::Event::Answered { attempt, reply })
    }

    pub(crate) fn break_off(&mut self, seen: &Seen, sent: bool) -> Vec<dispatch::Action> {
        let attempt = seen.attempt;
        let mut actions = self.handle(dispatch::Event::ConnectionLost { attempt, sent });
        let cancels = |a: &dispatch::Action| matches!(a, dispatch::Action::CancelAttempt { .. });
        if actions.iter().any(cancels) {
            actions.extend(self.handle(dispatch::Event::CancelFailed { attempt }));
        }
        actions
    }

    pub(crate) fn refuse(&mut self, seen: &Seen, status: u16) -> Vec<dispatch::Action> {
        let reply = backend::RefusedReply {
            attempt: seen.attempt,
            ran: false,
            retry_after_ms: Some(200),
        };
        self.handle(dispatch::Event::Refused {
            attempt: seen.attempt,
            status,
            reply,
        })
    }
}

/// Sends among actions.
pub(crate) fn sends(actions: &[dispatch::Action]) -> Vec<Seen> {
    let seen = actions.iter().filter_map(|action| match action {
        dispatch::Action::Send {
            attempt,
            server,
            body,
            ..
        } => Some(Seen {
            attempt: *attempt,
            server: server.clone(),
            body: body.clone(),
        }),
        _ => None,
    });
    seen.collect()
}

/// The only send among actions.
pub(crate) fn sent(actions: &[dispatch::Action]) -> Seen {
    let seen = sends(actions);
    assert_eq!(seen.len(), 1, "one send expected: {actions:?}");
    seen[0].clone()
}

/// Results among actions.
pub(crate) fn replies(actions: &[dispatch::Action]) -> Vec<(u64, dispatch::SubOutcome)> {
    let replies = actions.iter().filter_map(|action| match action {
        dispatch::Action::Reply { sub, outcome, .. } => Some((*sub, outcome.clone())),
        _ => None,
    });
    replies.collect()
}

/// Request that a send belongs to.
pub(crate) fn request_of(seen: &Seen) -> &str {
    match &seen.body {
        dispatch::Body::Search(request) => &request.request,
        dispatch::Body::Submit(request) => &request.request,
    }
}
