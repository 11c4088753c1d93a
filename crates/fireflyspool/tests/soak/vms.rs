//! All VMs of one run.

use std::sync;

use tokio::sync::Mutex;

use super::vm::Vm;

/// VM whose lock a fault holds while it acts on it.
pub(crate) type SharedVm = sync::Arc<Mutex<Vm>>;

/// VMs by role.
#[derive(Clone)]
pub(crate) struct Vms {
    pub(crate) controls: Vec<SharedVm>,
    pub(crate) entries: Vec<SharedVm>,
}
