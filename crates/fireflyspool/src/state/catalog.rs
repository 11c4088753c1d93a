//! The part of the control state that entry VMs hold.

use std::time;

use crate::{ids, sorted, state};

/// Upper bound of shards in one index version; bounds the work of one query.
const MAX_SHARDS: u32 = 4_096;

/// Upper bound of collections, services and values, which bounds memory on every entry VM.
const MAX_OBJECTS: usize = 4_096;

/// Upper bound of slots or connections of one backend server.
const MAX_LIMIT: u32 = 100_000;

/// Collections, services, what is taken out, and configuration values.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Catalog {
    /// Number of accepted changes.
    pub revision: ids::Revision,
    /// Collections by name.
    pub collections: sorted::SortedMap<ids::CollectionName, state::Collection>,
    /// Services by name.
    pub services: sorted::SortedMap<ids::ServiceName, state::Service>,
    /// Availability zones taken out, with the revision that did it.
    pub zones_out: sorted::SortedMap<ids::ZoneName, ids::Revision>,
    /// Backend servers taken out, with the revision that did it.
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
    /// catalog; nothing is altered then.
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
                self.collection_mut(collection)?.services = sorted_names(services);
            }
            state::Change::DropCollection { collection } => {
                let dropped = self.collections.remove(collection);
                dropped.ok_or_else(|| missing("collection", collection))?;
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
            state::Change::TakeOutZone { zone } => take_out(&mut self.zones_out, zone, next)?,
            state::Change::BringBackZone { zone } => {
                let back = self.zones_out.remove(zone);
                back.ok_or_else(|| missing("taken-out zone", zone))?;
            }
            state::Change::TakeOutServer { server } => {
                take_out(&mut self.servers_out, server, next)?;
            }
            state::Change::BringBackServer { server } => {
                let back = self.servers_out.remove(server);
                back.ok_or_else(|| missing("taken-out backend server", server))?;
            }
            state::Change::SetValue { key, value } => self.set_value(key, value)?,
        }
        self.revision = next;
        Ok(next)
    }

    /// Number of a configuration value, its default if it is not set.
    pub fn number(&self, value: state::Value) -> u64 {
        let text = self.values.get(value.key());
        text.and_then(|text| value.parse(text).ok())
            .unwrap_or_else(|| value.default_number())
    }

    /// Whether an availability zone is taken out.
    pub fn is_zone_out(&self, zone: &str) -> bool {
        self.zones_out.contains_key(zone)
    }

    /// Whether a backend server is taken out by its own name.
    pub fn is_server_out(&self, server: &str) -> bool {
        self.servers_out.contains_key(server)
    }

    fn create_collection(
        &mut self,
        collection: &str,
        version: ids::IndexVersion,
        shards: u32,
        services: &[ids::ServiceName],
    ) -> Result<(), state::ChangeError> {
        if self.collections.contains_key(collection) {
            return Err(state::ChangeError::Exists(format!(
                "collection {collection}"
            )));
        }
        check_room(self.collections.len(), "collections")?;
        check_shards(shards)?;
        self.check_services(services)?;
        let created = state::Collection {
            versions: [(version, shards)].into_iter().collect(),
            services: sorted_names(services),
        };
        self.collections.insert(collection.to_owned(), created);
        Ok(())
    }

    fn add_version(
        &mut self,
        collection: &str,
        version: ids::IndexVersion,
        shards: u32,
    ) -> Result<(), state::ChangeError> {
        check_shards(shards)?;
        let altered = self.collection_mut(collection)?;
        if altered
            .versions
            .last()
            .is_some_and(|(newest, _)| *newest >= version)
        {
            return Err(state::ChangeError::OldVersion(version));
        }
        altered.versions.insert(version, shards);
        Ok(())
    }

    fn retire_version(
        &mut self,
        collection: &str,
        version: ids::IndexVersion,
    ) -> Result<(), state::ChangeError> {
        let altered = self.collection_mut(collection)?;
        if !altered.versions.contains_key(&version) {
            return Err(missing("version", &version.to_string()));
        }
        if altered.versions.len() == 1 {
            return Err(state::ChangeError::InUse(format!(
                "the last version, {version},"
            )));
        }
        altered.versions.remove(&version);
        Ok(())
    }

    fn define_service(
        &mut self,
        service: &str,
        slots: u32,
        connections: u32,
        setup: time::Duration,
    ) -> Result<(), state::ChangeError> {
        check_limit(slots, "slots")?;
        check_limit(connections, "connections")?;
        if !self.services.contains_key(service) {
            check_room(self.services.len(), "services")?;
        }
        let defined = state::Service {
            slots,
            connections,
            setup,
        };
        self.services.insert(service.to_owned(), defined);
        Ok(())
    }

    fn drop_service(&mut self, service: &str) -> Result<(), state::ChangeError> {
        let reads =
            |collection: &state::Collection| collection.services.iter().any(|s| s == service);
        if self.collections.values().any(reads) {
            return Err(state::ChangeError::InUse(format!("service {service}")));
        }
        let dropped = self.services.remove(service);
        dropped
            .map(|_| ())
            .ok_or_else(|| missing("service", service))
    }

    fn set_value(&mut self, key: &str, text: &str) -> Result<(), state::ChangeError> {
        let value = state::Value::from_key(key).ok_or_else(|| missing("configuration key", key))?;
        value.parse(text)?;
        self.values.insert(key.to_owned(), text.to_owned());
        Ok(())
    }

    fn collection_mut(
        &mut self,
        collection: &str,
    ) -> Result<&mut state::Collection, state::ChangeError> {
        self.collections
            .get_mut(collection)
            .ok_or_else(|| missing("collection", collection))
    }

    fn check_services(&self, services: &[ids::ServiceName]) -> Result<(), state::ChangeError> {
        let unknown = services
            .iter()
            .find(|service| !self.services.contains_key(*service));
        match unknown {
            Some(service) => Err(missing("service", service)),
            None => Ok(()),
        }
    }
}

fn take_out(
    out: &mut sorted::SortedMap<String, ids::Revision>,
    name: &str,
    revision: ids::Revision,
) -> Result<(), state::ChangeError> {
    if out.contains_key(name) {
        return Err(state::ChangeError::Exists(format!(
            "the entry that takes {name} out"
        )));
    }
    check_room(out.len(), "names taken out")?;
    out.insert(name.to_owned(), revision);
    Ok(())
}

fn missing(what: &str, name: &str) -> state::ChangeError {
    state::ChangeError::Missing(format!("{what} {name}"))
}

fn check_room(count: usize, what: &str) -> Result<(), state::ChangeError> {
    if count < MAX_OBJECTS {
        Ok(())
    } else {
        Err(state::ChangeError::TooMany(what.to_owned()))
    }
}

fn check_shards(shards: u32) -> Result<(), state::ChangeError> {
    if (1..=MAX_SHARDS).contains(&shards) {
        Ok(())
    } else {
        Err(state::ChangeError::OutOfRange(format!("{shards} shards")))
    }
}

fn check_limit(limit: u32, what: &str) -> Result<(), state::ChangeError> {
    if (1..=MAX_LIMIT).contains(&limit) {
        Ok(())
    } else {
        Err(state::ChangeError::OutOfRange(format!("{limit} {what}")))
    }
}

fn sorted_names(names: &[String]) -> Vec<String> {
    let mut names = names.to_vec();
    names.sort_unstable();
    names.dedup();
    names
}
