//! Service that checks the shared key.

use std::{
    future, pin,
    task::{self, Poll},
};

use jsonrpsee::server;

use crate::settings;

const UNAUTHORIZED: reqwest::StatusCode = reqwest::StatusCode::UNAUTHORIZED;

/// Answers requests without the shared key with status 401 and forwards others.
#[derive(Clone, Debug)]
pub struct KeyService<S> {
    inner: S,
    key: settings::SharedKey,
}

impl<S> KeyService<S> {
    pub(super) fn new(inner: S, key: settings::SharedKey) -> Self {
        Self { inner, key }
    }

    fn is_authorized<B>(&self, request: &server::HttpRequest<B>) -> bool {
        let header = request.headers().get("authorization");
        let text = header.and_then(|header| header.to_str().ok());
        text.is_some_and(|text| self.key.matches(text))
    }
}

impl<S, B> tower::Service<server::HttpRequest<B>> for KeyService<S>
where
    S: tower::Service<server::HttpRequest<B>, Response = server::HttpResponse>,
    S::Future: Send + 'static,
    S::Error: Send + 'static,
{
    type Response = server::HttpResponse;
    type Error = S::Error;
    type Future = pin::Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut task::Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, request: server::HttpRequest<B>) -> Self::Future {
        if self.is_authorized(&request) {
            return Box::pin(self.inner.call(request));
        }
        let mut refused = server::HttpResponse::new(server::HttpBody::from("unauthorized\n"));
        *refused.status_mut() = UNAUTHORIZED;
        Box::pin(future::ready(Ok(refused)))
    }
}
