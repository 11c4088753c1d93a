//! Quotas of client accounts: a request of a limited account needs a token before anything is
//! sent for it.
//!
//! Each control VM owns a fixed share of the tokens of each account: with n control VMs in the
//! group it refills a bucket with a rate of 1/n of the account's and a capacity of 1/n of its
//! burst and one token more. [`Shares`] holds these buckets; the control thread owns it.
//! The sum over all control VMs stays within the quota whatever fails, because no share is ever
//! handed over.
//!
//! [`TokenQueue`] holds the requests of an entry VM that wait for tokens and decides which
//! control VM is asked; [`crate::node::QuotaClient`] drives it on the traffic threads. If a
//! control VM fails, its share is unavailable and the others are asked. A token that is granted
//! after its request was refused or abandoned is lost.
//!
//! Nothing here reads a clock or draws random numbers.

mod account_queue;
mod action;
mod ask;
mod denial;
mod emptiness;
mod grant;
mod hub_call;
mod hub_state;
mod share;
mod shares;
mod token_queue;
mod waiting;

pub use action::Action;
pub use ask::Ask;
pub use denial::Denial;
pub use grant::Grant;
pub use shares::Shares;
pub use token_queue::TokenQueue;
