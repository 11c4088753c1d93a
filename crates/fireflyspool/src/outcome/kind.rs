//! Priority class of a request.

/// Priority class of a request; ordered, the most urgent first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// The answer is acted on at once; served first.
    Urgent,
    /// The caller waits for the answer.
    #[default]
    Interactive,
    /// May be held back until close to its deadline while the tier is busy.
    Deferrable,
}

impl Kind {
    /// All kinds, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Interactive, Self::Deferrable];

    /// Position in [`Kind::ALL`].
    pub fn index(self) -> usize {
        match self {
            Self::Urgent => 0,
            Self::Interactive => 1,
            Self::Deferrable => 2,
        }
    }

    /// Name as written in the query language and in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Interactive => "interactive",
            Self::Deferrable => "deferrable",
        }
    }
}
