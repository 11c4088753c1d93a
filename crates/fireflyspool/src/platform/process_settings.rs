//! Settings file of a process.

use std::{env, fs, net, path, time};

use crate::platform::{bounds, listen_addresses, process_limits};
use crate::{fleet, node, platform, rollout};

/// Environment variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "FIREFLYSPOOL_CONFIG";

/// Site name recorded in data folders, because the platform has no name for a site.
const SITE: &str = "platform";

/// The settings that this project uses; others in the file are ignored.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ProcessSettings {
    node_name: String,
    ip: net::IpAddr,
    zone: String,
    #[serde(default)]
    region: String,
    /// First and last port available for traffic between processes.
    internal_port_range: (u16, u16),
    /// Addresses for operators of the control VMs.
    seeds: Vec<net::SocketAddr>,
    #[serde(default)]
    bootstrap: bool,
    #[serde(default)]
    data_dir: Option<path::PathBuf>,
    #[serde(rename = "HeartbeatMs", default = "default_heartbeat")]
    heartbeat: u64,
    #[serde(default)]
    listen_addrs: listen_addresses::ListenAddresses,
    /// Parts of the protocol that the installation uses.
    #[serde(default)]
    contracts: Vec<String>,
    #[serde(default)]
    bounds: bounds::Bounds,
    #[serde(default)]
    limits: process_limits::ProcessLimits,
}

/// Part of the protocol with rollouts.
const ROLLOUT_CONTRACT: &str = "rollout";

/// Heartbeat interval in milliseconds that all known installations use.
fn default_heartbeat() -> u64 {
    1_200
}

impl ProcessSettings {
    /// Reads the settings file that `FIREFLYSPOOL_CONFIG` names.
    ///
    /// # Errors
    ///
    /// Returns a [`platform::PlatformError`] if the variable is not set, or the
    /// file cannot be read or parsed.
    pub fn from_environment() -> Result<Self, platform::PlatformError> {
        let named = env::var_os(SETTINGS_VARIABLE);
        let path = named.ok_or(platform::PlatformError::NoSettings(SETTINGS_VARIABLE))?;
        Self::load(path::Path::new(&path))
    }

    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Returns a [`platform::PlatformError`] if it cannot be read or parsed.
    pub fn load(path: &path::Path) -> Result<Self, platform::PlatformError> {
        let path = path.to_owned();
        let text = match fs::read_to_string(&path) {
            Ok(text) => text,
            Err(source) => return Err(platform::PlatformError::Read { path, source }),
        };
        toml::from_str(&text).map_err(|source| platform::PlatformError::Parse {
            path,
            source: Box::new(source),
        })
    }

    /// Settings of an entry VM.
    ///
    /// # Errors
    ///
    /// Returns a [`platform::PlatformError`] if the address for callers is
    /// missing or a bound is not a valid duration.
    pub fn entry(&self) -> Result<node::EntrySettings, platform::PlatformError> {
        let callers = required("ListenAddrs.Frontend", self.listen_addrs.callers)?;
        Ok(node::EntrySettings {
            callers,
            listener: self.rpc_listener(self.ip),
            zone: self.zone.clone(),
            region: self.region.clone(),
            contacts: self.contacts(),
            limits: fleet::RetryLimits {
                ratio: self.bounds.retry_ratio,
                slack: self.bounds.retry_slack,
                window: seconds("Bounds.RetryWindowS", self.bounds.retry_window)?,
            },
            accounts: self.account_limits()?,
            ranked: false,
            rollouts: self.contracts.iter().any(|name| name == ROLLOUT_CONTRACT),
            grace: seconds("Bounds.GraceS", self.bounds.grace)?,
        })
    }

    fn account_limits(&self) -> Result<node::AccountLimits, platform::PlatformError> {
        let bounds = &self.bounds;
        let revocation = seconds("Bounds.RevokeMs", bounds.revocation_ms / 1_000.0)?;
        Ok(node::AccountLimits {
            revocation: bounds.strict_revocation.then_some(revocation),
            window: seconds("Bounds.QuotaWindowS", bounds.quota_window)?,
            overshoot: bounds.quota_overshoot,
            slack: bounds.quota_slack,
        })
    }

    fn rollout_limits(&self) -> Result<rollout::Limits, platform::PlatformError> {
        let bounds = &self.bounds;
        Ok(rollout::Limits {
            exposure: bounds.exposure,
            slack: bounds.exposure_slack,
            rollback: seconds("Bounds.RollbackMs", bounds.rollback_ms / 1_000.0)?,
        })
    }

    /// Settings of a control VM.
    ///
    /// # Errors
    ///
    /// Returns a [`platform::PlatformError`] if an address or the data folder is missing.
    pub fn control(&self) -> Result<node::ControlSettings, platform::PlatformError> {
        Ok(node::ControlSettings {
            site: SITE.to_owned(),
            rpc: self.rpc_listener(self.ip),
            control: required("ListenAddrs.Control", self.listen_addrs.control)?,
            zone: self.zone.clone(),
            data: required("DataDir", self.data_dir.clone())?,
            contacts: self.contacts(),
            rollouts: self.rollout_limits()?,
            founding: self.bootstrap,
            heartbeat: time::Duration::from_millis(self.heartbeat),
        })
    }

    /// Bytes that responses of backend servers, or requests of operators, may take while they are
    /// received: a quarter of the memory of the process.
    pub fn message_memory(&self) -> usize {
        self.limits.memory_mb.saturating_mul(1024 * 1024) / 4
    }

    /// Address for readiness checks, if this process has one.
    pub fn readiness(&self) -> Option<net::SocketAddr> {
        self.listen_addrs.readiness
    }

    /// Address for address queries of callers, if this process has one.
    pub fn directory(&self) -> Option<net::SocketAddr> {
        self.listen_addrs.directory
    }

    /// Name of the VM, for the log.
    pub fn name(&self) -> &str {
        &self.node_name
    }

    /// Address for metrics: the last internal port.
    pub fn metrics(&self) -> net::SocketAddr {
        net::SocketAddr::new(self.ip, self.internal_port_range.1)
    }

    fn contacts(&self) -> Vec<net::SocketAddr> {
        self.seeds
            .iter()
            .map(|seed| self.rpc_listener(seed.ip()))
            .collect()
    }

    /// Listener for other processes on a VM: the first internal port, which is
    /// the same on all VMs.
    fn rpc_listener(&self, ip: net::IpAddr) -> net::SocketAddr {
        net::SocketAddr::new(ip, self.internal_port_range.0)
    }
}

fn required<T>(name: &'static str, value: Option<T>) -> Result<T, platform::PlatformError> {
    value.ok_or_else(|| platform::PlatformError::Setting {
        name,
        detail: "is missing".to_owned(),
    })
}

fn seconds(name: &'static str, seconds: f64) -> Result<time::Duration, platform::PlatformError> {
    time::Duration::try_from_secs_f64(seconds).map_err(|error| platform::PlatformError::Setting {
        name,
        detail: error.to_string(),
    })
}
