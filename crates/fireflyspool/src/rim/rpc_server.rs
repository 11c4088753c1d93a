//! Listener for other processes, without its methods.

use std::net;

use jsonrpsee::server;

use crate::rim;

/// Largest message; bounds the memory that one peer can take. A configuration
/// with some thousand routes and a part of a snapshot lie far below.
const MAX_MESSAGE: u32 = 16 * 1024 * 1024;

/// Connections from other processes; a node has at most one from each other
/// node of its site, and a site has at most 1,000.
const MAX_CONNECTIONS: u32 = 2_048;

/// Settings of the listener.
pub(super) fn rpc_config() -> server::ServerConfig {
    server::ServerConfig::builder()
        .ws_only()
        .max_request_body_size(MAX_MESSAGE)
        .max_response_body_size(MAX_MESSAGE)
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
