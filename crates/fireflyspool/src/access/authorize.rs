//! Decision whether a request may run.

use std::sync;

use crate::{access, configuration};

/// Decides whether a request on a route may run with its credentials.
pub fn authorize(
    route: &configuration::Route,
    accounts: &configuration::Accounts,
    credentials: &access::Credentials,
    freshness: access::Freshness,
) -> access::Decision {
    if accounts.is_empty() || route.open {
        return access::Decision::NotNeeded;
    }
    let key = match credentials.key() {
        Ok(key) => configuration::KeyDigest::of(key),
        // No configuration can accept it, however new.
        Err(cause) => return access::Decision::Unauthorized(cause),
    };
    match accounts.holder(&key) {
        Some(_) if !freshness.may_serve() => access::Decision::Unsure(access::Cause::OldView),
        Some(account) => {
            let account = sync::Arc::clone(account);
            access::Decision::Allowed(access::Grant::new(account, key))
        }
        None if !freshness.may_deny() => access::Decision::Unsure(access::Cause::UnknownInOldView),
        None => access::Decision::Unauthorized(access::Cause::Unknown),
    }
}
