//! How much evidence a decision needs.

/// Bounds on the bad responses of the target version beyond those expected from the old one.
#[derive(Clone, Copy, Debug)]
pub(super) struct Threshold {
    /// Least number of bad responses beyond the expected ones.
    pub(super) excess: f64,
    /// The same in standard deviations.
    pub(super) deviations: f64,
}

impl Threshold {
    /// Rolls back at any time: far fewer than the 50 bad responses after which a version must
    /// get no more requests, and rare by chance although it is checked many times.
    pub(super) const ONGOING: Self = Self {
        excess: 12.0,
        deviations: 4.0,
    };

    /// Rolls back instead of completing; checked few times.
    pub(super) const FINAL: Self = Self {
        excess: 6.0,
        deviations: 3.0,
    };

    /// Keeps the share from being raised.
    pub(super) const SUSPICION: Self = Self {
        excess: 3.0,
        deviations: 2.0,
    };
}
