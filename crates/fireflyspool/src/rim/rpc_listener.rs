//! JSON-RPC listener for other processes of the tier.

use std::sync;

use jsonrpsee::{server, types};
use tokio::sync::oneshot;

use crate::{consensus, control, dispatch, ids, language, rim, roster, state, traffic};

type Node = sync::Arc<traffic::EntryNode>;
type Module = jsonrpsee::RpcModule<Node>;
type RpcResult<T> = Result<T, types::ErrorObjectOwned>;

/// Starts the listener, which refuses connections without the shared key.
///
/// # Errors
///
/// Returns a [`rim::RpcError`] if the address cannot be bound.
pub async fn rpc_listener(node: Node) -> Result<server::ServerHandle, rim::RpcError> {
    let address = node.settings().rpc;
    let middleware = tower::ServiceBuilder::new().layer(rim::KeyLayer::new(node.key().clone()));
    let config = rim::rpc_server::rpc_config();
    let built = server::Server::builder()
        .set_config(config)
        .set_http_middleware(middleware)
        .build(address)
        .await;
    let listener = built.map_err(|source| rim::RpcError::Bind { address, source })?;
    let mut module = Module::new(node);
    register_control(&mut module)?;
    register_operator(&mut module)?;
    register_dispatch(&mut module)?;
    Ok(listener.start(module))
}

fn register_control(module: &mut Module) -> Result<(), rim::RpcError> {
    module.register_method(rim::Method::Consensus.name(), |parameters, node, _| {
        let envelopes: Vec<consensus::Envelope> = parameters.one()?;
        node.shared().tell_control(control::Event::Envelopes {
            from: None,
            envelopes,
        });
        RpcResult::Ok(())
    })?;
    module.register_async_method(
        rim::Method::Renew.name(),
        |parameters, node, _| async move {
            let request: Box<roster::RenewRequest> = parameters.one()?;
            let to_event = |reply| control::Event::Renew { request, reply };
            let no_leader = roster::RenewReply::NotLeader { leader: None };
            RpcResult::Ok(ask_control(&node, to_event).await.unwrap_or(no_leader))
        },
    )?;
    module.register_async_method(rim::Method::Warn.name(), |parameters, node, _| async move {
        let crashes: Vec<roster::Crash> = parameters.one()?;
        let to_event = |reply| control::Event::CrashWarning { crashes, reply };
        RpcResult::Ok(ask_control(&node, to_event).await.is_some())
    })?;
    Ok(())
}

fn register_operator(module: &mut Module) -> Result<(), rim::RpcError> {
    module.register_async_method(
        rim::Method::Propose.name(),
        |parameters, node, _| async move {
            let command: state::Command = parameters.one()?;
            let to_event = |reply| control::Event::Propose { command, reply };
            RpcResult::Ok(
                ask_control(&node, to_event)
                    .await
                    .unwrap_or(control::ProposeReply::Uncertain),
            )
        },
    )?;
    module.register_async_method(
        rim::Method::AwaitInForce.name(),
        |parameters, node, _| async move {
            let revision: ids::Revision = parameters.one()?;
            let to_event = |reply| control::Event::AwaitInForce { revision, reply };
            RpcResult::Ok(ask_control(&node, to_event).await.is_some())
        },
    )?;
    module.register_async_method(
        rim::Method::OpenClaim.name(),
        |parameters, node, _| async move {
            let claim: state::Claim = parameters.one()?;
            let to_event = |reply| control::Event::OpenClaim { claim, reply };
            RpcResult::Ok(ask_control(&node, to_event).await)
        },
    )?;
    module.register_async_method(
        rim::Method::RecordClaim.name(),
        |parameters, node, _| async move {
            let outcome: state::ClaimOutcome = parameters.one()?;
            let to_event = |reply| control::Event::RecordClaim { outcome, reply };
            RpcResult::Ok(ask_control(&node, to_event).await.is_some())
        },
    )?;
    module.register_async_method(rim::Method::Show.name(), |parameters, node, _| async move {
        let name: String = parameters.one()?;
        let show = language::Show::ALL
            .into_iter()
            .find(|show| show.name() == name);
        let Some(show) = show else {
            return RpcResult::Ok(None);
        };
        RpcResult::Ok(ask_control(&node, |reply| control::Event::Show { show, reply }).await)
    })?;
    Ok(())
}

fn register_dispatch(module: &mut Module) -> Result<(), rim::RpcError> {
    module.register_async_method(
        rim::Method::Dispatch.name(),
        |parameters, node, _| async move {
            let sub_request: Box<dispatch::SubRequest> = parameters.one()?;
            RpcResult::Ok(node.dispatch(sub_request).await)
        },
    )?;
    module.register_method(rim::Method::Cancel.name(), |parameters, node, _| {
        let cancel: rim::CancelCall = parameters.one()?;
        node.cancel(&cancel);
        RpcResult::Ok(())
    })?;
    Ok(())
}

/// Sends an event to the control thread; `None` if it drops the event without a reply.
async fn ask_control<T>(
    node: &Node,
    to_event: impl FnOnce(oneshot::Sender<T>) -> control::Event,
) -> Option<T> {
    let (sender, receiver) = oneshot::channel();
    node.shared().tell_control(to_event(sender));
    receiver.await.ok()
}
