//! Stand-in backend servers and the load tool of fireflyspool; not published.
//!
//! [`searcher`] hosts backend servers whose limits and faults are controlled
//! while they run. The load tool sends requests at intended start times, verifies
//! every answer with [`hits`] and writes a report. `docs/load-tool.md`
//! describes both.

pub mod duration_text;
pub mod hits;
pub mod searcher;
