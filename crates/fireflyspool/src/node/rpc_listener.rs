//! JSON-RPC listener for other control and entry VMs.

use std::{net, sync};

use jsonrpsee::{server, types};
use tokio::sync::oneshot;

use crate::{control, hub, node, quota, rim, rollout, state};

type Module = jsonrpsee::RpcModule<sync::Arc<node::Control>>;
type Reply<T> = Result<T, types::ErrorObjectOwned>;

/// Error code of a reply that tells its receiver to ask another process.
const ASK_ANOTHER_CODE: i32 = 1;

/// Starts the listener of a control VM; it closes when the handle is dropped.
///
/// # Errors
///
/// Returns a [`rim::RpcError`] if the address cannot be bound.
pub async fn rpc_listener(
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
        node.process().send_event(event);
        Reply::Ok(())
    })?;
    module.register_async_method(
        rim::Method::Exchange.name(),
        |parameters, node, _| async move {
            let batch: Box<hub::Batch> = parameters.one()?;
            ask_hub(&node, |reply| control::HubEvent::Batch { batch, reply }).await
        },
    )?;
    module.register_async_method(
        rim::Method::Follow.name(),
        |parameters, node, _| async move {
            let request: Box<hub::FollowRequest> = parameters.one()?;
            ask_hub(&node, |reply| control::HubEvent::Follow { request, reply }).await
        },
    )?;
    module.register_method(rim::Method::Observe.name(), |parameters, node, _| {
        let observations: Vec<hub::Observation> = parameters.one()?;
        let event = control::Event::Hub(control::HubEvent::Observed(observations));
        node.process().send_event(event);
        Reply::Ok(())
    })?;
    module.register_method(rim::Method::Count.name(), |parameters, node, _| {
        let reports: Vec<rollout::Report> = parameters.one()?;
        let event = control::Event::Hub(control::HubEvent::Counted(reports));
        node.process().send_event(event);
        Reply::Ok(())
    })?;
    module.register_async_method(
        rim::Method::TakeTokens.name(),
        |parameters, node, _| async move {
            let asks: Vec<quota::Ask> = parameters.one()?;
            ask_hub(&node, |reply| control::HubEvent::TakeTokens { asks, reply }).await
        },
    )?;
    module.register_async_method(
        rim::Method::Idempotent.name(),
        |parameters, node, _| async move {
            let command: state::IdempotentCommand = parameters.one()?;
            node.execute_locally(command).await.ok_or_else(no_answer)
        },
    )?;
    Ok(())
}

async fn ask_hub<T>(
    node: &node::Control,
    event: impl FnOnce(oneshot::Sender<T>) -> control::HubEvent,
) -> Reply<T> {
    let (sender, receiver) = oneshot::channel();
    node.process()
        .send_event(control::Event::Hub(event(sender)));
    receiver.await.map_err(|_| no_answer())
}

fn no_answer() -> types::ErrorObjectOwned {
    types::ErrorObjectOwned::owned(
        ASK_ANOTHER_CODE,
        "no answer here; ask another process",
        None::<()>,
    )
}
