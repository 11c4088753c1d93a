//! Opening of the data folder after a failure.

use std::time;

use crate::control;

/// Opens the data folder and makes a voter of it.
///
/// The flag asks for a new identity, because the former one was retired.
pub type VoterOpener = Box<
    dyn FnMut(
            bool,
            &dyn control::Outlet,
            time::Instant,
        ) -> Result<control::Voter, control::ControlError>
        + Send,
>;
