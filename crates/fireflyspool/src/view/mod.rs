//! Immutable snapshot of the control state for the traffic threads.
//!
//! The control thread publishes a new [`View`] whenever the lease, the catalog
//! or the roster changes; traffic threads load it without a lock. A view is
//! valid only while its lease is: [`View::may_act`] is checked again right
//! before anything is sent to a backend server, because the process may have
//! been paused between loading the view and using it.

mod member;
mod server_record;
#[expect(
    clippy::module_inception,
    reason = "one type a file, the file named after it"
)]
mod view;

pub use member::Member;
pub use server_record::ServerRecord;
pub use view::View;
