//! Server settings of the JSON-RPC listeners, and the listener without a key.

use std::net;

use jsonrpsee::server;

use crate::rim;

/// Bounds the memory that one peer can use. A configuration with several
/// thousand routes and a snapshot chunk are far smaller.
const MAX_MESSAGE_BYTES: u32 = 16 * 1024 * 1024;

/// Connections from other processes; a node has at most one from each other
/// node of its site, and a site has at most 1,000.
const MAX_CONNECTIONS: u32 = 2_048;

/// Settings of every JSON-RPC listener.
pub(super) fn rpc_config() -> server::ServerConfig {
    server::ServerConfig::builder()
        .ws_only()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .max_connections(MAX_CONNECTIONS)
        .set_tcp_no_delay(true)
        .build()
}

/// Starts a listener without a key, for a network that admits only processes of the site.
///
/// # Errors
///
/// Returns a [`rim::RpcError`] if the address cannot be bound.
pub async fn open_rpc_listener<C: Send + Sync + 'static>(
    address: net::SocketAddr,
    module: jsonrpsee::RpcModule<C>,
) -> Result<server::ServerHandle, rim::RpcError> {
    let builder = server::Server::builder().set_config(rpc_config());
    let built = builder.build(address).await;
    let listener = built.map_err(|source| rim::RpcError::Bind { address, source })?;
    Ok(listener.start(module))
}
