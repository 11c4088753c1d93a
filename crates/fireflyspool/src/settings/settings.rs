//! Settings of one process.

use std::{fs, net, path, time};

use serde_json::Value;

use crate::{ids, settings};

/// Everything a process learns from its file.
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
    /// Address for callers, operators and backend servers.
    pub http: net::SocketAddr,
    /// Address for other processes of the tier.
    pub rpc: net::SocketAddr,
    /// File with the key that all processes of the site share.
    pub key_file: path::PathBuf,
    /// Data folder; needed by the control role.
    pub data: Option<path::PathBuf>,
    /// Founding members of the control group.
    pub control: Vec<settings::ControlPeer>,
    /// Time for which a lease is granted.
    #[serde(serialize_with = "humantime_text")]
    pub lease_duration: time::Duration,
    /// Time between two renewals.
    #[serde(serialize_with = "humantime_text")]
    pub lease_renewal: time::Duration,
    /// Longest deadline that a caller may ask for.
    #[serde(serialize_with = "humantime_text")]
    pub deadline_limit: time::Duration,
    /// Largest body of a request.
    pub body_limit: settings::Size,
    /// Traffic threads; 0 takes one for each core.
    pub traffic_threads: usize,
    /// Log lines that may wait; lines beyond are dropped and counted.
    pub log_queue: usize,
    /// Whether each placement of a sub-request is logged.
    pub log_placements: bool,
}

impl Settings {
    /// Reads and checks a file.
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

    /// Whether this process has a role.
    pub fn has(&self, role: settings::Role) -> bool {
        self.roles.contains(&role)
    }

    fn read(value: &Value, folder: &path::Path) -> Result<Self, Vec<settings::Fault>> {
        let mut faults = Vec::new();
        let read = Self::read_fields(value, folder, &mut faults);
        match read {
            Some(read) if faults.is_empty() => {
                read.check(&mut faults);
                if faults.is_empty() {
                    Ok(read)
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
