//! Changes of the catalog.

use std::time;

use crate::ids;

/// One change of the catalog that an operator can request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum Change {
    /// Creates a collection with its first index version.
    CreateCollection {
        /// Name of the new collection.
        collection: ids::CollectionName,
        /// First index version.
        version: ids::IndexVersion,
        /// Number of shards of that version.
        shards: u32,
        /// Services that read it.
        services: Vec<ids::ServiceName>,
    },
    /// Adds an index version, possibly with another number of shards.
    AddVersion {
        /// Collection to alter.
        collection: ids::CollectionName,
        /// New index version, above all others.
        version: ids::IndexVersion,
        /// Number of shards of that version.
        shards: u32,
    },
    /// Retires an index version; new queries no longer use it.
    RetireVersion {
        /// Collection to alter.
        collection: ids::CollectionName,
        /// Version to retire; the last one cannot be retired.
        version: ids::IndexVersion,
    },
    /// Replaces the services that read a collection.
    SetServices {
        /// Collection to alter.
        collection: ids::CollectionName,
        /// Services that read it.
        services: Vec<ids::ServiceName>,
    },
    /// Drops a collection.
    DropCollection {
        /// Collection to drop.
        collection: ids::CollectionName,
    },
    /// Defines a service and its limits, or replaces them.
    DefineService {
        /// Name of the service.
        service: ids::ServiceName,
        /// Concurrent requests that one of its backend servers accepts.
        slots: u32,
        /// Connections that one of its backend servers accepts.
        connections: u32,
        /// Time that opening a connection takes.
        setup: time::Duration,
    },
    /// Drops a service that no collection names.
    DropService {
        /// Service to drop.
        service: ids::ServiceName,
    },
    /// Takes an availability zone out of service.
    TakeOutZone {
        /// Zone that receives no new work.
        zone: ids::ZoneName,
    },
    /// Brings an availability zone back into service.
    BringBackZone {
        /// Zone that receives work again.
        zone: ids::ZoneName,
    },
    /// Takes a backend server out of service.
    TakeOutServer {
        /// Server that receives no new work.
        server: ids::ServerName,
    },
    /// Brings a backend server back into service.
    BringBackServer {
        /// Server that receives work again.
        server: ids::ServerName,
    },
    /// Sets a configuration value.
    SetValue {
        /// Name of the configuration key.
        key: String,
        /// New value, a duration with its unit or a number.
        value: String,
    },
}
