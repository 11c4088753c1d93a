//! Calls of backend servers and operators.

use crate::ids;

/// Call that a control VM serves, by method and path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ControlCall {
    /// A backend server reports about itself.
    Heartbeat(ids::ServerName),
    /// A backend server leaves.
    Departure(ids::ServerName),
    /// Replaces the configuration.
    Replace,
    /// Reads the configuration.
    Read,
    /// Takes a zone out of service.
    TakeOut(ids::ZoneName),
    /// Brings a zone back into service.
    BringBack(ids::ZoneName),
    /// Moves a service to another version.
    StartRollout,
    /// Reads the latest rollout of a service.
    ReadRollout(ids::ServiceName),
}

impl ControlCall {
    /// The call that a request makes; `None` if there is no such call.
    pub(super) fn of(method: &http::Method, path: &str) -> Option<Self> {
        let path = path.strip_prefix("/fireflyspool/")?;
        let (name, argument) = path.split_once('/').unwrap_or((path, ""));
        if argument.contains('/') {
            return None;
        }
        let argument = percent_encoding::percent_decode_str(argument);
        let argument = argument.decode_utf8().ok()?.into_owned();
        let has_argument = !argument.is_empty();
        match (method.as_str(), name, has_argument) {
            ("POST", "Instances.Heartbeat", true) => Some(Self::Heartbeat(argument)),
            ("POST", "Instances.Deregister", true) => Some(Self::Departure(argument)),
            ("POST", "Config.Replace", false) => Some(Self::Replace),
            ("GET", "Config.Get", false) => Some(Self::Read),
            ("POST", "Evacuation.Start", true) => Some(Self::TakeOut(argument)),
            ("POST", "Evacuation.Finish", true) => Some(Self::BringBack(argument)),
            ("POST", "Rollouts.Start", false) => Some(Self::StartRollout),
            ("GET", "Rollouts.Get", true) => Some(Self::ReadRollout(argument)),
            _ => None,
        }
    }
}
