//! What backend servers say, and what is said to them.
//!
//! These are the typed messages of the protocol between the tier and backend
//! servers. The encoding (JSON over HTTP) is the business of `rim`.

mod announcement;
mod cancel_request;
mod cancel_state;
mod hosted_shard;
mod load;
mod phase;
mod refused_reply;
mod search_reply;
mod search_request;
mod submit_reply;
mod submit_request;

pub use announcement::Announcement;
pub use cancel_request::CancelRequest;
pub use cancel_state::CancelState;
pub use hosted_shard::HostedShard;
pub use load::Load;
pub use phase::Phase;
pub use refused_reply::RefusedReply;
pub use search_reply::SearchReply;
pub use search_request::SearchRequest;
pub use submit_reply::SubmitReply;
pub use submit_request::SubmitRequest;
