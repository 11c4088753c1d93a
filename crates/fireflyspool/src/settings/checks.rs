//! Checks of settings against each other.

use std::time;

use crate::settings::{self, reader};

/// Longest lease; a replaced configuration stays usable for that long.
const LONGEST_LEASE: time::Duration = time::Duration::from_secs(3);

impl settings::Settings {
    /// Checks values against each other.
    pub(super) fn check(&self, faults: &mut Vec<settings::Fault>) {
        if self.has(settings::Role::Control) && self.data.is_none() {
            faults.push(reader::fault(
                "data",
                "missing; the control role needs a data folder",
            ));
        }
        // Two renewals may be lost before the lease ends.
        if self.lease_duration < self.lease_renewal * 3 {
            let message = "must be at least three times lease-renewal";
            faults.push(reader::fault("lease-duration", message));
        }
        // A replaced configuration stays usable for a lease; operators are promised seconds.
        if self.lease_duration > LONGEST_LEASE {
            faults.push(reader::fault("lease-duration", "must be at most 3s"));
        }
        if self.http == self.rpc && self.http.port() != 0 {
            faults.push(reader::fault("rpc", "must differ from http"));
        }
        for (position, peer) in self.control.iter().enumerate() {
            let twin = self.control[..position]
                .iter()
                .any(|other| other.node == peer.node);
            if twin {
                let path = format!("control[{position}].node");
                faults.push(reader::fault(&path, "is listed twice"));
            }
        }
    }
}
