//! Registration of one request at the admission.

use std::{sync, time};

use crate::{admission, ids, node};

/// Reports the end of a request to admission; that its caller left if it is dropped first.
pub(super) struct AdmissionPass {
    forwarding: sync::Arc<node::Forwarding>,
    ticket: Option<ids::Ticket>,
}

impl AdmissionPass {
    /// Registration of a request that has arrived.
    pub(super) fn new(forwarding: sync::Arc<node::Forwarding>, ticket: ids::Ticket) -> Self {
        Self {
            forwarding,
            ticket: Some(ticket),
        }
    }

    /// Reports how the request ended.
    pub(super) fn end(mut self, end: admission::End) {
        self.report(end);
    }

    fn report(&mut self, end: admission::End) {
        if let Some(ticket) = self.ticket.take() {
            let event = admission::Event::Ended { ticket, end };
            self.forwarding
                .admission()
                .handle(event, time::Instant::now());
        }
    }
}

impl Drop for AdmissionPass {
    fn drop(&mut self) {
        self.report(admission::End::Gone);
    }
}
