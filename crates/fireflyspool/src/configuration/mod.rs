//! Routing configuration: routes for caller requests and the services behind them.
//!
//! Operators replace the configuration as a whole. A [`Document`] is the text
//! as it was received, with its version; the replicated log holds it and reads
//! return it. A [`Format`] decodes it into a [`Configuration`], which
//! [`RoutingTable`] indexes for the lookup of each request.
//!
//! The highest version takes effect everywhere. A document with the version in
//! force and other content never replaces it.

mod account;
mod accounts;
mod caller_limits;
#[allow(clippy::module_inception, reason = "a file is named after its type")]
mod configuration;
mod configuration_error;
mod document;
mod format;
mod gather;
mod key_digest;
mod route;
mod routing_table;
mod service;
mod split_share;
mod target;

pub use account::Account;
pub use accounts::Accounts;
pub use caller_limits::CallerLimits;
pub use configuration::Configuration;
pub use configuration_error::ConfigurationError;
pub use document::Document;
pub use format::Format;
pub use gather::Gather;
pub use key_digest::KeyDigest;
pub use route::Route;
pub use routing_table::RoutingTable;
pub use service::Service;
pub use split_share::SplitShare;
pub use target::Target;
