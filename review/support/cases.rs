//! The cases.

mod crash_midway;
mod early_departure;
mod lost_departure;
mod lost_disks;
mod stale_order;

use std::io;

use crate::{record, site};

/// Manifest with one route to one service.
const MANIFEST: &str = r#"{"Version":3,"Routes":[{"Name":"r-docs","Hostname":"h.example",
"PathPrefix":"/docs/","RouteType":"idempotent","TimeoutMs":2000,"TargetLatencyMs":400,
"Priority":1,"Backend":"viewer","Attempts":2}],"Backends":[{"Name":"viewer","HealthPath":"/health",
"MaxConnections":200,"Protocol":"h1","Tls":false,"WarmupS":3.0,"WarmupPerS":0.0}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// Plays a case; returns whether the rule held.
pub fn play(
    name: &str,
    site: &site::Site,
    record: &record::Record,
    trouble: bool,
) -> io::Result<bool> {
    match name {
        "crash-midway" => crash_midway::play(site, record, trouble),
        "early-departure" => early_departure::play(site, record, trouble),
        "lost-departure" => lost_departure::play(site, record, trouble),
        "lost-disks" => lost_disks::play(site, record, trouble),
        "stale-order" => stale_order::play(site, record, trouble),
        _ => Err(io::Error::other("unknown case")),
    }
}
