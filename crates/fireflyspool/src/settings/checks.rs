//! Consistency checks between settings.

use std::time;

use crate::settings::{self, reader};

/// A replaced configuration stays usable for one lease, and operators are
/// promised that it is out of use within seconds.
const MAX_LEASE_DURATION: time::Duration = time::Duration::from_secs(3);

impl settings::Settings {
    /// Adds a fault for each value that contradicts another or exceeds its limit.
    pub(super) fn check_consistency(&self, faults: &mut Vec<settings::Fault>) {
        if self.has(settings::Role::Control) && self.data.is_none() {
            faults.push(reader::fault(
                "data",
                "missing; the control role needs a data folder",
            ));
        }
        // The lease must survive two lost renewals.
        if self.lease_duration < self.lease_renewal * 3 {
            let message = "must be at least three times lease-renewal";
            faults.push(reader::fault("lease-duration", message));
        }
        if self.lease_duration > MAX_LEASE_DURATION {
            faults.push(reader::fault("lease-duration", "must be at most 3s"));
        }
        if self.http == self.rpc && self.http.port() != 0 {
            faults.push(reader::fault("rpc", "must differ from http"));
        }
        for (position, peer) in self.control.iter().enumerate() {
            let duplicate = self.control[..position]
                .iter()
                .any(|other| other.node == peer.node);
            if duplicate {
                let path = format!("control[{position}].node");
                faults.push(reader::fault(&path, "is listed twice"));
            }
        }
    }
}
