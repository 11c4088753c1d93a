//! Life cycle of a graceful shutdown.
//!
//! Callers keep an address answer for its lifetime and connect by themselves,
//! so an entry VM cannot simply stop. It passes four phases, and each
//! transition consumes the former one:
//!
//! 1. [`Serving`]: normal work.
//! 2. [`Announcing`]: the VM is marked as leaving and stands in no new address
//!    answer; it still serves, because callers hold old answers.
//! 3. [`Refusing`]: every old answer has run out; new requests are refused as
//!    not run with other addresses, running ones finish.
//! 4. [`Closed`]: nothing runs. If the time limit cut requests short, their
//!    number is known here, and the process reports it in its log and exit code.

mod announcing;
mod any_drain;
mod closed;
mod drain;
mod refusing;
mod serving;

pub use announcing::Announcing;
pub use any_drain::AnyDrain;
pub use closed::Closed;
pub use drain::Drain;
pub use refusing::Refusing;
pub use serving::Serving;
