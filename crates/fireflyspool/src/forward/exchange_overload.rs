//! Parts of services that cannot take all requests.

use std::time;

use crate::forward::any_part;
use crate::{fleet, forward};

/// Attempts of one part that may be refused before the part is given up.
const REJECTION_LIMIT: usize = 3;

/// Share of lost parts above which sparing a service is worth its part.
const SATURATION: f64 = 0.3;

impl forward::Exchange {
    /// Gives up parts of saturated services, as many as the answer may miss.
    ///
    /// With more saturated services than that, each is spared by a part of the
    /// requests, so that the rest of them find it less loaded.
    pub(super) fn skip_saturated(
        &mut self,
        fleet: &fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) {
        let mut spare = self.parts.len() - self.required;
        let mut saturated = Vec::new();
        for part in 0..self.parts.len() {
            let Some(open) = self.parts[part].open_mut() else {
                continue;
            };
            if !fleet.is_usable(&open.service, now) {
                spare = spare.saturating_sub(1);
            } else if fleet.loss_rate(&open.service, now) > SATURATION {
                saturated.push(part);
            }
        }
        if saturated.is_empty() {
            return;
        }
        let first = usize::try_from(entropy >> 32).unwrap_or(0) % saturated.len();
        saturated.rotate_left(first);
        for part in saturated.into_iter().take(spare) {
            if let Some(open) = self.parts[part].open_mut() {
                open.state.skipped = true;
            }
            self.lose(part, None);
        }
    }

    /// Sends a refused part elsewhere, if the request can still be completed.
    ///
    /// A request that has too many refused parts for its budget would only
    /// take retries from requests that can succeed.
    pub(super) fn retry_refused(
        &mut self,
        part: usize,
        fleet: &mut fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) {
        let hopeless = self.lacks_retries(fleet, now);
        let Some(open) = self.parts[part].open_mut() else {
            return;
        };
        open.state.refused = false;
        let allowed = !hopeless
            && open.state.rejected <= REJECTION_LIMIT
            && now < self.timing.deadline
            && self.take_repeat(part, fleet, now);
        if allowed && self.send(part, fleet, entropy, now) {
            self.retries += 1;
        } else {
            self.lose(part, None);
        }
    }

    /// Whether more parts are refused than retries and missing parts can make up for.
    fn lacks_retries(&mut self, fleet: &mut fleet::Fleet, now: time::Instant) -> bool {
        let mut present = 0;
        for part in &mut self.parts {
            let counts = match part {
                any_part::AnyPart::Filled(_) => true,
                any_part::AnyPart::Lost(_) => false,
                any_part::AnyPart::Open(open) => {
                    !open.state.refused || fleet.allows_repeat(&open.service, now)
                }
            };
            present += usize::from(counts);
        }
        present < self.required
    }
}
