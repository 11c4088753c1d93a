//! What happens to a searcher.

use fireflyspool::{backend, ids};

use crate::searcher;

/// Input of the machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request arrived.
    Arrive {
        /// Where the answer goes.
        ticket: ids::Ticket,
        /// What is to run.
        work: searcher::Work,
    },
    /// A cancellation arrived.
    Cancel {
        /// Where the answer goes.
        ticket: ids::Ticket,
        /// Attempt to cancel.
        request: backend::CancelRequest,
    },
    /// A connection arrived.
    Connect {
        /// Where the answer goes.
        ticket: ids::Ticket,
    },
    /// A connection ended.
    Disconnect {
        /// Incarnation that admitted it.
        incarnation: ids::Incarnation,
    },
    /// Somebody reads load, health or counters.
    Look {
        /// Where the answer goes.
        ticket: ids::Ticket,
    },
    /// An instruction arrived.
    Control(searcher::Control),
    /// The requested time has come.
    Timer,
}

impl Event {
    /// Ticket of the answer that the event asks for.
    pub fn ticket(&self) -> Option<ids::Ticket> {
        match self {
            Self::Arrive { ticket, .. }
            | Self::Cancel { ticket, .. }
            | Self::Connect { ticket }
            | Self::Look { ticket } => Some(*ticket),
            Self::Disconnect { .. } | Self::Control(_) | Self::Timer => None,
        }
    }
}
