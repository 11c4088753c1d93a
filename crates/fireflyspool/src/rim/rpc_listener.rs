//! JSON-RPC listener for other processes of the tier.

use std::sync;

use jsonrpsee::{server, types};
use tokio::sync::oneshot;

use crate::{consensus, control, dispatch, ids, language, rim, roster, state, traffic};

type Node = sync::Arc<traffic::EntryNode>;
type Module = jsonrpsee::RpcModule<Node>;
type Parsed<T> = Result<T, types::ErrorObjectOwned>;

/// Starts the listener.
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
        Parsed::Ok(())
    })?;
    module.register_async_method(
        rim::Method::Renew.name(),
        |parameters, node, _| async move {
            let request: Box<roster::RenewRequest> = parameters.one()?;
            let make = |reply| control::Event::Renew { request, reply };
            let lost = roster::RenewReply::NotLeader { leader: None };
            Parsed::Ok(ask(&node, make).await.unwrap_or(lost))
        },
    )?;
    module.register_async_method(rim::Method::Warn.name(), |parameters, node, _| async move {
        let crashes: Vec<roster::Crash> = parameters.one()?;
        let make = |reply| control::Event::CrashWarning { crashes, reply };
        Parsed::Ok(ask(&node, make).await.is_some())
    })?;
    Ok(())
}

fn register_operator(module: &mut Module) -> Result<(), rim::RpcError> {
    module.register_async_method(
        rim::Method::Propose.name(),
        |parameters, node, _| async move {
            let command: state::Command = parameters.one()?;
            let make = |reply| control::Event::Propose { command, reply };
            Parsed::Ok(
                ask(&node, make)
                    .await
                    .unwrap_or(control::ProposeReply::Uncertain),
            )
        },
    )?;
    module.register_async_method(
        rim::Method::AwaitInForce.name(),
        |parameters, node, _| async move {
            let revision: ids::Revision = parameters.one()?;
            let make = |reply| control::Event::AwaitInForce { revision, reply };
            Parsed::Ok(ask(&node, make).await.is_some())
        },
    )?;
    module.register_async_method(
        rim::Method::OpenClaim.name(),
        |parameters, node, _| async move {
            let claim: state::Claim = parameters.one()?;
            let make = |reply| control::Event::OpenClaim { claim, reply };
            Parsed::Ok(ask(&node, make).await)
        },
    )?;
    module.register_async_method(
        rim::Method::RecordClaim.name(),
        |parameters, node, _| async move {
            let outcome: state::ClaimOutcome = parameters.one()?;
            let make = |reply| control::Event::RecordClaim { outcome, reply };
            Parsed::Ok(ask(&node, make).await.is_some())
        },
    )?;
    module.register_async_method(rim::Method::Show.name(), |parameters, node, _| async move {
        let name: String = parameters.one()?;
        let show = language::Show::ALL
            .into_iter()
            .find(|show| show.name() == name);
        let Some(show) = show else {
            return Parsed::Ok(None);
        };
        Parsed::Ok(ask(&node, |reply| control::Event::Show { show, reply }).await)
    })?;
    Ok(())
}

fn register_dispatch(module: &mut Module) -> Result<(), rim::RpcError> {
    module.register_async_method(
        rim::Method::Dispatch.name(),
        |parameters, node, _| async move {
            let sub_request: Box<dispatch::SubRequest> = parameters.one()?;
            Parsed::Ok(node.dispatch(sub_request).await)
        },
    )?;
    module.register_method(rim::Method::Cancel.name(), |parameters, node, _| {
        let cancel: rim::CancelCall = parameters.one()?;
        node.cancel(&cancel);
        Parsed::Ok(())
    })?;
    Ok(())
}

async fn ask<T>(node: &Node, make: impl FnOnce(oneshot::Sender<T>) -> control::Event) -> Option<T> {
    let (sender, receiver) = oneshot::channel();
    node.shared().tell_control(make(sender));
    receiver.await.ok()
}
