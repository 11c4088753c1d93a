//! Configuration keys that operators can set while the tier runs.

use std::time;

use crate::state;

/// Key of a configuration value, with its default and range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigKey {
    /// How long an answer with addresses is valid.
    AddressLifetime,
    /// Share of hedges among first attempts, in permille.
    HedgeBudget,
    /// Share of retries among first attempts, in permille.
    RetryBudget,
    /// Quantile of service time after which a hedge is sent, in permille.
    HedgeQuantile,
    /// Requests that wait on one entry VM, all kinds together.
    QueueLimit,
    /// Share of admissions that kinds below urgent keep under load, in permille.
    LowShare,
    /// Sub-requests a minute above which deferrable requests are paced; 0 uses the month's peak.
    PeakLimit,
}

impl ConfigKey {
    /// All keys.
    pub const ALL: [Self; 7] = [
        Self::AddressLifetime,
        Self::HedgeBudget,
        Self::RetryBudget,
        Self::HedgeQuantile,
        Self::QueueLimit,
        Self::LowShare,
        Self::PeakLimit,
    ];

    /// Name as operators write it.
    pub fn name(self) -> &'static str {
        match self {
            Self::AddressLifetime => "address-lifetime",
            Self::HedgeBudget => "hedge-budget",
            Self::RetryBudget => "retry-budget",
            Self::HedgeQuantile => "hedge-quantile",
            Self::QueueLimit => "queue-limit",
            Self::LowShare => "low-share",
            Self::PeakLimit => "peak-limit",
        }
    }

    /// Key of that name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|key| key.name() == name)
    }

    /// Number that applies while no operator has set one; durations in milliseconds.
    pub fn default_number(self) -> u64 {
        match self {
            Self::AddressLifetime => 5_000,
            Self::HedgeBudget => 45,
            Self::RetryBudget => 100,
            Self::HedgeQuantile => 960,
            Self::QueueLimit => 512,
            Self::LowShare => 100,
            Self::PeakLimit => 0,
        }
    }

    /// Parses what an operator wrote: a duration with its unit, or a number.
    ///
    /// # Errors
    ///
    /// Returns [`state::ChangeError::InvalidValue`] if the text is no such
    /// number or lies outside the range of this key.
    pub fn parse(self, text: &str) -> Result<u64, state::ChangeError> {
        let invalid =
            |why: &str| state::ChangeError::InvalidValue(format!("{}: {why}", self.name()));
        let number = match self {
            Self::AddressLifetime => humantime::parse_duration(text)
                .ok()
                .and_then(|duration| u64::try_from(duration.as_millis()).ok())
                .ok_or_else(|| invalid("expected a duration with its unit, such as 5s"))?,
            _ => text
                .parse()
                .map_err(|_| invalid("expected a whole number"))?,
        };
        if self.range().contains(&number) {
            Ok(number)
        } else {
            let range = self.range();
            Err(invalid(&format!(
                "must lie in {} to {}",
                range.start(),
                range.end()
            )))
        }
    }

    fn range(self) -> std::ops::RangeInclusive<u64> {
        match self {
            // Callers ask again within this time, so it bounds how long a drain waits for them.
            Self::AddressLifetime => 100..=60_000,
            Self::HedgeBudget | Self::RetryBudget => 0..=500,
            Self::HedgeQuantile => 500..=999,
            Self::QueueLimit => 1..=100_000,
            Self::LowShare => 0..=900,
            Self::PeakLimit => 0..=u64::MAX / 2,
        }
    }

    /// Parsed number as a duration in milliseconds.
    pub fn as_duration(number: u64) -> time::Duration {
        time::Duration::from_millis(number)
    }
}
