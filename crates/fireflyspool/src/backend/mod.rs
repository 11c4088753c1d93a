//! Messages of the protocol between the tier and backend servers.
//!
//! The messages are plain types; `rim` encodes them as JSON over HTTP.

mod announcement;
mod cancel_request;
mod cancel_state;
mod condition;
mod hosted_shard;
mod load;
mod pace;
mod phase;
mod refused_reply;
mod search_reply;
mod search_request;
mod submit_reply;
mod submit_request;

pub use announcement::Announcement;
pub use cancel_request::CancelRequest;
pub use cancel_state::CancelState;
pub use condition::Condition;
pub use hosted_shard::HostedShard;
pub use load::Load;
pub use pace::Pace;
pub use phase::Phase;
pub use refused_reply::RefusedReply;
pub use search_reply::SearchReply;
pub use search_request::SearchRequest;
pub use submit_reply::SubmitReply;
pub use submit_request::SubmitRequest;
