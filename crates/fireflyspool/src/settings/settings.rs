//! Settings of one process.

use std::{fs, net, path, time};

use serde_json::Value;

use crate::{
    ids,
    settings::{self, reader},
};

/// Longest site or zone name.
const MAX_NAME: usize = 128;

/// Most founding members; a larger group only makes every commit slower.
const MAX_CONTROL: usize = 7;

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

    fn read_fields(
        value: &Value,
        folder: &path::Path,
        faults: &mut Vec<settings::Fault>,
    ) -> Option<Self> {
        let mut top = reader::Reader::new("", value, faults)?;
        let site = top.required("site", "a name", name, faults);
        let node = top.required("node", "a whole number above 0", positive, faults);
        let zone = top.required("zone", "a name", name, faults);
        let roles = read_roles(&mut top, faults);
        let http = top.required("http", ADDRESS, |text| text.parse().ok(), faults);
        let rpc = top.required("rpc", ADDRESS, |text| text.parse().ok(), faults);
        let file = |text: &str| (!text.is_empty()).then(|| folder.join(text));
        let key_file = top.required("key-file", "a file name", file, faults);
        let data = top.optional(
            "data",
            "a folder name",
            None,
            |text| file(text).map(Some),
            faults,
        );
        let control = read_control(&mut top, faults);
        let lease_duration = top.duration("lease-duration", LEASE_DURATION, faults);
        let lease_renewal = top.duration("lease-renewal", RENEWAL_INTERVAL, faults);
        let deadline_limit = top.duration("deadline-limit", DEADLINE_LIMIT, faults);
        let size = "a size with its unit, such as 64KiB";
        let body_limit = top.optional(
            "body-limit",
            size,
            BODY_LIMIT,
            settings::Size::parse,
            faults,
        );
        let count = |text: &str| text.parse().ok();
        let traffic_threads = top.optional("traffic-threads", "a whole number", 0, count, faults);
        let log_queue = top.optional("log-queue", "a whole number", LOG_QUEUE, count, faults);
        let flag = |text: &str| text.parse().ok();
        let log_placements = top.optional("log-placements", "true or false", true, flag, faults);
        top.finish(faults);
        Some(Self {
            site: site?,
            node: node?,
            zone: zone?,
            roles: roles?,
            http: http?,
            rpc: rpc?,
            key_file: key_file?,
            data,
            control: control?,
            lease_duration,
            lease_renewal,
            deadline_limit,
            body_limit,
            traffic_threads,
            log_queue,
            log_placements,
        })
    }

    /// Checks values against each other.
    fn check(&self, faults: &mut Vec<settings::Fault>) {
        if self.has(settings::Role::Control) && self.data.is_none() {
            faults.push(reader::fault(
                "data",
                "missing; the control role needs a data folder",
            ));
        }
        // Two renewals may be lost before the lease ends.
        if self.lease_duration < self.lease_renewal * 3 {
            let message = "must be at least three times lease-renewal";
            faults.push(reader::fault("lease-duration", message));
        }
        // A replaced configuration stays usable for a lease; operators are promised seconds.
        if self.lease_duration > LONGEST_LEASE {
            faults.push(reader::fault("lease-duration", "must be at most 3s"));
        }
        if self.http == self.rpc && self.http.port() != 0 {
            faults.push(reader::fault("rpc", "must differ from http"));
        }
        for (position, peer) in self.control.iter().enumerate() {
            let twin = self.control[..position]
                .iter()
                .any(|other| other.node == peer.node);
            if twin {
                let path = format!("control[{position}].node");
                faults.push(reader::fault(&path, "stands twice"));
            }
        }
    }
}

const ADDRESS: &str = "an IP address with port, such as 127.0.0.1:7101";
const LEASE_DURATION: time::Duration = time::Duration::from_secs(3);
const LONGEST_LEASE: time::Duration = time::Duration::from_secs(3);
const RENEWAL_INTERVAL: time::Duration = time::Duration::from_secs(1);
const DEADLINE_LIMIT: time::Duration = time::Duration::from_secs(10);
const BODY_LIMIT: settings::Size = settings::Size::from_bytes(64 * 1024);
const LOG_QUEUE: usize = 8_192;

fn name(text: &str) -> Option<String> {
    let fits = !text.is_empty() && text.len() <= MAX_NAME;
    fits.then(|| text.to_owned())
}

fn positive(text: &str) -> Option<u64> {
    text.parse().ok().filter(|number| *number > 0)
}

fn read_roles(
    top: &mut reader::Reader<'_>,
    faults: &mut Vec<settings::Fault>,
) -> Option<Vec<settings::Role>> {
    let expected = "a list of entry, control or both";
    let Some(Value::Array(items)) = top.value("roles") else {
        faults.push(reader::fault("roles", &format!("expected {expected}")));
        return None;
    };
    let role = |item: &Value| match item.as_str() {
        Some("entry") => Some(settings::Role::Entry),
        Some("control") => Some(settings::Role::Control),
        _ => None,
    };
    let roles: Option<Vec<_>> = items.iter().map(role).collect();
    let roles = roles.filter(|roles| !roles.is_empty());
    if roles.is_none() {
        faults.push(reader::fault("roles", &format!("expected {expected}")));
    }
    roles
}

fn read_control(
    top: &mut reader::Reader<'_>,
    faults: &mut Vec<settings::Fault>,
) -> Option<Vec<settings::ControlPeer>> {
    let Some(Value::Array(items)) = top.value("control") else {
        faults.push(reader::fault(
            "control",
            "expected the list of founding control VMs",
        ));
        return None;
    };
    if items.is_empty() || items.len() > MAX_CONTROL {
        let message = format!("expected 1 to {MAX_CONTROL} control VMs");
        faults.push(reader::fault("control", &message));
    }
    let mut peers = Vec::new();
    for (position, item) in items.iter().enumerate() {
        let mut peer = reader::Reader::new(&format!("control[{position}]"), item, faults)?;
        let node = peer.required("node", "a whole number above 0", positive, faults);
        let rpc = peer.required("rpc", ADDRESS, |text| text.parse().ok(), faults);
        peer.finish(faults);
        if let (Some(node), Some(rpc)) = (node, rpc) {
            peers.push(settings::ControlPeer { node, rpc });
        }
    }
    Some(peers)
}

fn humantime_text<S: serde::Serializer>(
    duration: &time::Duration,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_str(&humantime::format_duration(*duration))
}
