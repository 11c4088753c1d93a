//! Subject of a `show` statement.

/// Part of the state that can be shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Show {
    /// Availability zones.
    Zones,
    /// Backend servers.
    Servers,
    /// Collections and their index versions.
    Collections,
    /// Services and their limits.
    Services,
    /// Entry VMs.
    Entries,
    /// Members of the control group.
    Members,
    /// Configuration values.
    Configuration,
    /// History of accepted changes.
    History,
}

impl Show {
    /// All parts, in order of declaration.
    pub const ALL: [Self; 8] = [
        Self::Zones,
        Self::Servers,
        Self::Collections,
        Self::Services,
        Self::Entries,
        Self::Members,
        Self::Configuration,
        Self::History,
    ];

    /// Name as written in a statement.
    pub fn name(self) -> &'static str {
        match self {
            Self::Zones => "zones",
            Self::Servers => "servers",
            Self::Collections => "collections",
            Self::Services => "services",
            Self::Entries => "entries",
            Self::Members => "members",
            Self::Configuration => "configuration",
            Self::History => "history",
        }
    }
}
