//! Listeners and clients: the only place where messages are encoded.
//!
//! Callers, operators and backend servers use HTTP; processes of the tier use
//! JSON-RPC over WebSocket among themselves, and HTTP for groups of shards. This module only converts typed
//! messages to bytes and back. Decisions are made elsewhere, so another front
//! end can be added without changing them.

mod allowance;
mod authorized;
mod backend_client;
mod backend_reply;
mod body_error;
mod bounded_stream;
mod caller_listener;
mod cancel_call;
mod command_request;
mod command_wait;
mod connection_activity;
mod control_outlet;
mod forward_body;
mod forward_client;
mod forward_connection;
mod forward_error;
mod group_answer_wire;
mod group_call;
mod group_progress;
mod group_service;
mod group_wire;
mod http_listener;
mod http_routes;
mod idle_connections;
mod key_layer;
mod key_service;
mod method;
mod peer;
mod peer_error;
mod peers;
mod process_environment;
mod query_request;
mod receive_pool;
mod replica_link;
mod request_bodies;
mod request_body;
mod rpc_error;
mod rpc_listener;
mod rpc_server;
mod send_failure;
mod taken_bytes;
mod wall_clock;

pub use authorized::Authorized;
pub use backend_client::BackendClient;
pub use backend_reply::BackendReply;
pub use body_error::BodyError;
pub use caller_listener::{
    CallerHandler, ResponseBody, ResponseFuture, StreamedBody, caller_listener,
};
pub use cancel_call::CancelCall;
pub use command_request::CommandRequest;
pub use command_wait::CommandWait;
pub use control_outlet::ControlOutlet;
pub use forward_body::ForwardBody;
pub use forward_client::ForwardClient;
pub use forward_error::ForwardError;
pub use group_call::{Answering, GroupCall, Unsent};
pub use group_progress::GroupProgress;
pub use group_service::GroupService;
pub use http_listener::http_listener;
pub use http_routes::{http_catchers, http_routes};
pub use key_layer::KeyLayer;
pub use key_service::KeyService;
pub use method::Method;
pub use peer::Peer;
pub use peer_error::PeerError;
pub use peers::Peers;
pub use process_environment::ProcessEnvironment;
pub use query_request::QueryRequest;
pub use replica_link::replica_link;
pub use request_bodies::RequestBodies;
pub use request_body::RequestBody;
pub use rpc_error::RpcError;
pub use rpc_listener::rpc_listener;
pub use rpc_server::open_rpc_listener;
pub use taken_bytes::TakenBytes;
pub use wall_clock::wall_millis;
