//! Table `Limits` of the settings file.

/// Resources that a process may take.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Deserialize)]
pub(super) struct ProcessLimits {
    /// Memory in megabytes, beyond which the process is killed.
    #[serde(rename = "MemoryMb", default = "default_memory")]
    pub(super) memory_mb: usize,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        Self {
            memory_mb: default_memory(),
        }
    }
}

/// Memory in megabytes of the smallest VM that is known.
fn default_memory() -> usize {
    128
}
