//! Age of a view with respect to keys.

use std::time;

/// Share of the bound on a withdrawn key within which a view must have been confirmed. The rest
/// allows for clocks that run at different rates and for the time from the check to the send.
const SERVING_SHARE: f64 = 0.8;

/// Bound that applies to unknown keys where none is set for withdrawn ones.
const DEFAULT_BOUND: time::Duration = time::Duration::from_secs(5);

/// How long ago a majority of the control VMs confirmed a view, with the bound on withdrawn keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    /// Age of the view's authority; `None` if there is none.
    age: Option<time::Duration>,
    /// Time within which a withdrawn key stops working; `None` if there is no bound.
    bound: Option<time::Duration>,
}

impl Freshness {
    /// Freshness at a boot time of a view with this authority.
    pub fn new(
        authority: Option<time::Duration>,
        bound: Option<time::Duration>,
        boot: time::Duration,
    ) -> Self {
        let age = authority.map(|authority| boot.saturating_sub(authority));
        Self { age, bound }
    }

    /// Whether a known key may be served.
    pub fn may_serve(self) -> bool {
        self.bound.is_none_or(|bound| self.is_within(bound))
    }

    /// Whether an unknown key may be denied for good.
    pub fn may_deny(self) -> bool {
        self.is_within(self.bound.unwrap_or(DEFAULT_BOUND))
    }

    fn is_within(self, bound: time::Duration) -> bool {
        self.age
            .is_some_and(|age| age < bound.mul_f64(SERVING_SHARE))
    }
}
