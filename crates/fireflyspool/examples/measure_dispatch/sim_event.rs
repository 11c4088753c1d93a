//! Scheduled events of a simulation.

/// Arrival of a query, or an event about the attempt with this number.
#[derive(Clone, Copy, Debug)]
pub(crate) enum SimEvent {
    QueryArrived,
    Answered(u64),
    ConnectionLost(u64),
    Hedge(u64),
    CancelAnswered(u64),
}
