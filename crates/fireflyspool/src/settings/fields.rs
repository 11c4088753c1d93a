//! Parsing of the fields of a settings file.

use std::{path, time};

use serde_json::Value;

use crate::settings::{self, reader};

/// Maximum length of a site or zone name.
const MAX_NAME_BYTES: usize = 128;

/// Maximum number of founding members; a larger group only makes every commit slower.
const MAX_CONTROL_MEMBERS: usize = 7;

const EXPECTED_ADDRESS: &str = "an IP address with port, such as 127.0.0.1:7101";
const DEFAULT_LEASE_DURATION: time::Duration = time::Duration::from_secs(3);
const DEFAULT_LEASE_RENEWAL: time::Duration = time::Duration::from_secs(1);
const DEFAULT_DEADLINE_LIMIT: time::Duration = time::Duration::from_secs(10);
const DEFAULT_BODY_LIMIT: settings::Size = settings::Size::from_bytes(64 * 1024);
const DEFAULT_LOG_QUEUE_LINES: usize = 8_192;

impl settings::Settings {
    /// Reads every field; `None`, with faults added, if a required one is missing or invalid.
    pub(super) fn read_fields(
        value: &Value,
        folder: &path::Path,
        faults: &mut Vec<settings::Fault>,
    ) -> Option<Self> {
        let mut top = reader::Reader::new("", value, faults)?;
        let site = top.required("site", "a name", parse_name, faults);
        let node = top.required("node", "a whole number above 0", parse_positive, faults);
        let zone = top.required("zone", "a name", parse_name, faults);
        let roles = read_roles(&mut top, faults);
        let http = top.required("http", EXPECTED_ADDRESS, |text| text.parse().ok(), faults);
        let rpc = top.required("rpc", EXPECTED_ADDRESS, |text| text.parse().ok(), faults);
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
        let lease_duration = top.duration("lease-duration", DEFAULT_LEASE_DURATION, faults);
        let lease_renewal = top.duration("lease-renewal", DEFAULT_LEASE_RENEWAL, faults);
        let deadline_limit = top.duration("deadline-limit", DEFAULT_DEADLINE_LIMIT, faults);
        let size = "a size with its unit, such as 64KiB";
        let body_limit = top.optional(
            "body-limit",
            size,
            DEFAULT_BODY_LIMIT,
            settings::Size::parse,
            faults,
        );
        let count = |text: &str| text.parse().ok();
        let traffic_threads = top.optional("traffic-threads", "a whole number", 0, count, faults);
        let log_queue = top.optional(
            "log-queue",
            "a whole number",
            DEFAULT_LOG_QUEUE_LINES,
            count,
            faults,
        );
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
}

fn parse_name(text: &str) -> Option<String> {
    let valid = !text.is_empty() && text.len() <= MAX_NAME_BYTES;
    valid.then(|| text.to_owned())
}

fn parse_positive(text: &str) -> Option<u64> {
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
    if items.is_empty() || items.len() > MAX_CONTROL_MEMBERS {
        let message = format!("expected 1 to {MAX_CONTROL_MEMBERS} control VMs");
        faults.push(reader::fault("control", &message));
    }
    let mut peers = Vec::new();
    for (position, item) in items.iter().enumerate() {
        let mut peer = reader::Reader::new(&format!("control[{position}]"), item, faults)?;
        let node = peer.required("node", "a whole number above 0", parse_positive, faults);
        let rpc = peer.required("rpc", EXPECTED_ADDRESS, |text| text.parse().ok(), faults);
        peer.finish(faults);
        if let (Some(node), Some(rpc)) = (node, rpc) {
            peers.push(settings::ControlPeer { node, rpc });
        }
    }
    Some(peers)
}
