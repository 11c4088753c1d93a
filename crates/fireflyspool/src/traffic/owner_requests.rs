//! Sub-requests between coordinators and owners: sending and receiving side.

use std::time;

use tokio::sync::oneshot;

use crate::{control, dispatch, ids, rim, traffic};

/// Timeout of a cancel call to an owner.
const CANCEL_TIMEOUT: time::Duration = time::Duration::from_millis(500);

impl traffic::EntryNode {
    /// Runs a sub-request on a backend server that this VM owns.
    pub async fn dispatch(&self, sub_request: Box<dispatch::SubRequest>) -> dispatch::SubOutcome {
        let Some(service) = self.services.get(&sub_request.service) else {
            return not_run(dispatch::SkipCause::NoServer);
        };
        let (sender, receiver) = oneshot::channel();
        let message = traffic::ServiceMessage::Submit(sub_request, sender);
        if service.try_send(message).is_err() {
            return not_run(dispatch::SkipCause::QueueFull);
        }
        let lost = dispatch::SubOutcome::Failed {
            server: None,
            cause: dispatch::FailureCause::OwnerLost,
        };
        receiver.await.unwrap_or(lost)
    }

    /// Cancels sub-requests that a coordinator sent to this VM.
    pub fn cancel(&self, call: &rim::CancelCall) {
        let Some(service) = self.services.get(&call.service) else {
            return;
        };
        for sub in &call.subs {
            let event = dispatch::Event::Cancel {
                coordinator: call.coordinator,
                incarnation: call.incarnation,
                sub: *sub,
            };
            // A lost cancellation only lets the attempt run to its deadline.
            let _ = service.try_send(traffic::ServiceMessage::Event(event));
        }
    }

    /// Runs a sub-request at its owner, which may be this VM.
    ///
    /// The owner gets `grace` beyond the deadline to report the outcome.
    pub async fn run_at_owner(
        &self,
        owner: ids::NodeId,
        sub_request: dispatch::SubRequest,
        grace: time::Duration,
    ) -> dispatch::SubOutcome {
        if owner == self.shared.node {
            return self.dispatch(Box::new(sub_request)).await;
        }
        let address = self
            .shared
            .view
            .load()
            .members
            .get(&owner)
            .map(|member| member.rpc);
        let Some(address) = address else {
            return not_run(dispatch::SkipCause::NoServer);
        };
        let peer = self.peers.get(owner, address);
        let timeout = sub_request.remaining + grace;
        match peer
            .call(rim::Method::Dispatch, &sub_request, timeout)
            .await
        {
            Ok(outcome) => outcome,
            Err(error) if !error.may_have_arrived() => not_run(dispatch::SkipCause::NoServer),
            Err(_) => dispatch::SubOutcome::Failed {
                server: None,
                cause: dispatch::FailureCause::OwnerLost,
            },
        }
    }

    /// Cancels sub-requests at their owner without waiting for an answer.
    pub fn send_cancel(&self, owner: ids::NodeId, service: &str, subs: Vec<ids::SubRequestId>) {
        let call = rim::CancelCall {
            coordinator: self.shared.node,
            incarnation: self.shared.incarnation,
            service: service.to_owned(),
            subs,
        };
        if owner == self.shared.node {
            self.cancel(&call);
            return;
        }
        let address = self
            .shared
            .view
            .load()
            .members
            .get(&owner)
            .map(|member| member.rpc);
        let Some(address) = address else { return };
        let peer = self.peers.get(owner, address);
        tokio::spawn(async move {
            // A lost cancellation only lets the attempt run to its deadline.
            let _ = peer
                .call::<_, ()>(rim::Method::Cancel, &call, CANCEL_TIMEOUT)
                .await;
        });
    }

    /// Reports the backend servers that no service task has a client for as released.
    ///
    /// Dispatchers report the other servers when the last attempt on them has
    /// ended. A server that was assigned and removed between two views is known
    /// to no dispatcher, so it must be reported here.
    pub async fn release_unknown(&self, servers: Vec<ids::ServerName>) {
        for server in servers {
            if !self.has_client(&server).await {
                self.shared
                    .tell_control(control::Event::ConnectionsClosed(server));
            }
        }
    }

    pub(super) async fn has_client(&self, server: &str) -> bool {
        for service in self.services.all() {
            let (sender, receiver) = oneshot::channel();
            let message = traffic::ServiceMessage::HasClient(server.to_owned(), sender);
            if service.send(message).await.is_ok() && receiver.await.unwrap_or(false) {
                return true;
            }
        }
        false
    }
}

fn not_run(cause: dispatch::SkipCause) -> dispatch::SubOutcome {
    dispatch::SubOutcome::NotRun {
        cause,
        retry_after: None,
    }
}
