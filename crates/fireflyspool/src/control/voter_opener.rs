//! Opening the data folder, at the start and after a failure.

use std::time;

use crate::control;

/// Opens the data folder and creates a voter from its content.
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
