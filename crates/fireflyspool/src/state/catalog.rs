//! The part of the control state that entry VMs hold.

use crate::state::catalog_limits;
use crate::{ids, sorted, state};

/// Collections, services, zones and backend servers out of service, and configuration values.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Catalog {
    /// Number of accepted changes.
    pub revision: ids::Revision,
    /// Collections by name.
    pub collections: sorted::SortedMap<ids::CollectionName, state::Collection>,
    /// Services by name.
    pub services: sorted::SortedMap<ids::ServiceName, state::Service>,
    /// Availability zones out of service, with the revision that took them out.
    pub zones_out: sorted::SortedMap<ids::ZoneName, ids::Revision>,
    /// Backend servers out of service, with the revision that took them out.
    pub servers_out: sorted::SortedMap<ids::ServerName, ids::Revision>,
    /// Configuration values that differ from their defaults.
    pub values: sorted::SortedMap<String, String>,
}

impl Catalog {
    /// Applies a change and raises the revision.
    ///
    /// # Errors
    ///
    /// Returns a [`state::ChangeError`] if the change does not fit the
    /// catalog, which is then unchanged.
    pub fn apply(&mut self, change: &state::Change) -> Result<ids::Revision, state::ChangeError> {
        let next = self.revision + 1;
        match change {
            state::Change::CreateCollection {
                collection,
                version,
                shards,
                services,
            } => {
                self.create_collection(collection, *version, *shards, services)?;
            }
            state::Change::AddVersion {
                collection,
                version,
                shards,
            } => {
                self.add_version(collection, *version, *shards)?;
            }
            state::Change::RetireVersion {
                collection,
                version,
            } => {
                self.retire_version(collection, *version)?;
            }
            state::Change::SetServices {
                collection,
                services,
            } => {
                self.check_services(services)?;
                self.collection_mut(collection)?.services = catalog_limits::sorted_names(services);
            }
            state::Change::DropCollection { collection } => {
                let dropped = self.collections.remove(collection);
                dropped.ok_or_else(|| catalog_limits::missing("collection", collection))?;
            }
            state::Change::DefineService {
                service,
                slots,
                connections,
                setup,
            } => {
                self.define_service(service, *slots, *connections, *setup)?;
            }
            state::Change::DropService { service } => self.drop_service(service)?,
            state::Change::TakeOutZone { zone } => {
                catalog_limits::take_out(&mut self.zones_out, zone, next)?;
            }
            state::Change::BringBackZone { zone } => {
                let removed = self.zones_out.remove(zone);
                removed.ok_or_else(|| catalog_limits::missing("taken-out zone", zone))?;
            }
            state::Change::TakeOutServer { server } => {
                catalog_limits::take_out(&mut self.servers_out, server, next)?;
            }
            state::Change::BringBackServer { server } => {
                let removed = self.servers_out.remove(server);
                removed
                    .ok_or_else(|| catalog_limits::missing("taken-out backend server", server))?;
            }
            state::Change::SetValue { key, value } => self.set_value(key, value)?,
        }
        self.revision = next;
        Ok(next)
    }

    /// Value of a configuration key, or its default if it is not set; durations in milliseconds.
    pub fn number(&self, key: state::ConfigKey) -> u64 {
        let text = self.values.get(key.name());
        text.and_then(|text| key.parse(text).ok())
            .unwrap_or_else(|| key.default_number())
    }

    /// Whether an availability zone is out of service.
    pub fn is_zone_out(&self, zone: &str) -> bool {
        self.zones_out.contains_key(zone)
    }

    /// Whether a backend server itself is out of service, whatever its zone.
    pub fn is_server_out(&self, server: &str) -> bool {
        self.servers_out.contains_key(server)
    }
}
