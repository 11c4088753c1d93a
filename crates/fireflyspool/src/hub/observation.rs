//! What an entry VM reports about a backend server.

use crate::{hub, ids};

/// Backend server with what an attempt showed.
pub type Observation = (ids::ServerName, hub::Symptom);
