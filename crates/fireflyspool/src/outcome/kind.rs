//! Kind of a request, which decides its priority.

/// Priority class of a request, the most urgent first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Somebody acts on the answer at once; goes first.
    Urgent,
    /// Somebody waits for the answer.
    #[default]
    Interactive,
    /// Can wait within its deadline while the tier is busy.
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
