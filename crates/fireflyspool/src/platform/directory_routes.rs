//! Questions of callers for addresses.

use std::{net, sync};

use rocket::{http, serde::json};

use crate::{hub, node};

/// Time for which callers keep an answer, in seconds.
///
/// Some keep it three times as long, which still ends within a usual grace.
const ANSWER_LIFETIME: f64 = 2.0;

/// Answer on the wire.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct AddressAnswer {
    /// Entry VMs.
    #[serde(rename = "addrs")]
    addresses: Vec<net::SocketAddr>,
    /// Seconds for which the answer may be kept.
    #[serde(rename = "ttl_s")]
    lifetime: f64,
}

/// Routes of the directory address.
pub(super) fn directory_routes() -> Vec<rocket::Route> {
    rocket::routes![resolve]
}

#[rocket::get("/fireflyspool/resolve?<Zone>&<Region>")]
#[allow(non_snake_case, reason = "the parameters bear the names on the wire")]
fn resolve(
    Zone: Option<String>,
    Region: Option<String>,
    node: &rocket::State<sync::Arc<node::Control>>,
) -> Result<json::Json<AddressAnswer>, http::Status> {
    let addresses = node.addresses(&hub::AddressQuery {
        zone: Zone.unwrap_or_default(),
        region: Region.unwrap_or_default(),
    });
    if addresses.is_empty() {
        return Err(http::Status::ServiceUnavailable);
    }
    let lifetime = ANSWER_LIFETIME;
    Ok(json::Json(AddressAnswer {
        addresses,
        lifetime,
    }))
}
