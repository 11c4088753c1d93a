//! JSON-RPC listener for other processes of the tier.

use std::{net, sync};

use jsonrpsee::{server, types};
use tokio::sync::oneshot;

use crate::{control, hub, node, rim, state};

type Module = jsonrpsee::RpcModule<sync::Arc<node::Control>>;
type Parsed<T> = Result<T, types::ErrorObjectOwned>;

/// Code of an answer that says to ask another process.
const ELSEWHERE: i32 = 1;

/// Starts the listener.
///
/// # Errors
///
/// Returns a [`rim::RpcError`] if the address cannot be bound.
pub async fn mesh_listener(
    address: net::SocketAddr,
    node: sync::Arc<node::Control>,
) -> Result<server::ServerHandle, rim::RpcError> {
    let mut module = Module::new(node);
    register(&mut module)?;
    rim::open_rpc_listener(address, module).await
}

fn register(module: &mut Module) -> Result<(), rim::RpcError> {
    module.register_method(rim::Method::Consensus.name(), |parameters, node, _| {
        let batch: node::ReplicaBatch = parameters.one()?;
        let from = Some(batch.from);
        let envelopes = batch.envelopes;
        let event = control::Event::Envelopes { from, envelopes };
        node.process().tell(event);
        Parsed::Ok(())
    })?;
    module.register_async_method(
        rim::Method::Exchange.name(),
        |parameters, node, _| async move {
            let batch: Box<hub::Batch> = parameters.one()?;
            ask(&node, |reply| control::HubEvent::Batch { batch, reply }).await
        },
    )?;
    module.register_async_method(
        rim::Method::Follow.name(),
        |parameters, node, _| async move {
            let request: Box<hub::FollowRequest> = parameters.one()?;
            ask(&node, |reply| control::HubEvent::Follow { request, reply }).await
        },
    )?;
    module.register_method(rim::Method::Observe.name(), |parameters, node, _| {
        let reports: Vec<hub::Observation> = parameters.one()?;
        let event = control::Event::Hub(control::HubEvent::Observed(reports));
        node.process().tell(event);
        Parsed::Ok(())
    })?;
    module.register_async_method(
        rim::Method::Order.name(),
        |parameters, node, _| async move {
            let order: state::IdempotentCommand = parameters.one()?;
            node.decide_here(order).await.ok_or_else(elsewhere)
        },
    )?;
    Ok(())
}

async fn ask<T>(
    node: &node::Control,
    make: impl FnOnce(oneshot::Sender<T>) -> control::HubEvent,
) -> Parsed<T> {
    let (sender, receiver) = oneshot::channel();
    node.process().tell(control::Event::Hub(make(sender)));
    receiver.await.map_err(|_| elsewhere())
}

fn elsewhere() -> types::ErrorObjectOwned {
    types::ErrorObjectOwned::owned(ELSEWHERE, "no answer here; ask another process", None::<()>)
}
