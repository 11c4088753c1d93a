//! HTTP route of the directory, where callers look up entry VMs.

use std::sync;

use rocket::{http, serde::json};

use crate::platform::address_answer;
use crate::{hub, node};

/// Time for which callers may cache a reply, in seconds.
///
/// Some callers cache it three times as long, which is still within a usual grace period.
const REPLY_LIFETIME_S: f64 = 2.0;

/// Routes of the directory address.
pub(super) fn directory_routes() -> Vec<rocket::Route> {
    rocket::routes![resolve]
}

#[rocket::get("/fireflyspool/resolve?<Zone>&<Region>")]
#[allow(non_snake_case, reason = "the parameters have their wire names")]
fn resolve(
    Zone: Option<String>,
    Region: Option<String>,
    node: &rocket::State<sync::Arc<node::Control>>,
) -> Result<json::Json<address_answer::AddressAnswer>, http::Status> {
    let addresses = node.addresses(&hub::AddressQuery {
        zone: Zone.unwrap_or_default(),
        region: Region.unwrap_or_default(),
    });
    if addresses.is_empty() {
        return Err(http::Status::ServiceUnavailable);
    }
    let lifetime = REPLY_LIFETIME_S;
    Ok(json::Json(address_answer::AddressAnswer {
        addresses,
        lifetime,
    }))
}
