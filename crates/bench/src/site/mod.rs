//! Deployments of the design page, scaled to one machine.

mod service;
#[expect(
    clippy::module_inception,
    reason = "one type a file, the file named after it"
)]
mod site;

pub use service::Service;
pub use site::Site;
