//! Life cycle of a searcher as a typestate.
//!
//! A transition consumes the life in its old state, so that a searcher that
//! leaves cannot become ready again in the same incarnation.

mod away;
mod leaving;
#[expect(
    clippy::module_inception,
    reason = "one type a file, the file named after it"
)]
mod life;
mod ready;
mod stage;
mod starting;

pub use away::Away;
pub use leaving::Leaving;
pub use life::Life;
pub use ready::Ready;
pub use stage::Stage;
pub use starting::Starting;
