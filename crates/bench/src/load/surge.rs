//! Time with another request rate.

use std::time;

use crate::duration_text;

/// Period in which the request rate is multiplied.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Surge {
    /// Begin, from the start of the run.
    #[serde(with = "duration_text")]
    pub at: time::Duration,
    /// Length.
    #[serde(with = "duration_text")]
    pub length: time::Duration,
    /// Factor on the rate.
    pub factor: f64,
}

impl Surge {
    /// Whether a moment lies in the period.
    pub fn covers(&self, offset: time::Duration) -> bool {
        (self.at..self.at + self.length).contains(&offset)
    }
}
