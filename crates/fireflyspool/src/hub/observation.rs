//! Observation of an entry VM about a backend server.

use crate::{hub, ids};

/// Backend server and the symptom that an attempt showed.
pub type Observation = (ids::ServerName, hub::Symptom);
