//! Life cycle of the graceful shutdown of an entry VM.
//!
//! Callers keep an address answer for its lifetime and connect directly, so an
//! entry VM cannot stop at once. It passes through four phases, and each
//! transition consumes the previous one:
//!
//! 1. [`Serving`]: no shutdown has begun.
//! 2. [`Announcing`]: the VM is marked as leaving and left out of new address
//!    answers; it still serves, because callers hold old answers.
//! 3. [`Refusing`]: every old answer has expired; new requests are refused as
//!    not run, with the addresses of other entry VMs, and running ones finish.
//! 4. [`Closed`]: nothing runs. The number of requests aborted at the deadline is
//!    known here, and the process reports it in its log and exit code.

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
