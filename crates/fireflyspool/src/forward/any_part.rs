//! A part in any state.

use crate::{forward, ids};

/// Holds the states of [`forward::Part`] in one place.
#[derive(Debug)]
pub(super) enum AnyPart {
    Open(forward::Part<forward::Open>),
    Filled(forward::Part<forward::Filled>),
    Lost(forward::Part<forward::Lost>),
}

impl AnyPart {
    /// Takes the part out and leaves an empty one in its place.
    pub(super) fn take(&mut self) -> Self {
        let state = forward::Lost {
            ran: false,
            skipped: false,
            failure: None,
        };
        let service = ids::ServiceName::new();
        std::mem::replace(self, Self::Lost(forward::Part { service, state }))
    }

    /// Fills an open part; others stay as they are.
    pub(super) fn fill(self, answer: forward::Answer) -> Self {
        match self {
            Self::Open(part) => Self::Filled(part.fill(answer)),
            other => other,
        }
    }

    /// Gives an open part up; others stay as they are.
    pub(super) fn lose(self, failure: Option<forward::Answer>) -> Self {
        match self {
            Self::Open(part) => Self::Lost(part.lose(failure)),
            other => other,
        }
    }

    pub(super) fn open_mut(&mut self) -> Option<&mut forward::Part<forward::Open>> {
        match self {
            Self::Open(part) => Some(part),
            _ => None,
        }
    }
}
