//! Things that happen later in a simulation.

/// What happens at its time; attempts are named by their numbers.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Happening {
    Arrive,
    Answer(u64),
    Break(u64),
    Hedge(u64),
    CancelDone(u64),
}
