//! Settings of one process.

use std::{fs, net, path, time};

use serde_json::Value;

use crate::{ids, settings};

/// Validated settings of one process; fixed while it runs.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Settings {
    /// Name of the site; processes of different sites never work together.
    pub site: String,
    /// Number of this VM.
    pub node: ids::NodeId,
    /// Availability zone of this VM.
    pub zone: ids::ZoneName,
    /// Roles of this process.
    pub roles: Vec<settings::Role>,
    /// Listen address for callers, operators and backend servers.
    pub http: net::SocketAddr,
    /// Listen address for other processes of the tier.
    pub rpc: net::SocketAddr,
    /// File with the key that all processes of the site share.
    pub key_file: path::PathBuf,
    /// Data folder; required by the control role.
    pub data: Option<path::PathBuf>,
    /// Founding members of the control group.
    pub control: Vec<settings::ControlPeer>,
    /// Duration of a lease; at most 3 s and at least three renewal intervals.
    #[serde(serialize_with = "humantime_text")]
    pub lease_duration: time::Duration,
    /// Interval between lease renewals.
    #[serde(serialize_with = "humantime_text")]
    pub lease_renewal: time::Duration,
    /// Longest deadline that a caller may request.
    #[serde(serialize_with = "humantime_text")]
    pub deadline_limit: time::Duration,
    /// Maximum size of a request body.
    pub body_limit: settings::Size,
    /// Number of traffic threads; 0 starts one per core.
    pub traffic_threads: usize,
    /// Capacity of the log queue in lines; further lines are dropped and counted.
    pub log_queue: usize,
    /// Whether each placement of a sub-request is logged.
    pub log_placements: bool,
}

impl Settings {
    /// Reads and validates a settings file; relative paths in it start at its folder.
    ///
    /// # Errors
    ///
    /// Returns a [`settings::SettingsError`]; its variant for invalid content
    /// holds every fault of the file.
    pub fn load(path: &path::Path) -> Result<Self, settings::SettingsError> {
        let text = fs::read_to_string(path).map_err(|source| settings::SettingsError::Read {
            path: path.to_owned(),
            source,
        })?;
        let value: Value =
            serde_saphyr::from_str(&text).map_err(|error| settings::SettingsError::Syntax {
                path: path.to_owned(),
                message: error.to_string(),
            })?;
        let folder = path.parent().unwrap_or(path::Path::new("."));
        Self::read(&value, folder).map_err(|faults| settings::SettingsError::Invalid {
            path: path.to_owned(),
            faults,
        })
    }

    /// Returns whether this process has a role.
    pub fn has(&self, role: settings::Role) -> bool {
        self.roles.contains(&role)
    }

    fn read(value: &Value, folder: &path::Path) -> Result<Self, Vec<settings::Fault>> {
        let mut faults = Vec::new();
        let parsed = Self::read_fields(value, folder, &mut faults);
        match parsed {
            Some(settings) if faults.is_empty() => {
                settings.check_consistency(&mut faults);
                if faults.is_empty() {
                    Ok(settings)
                } else {
                    Err(faults)
                }
            }
            _ => Err(faults),
        }
    }
}

fn humantime_text<S: serde::Serializer>(
    duration: &time::Duration,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_str(&humantime::format_duration(*duration))
}
