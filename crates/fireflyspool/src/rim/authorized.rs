//! Check of the shared key on the HTTP listener.

use std::sync;

use rocket::{http, request};

use crate::traffic;

/// Request guard that requires the shared key of the site.
pub struct Authorized;

#[rocket::async_trait]
impl<'r> request::FromRequest<'r> for Authorized {
    type Error = ();

    async fn from_request(request: &'r rocket::Request<'_>) -> request::Outcome<Self, ()> {
        let node = request.rocket().state::<sync::Arc<traffic::EntryNode>>();
        let header = request.headers().get_one("authorization");
        match (node, header) {
            (Some(node), Some(header)) if node.key().matches(header) => {
                request::Outcome::Success(Self)
            }
            _ => request::Outcome::Error((http::Status::Unauthorized, ())),
        }
    }
}
