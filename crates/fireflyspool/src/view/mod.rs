//! Immutable snapshot of what the control thread knows.
//!
//! The control thread publishes a new [`View`] whenever the lease, the catalog
//! or the roster changes; traffic threads load it without a lock. A view is
//! valid only while its lease is: [`View::may_act`] is checked again right
//! before anything leaves for a backend server, because the process may have
//! been stopped between loading the view and using it.

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
