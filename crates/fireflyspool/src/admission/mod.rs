//! Admission control: order and limits of the requests that one entry VM runs.
//!
//! [`Admission`] keeps arriving requests in a bounded queue and starts them by
//! kind and deadline while the cost of running requests stays below
//! [`ConcurrencyLimit`], which adapts to what this VM completes in time. A
//! request that cannot be served by its deadline is refused at once, while its
//! caller can still try another entry VM. Such a refusal is always "not run",
//! because nothing was sent.
//!
//! Kinds below urgent keep a share of the starts and of the queue, so that they
//! do not starve. Near the month's peak deferrable requests are held back until
//! the last moment at which they can still be served.
//!
//! Requests that are forwarded to backend servers which other entry VMs use too arrive with a
//! [`Forecast`]. Without a shortage of capacity they start at once; during one, the less urgent
//! and more costly ones are refused first, and the others wait as above.
//!
//! [`ReadCoalescer`] lets identical reads of the same snapshot share one run.

mod action;
#[expect(
    clippy::module_inception,
    reason = "one type a file, the file named after it"
)]
mod admission;
mod arriving;
mod concurrency_limit;
mod end;
mod event;
mod forecast;
mod join;
mod kind_ranking;
mod limits;
mod queue;
mod read_coalescer;
mod read_key;
mod reader;
mod release;
mod served_share;
mod shedding;
mod start_credits;
mod waiting;

pub(crate) use admission::MIN_RETRY_AFTER;
pub(crate) use forecast::is_shortage;

pub use action::Action;
pub use admission::Admission;
pub use concurrency_limit::ConcurrencyLimit;
pub use end::End;
pub use event::Event;
pub use forecast::Forecast;
pub use join::Join;
pub use kind_ranking::KindRanking;
pub use limits::Limits;
pub use read_coalescer::ReadCoalescer;
pub use read_key::ReadKey;
pub use reader::Reader;
pub use release::Release;
