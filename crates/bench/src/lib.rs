//! Stand-in backend servers and the load tool of fireflyspool; not published.
//!
//! [`searcher`] hosts backend servers whose limits and faults are controlled
//! while they run. [`load`] sends requests at intended start times, verifies
//! every answer with [`hits`] and writes a report. [`site`] describes the
//! deployments that both use. `docs/load-tool.md` is the manual.

pub mod duration_text;
pub mod hits;
pub mod load;
pub mod searcher;
pub mod site;
