//! HTTP routes for readiness checks and metrics.

use std::sync;

use rocket::http;

use crate::node;

/// Routes of the readiness address.
pub(super) fn ready_routes() -> Vec<rocket::Route> {
    rocket::routes![ready]
}

/// Routes of the metrics address.
pub(super) fn metrics_routes() -> Vec<rocket::Route> {
    rocket::routes![metrics]
}

#[rocket::get("/fireflyspool/ready")]
fn ready(node: &rocket::State<sync::Arc<node::Entry>>) -> http::Status {
    match node.is_ready() {
        true => http::Status::Ok,
        false => http::Status::ServiceUnavailable,
    }
}

#[rocket::get("/metrics")]
fn metrics(node: &rocket::State<sync::Arc<node::Entry>>) -> String {
    node.metrics()
}
