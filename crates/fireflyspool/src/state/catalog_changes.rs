//! Changes of collections, services and values.

use std::time;

use crate::state::catalog_limits;
use crate::{ids, state};

impl state::Catalog {
    pub(super) fn create_collection(
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
        catalog_limits::check_count(self.collections.len(), "collections")?;
        catalog_limits::check_shards(shards)?;
        self.check_services(services)?;
        let created = state::Collection {
            versions: [(version, shards)].into_iter().collect(),
            services: catalog_limits::sorted_names(services),
        };
        self.collections.insert(collection.to_owned(), created);
        Ok(())
    }

    pub(super) fn add_version(
        &mut self,
        collection: &str,
        version: ids::IndexVersion,
        shards: u32,
    ) -> Result<(), state::ChangeError> {
        catalog_limits::check_shards(shards)?;
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

    pub(super) fn retire_version(
        &mut self,
        collection: &str,
        version: ids::IndexVersion,
    ) -> Result<(), state::ChangeError> {
        let altered = self.collection_mut(collection)?;
        if !altered.versions.contains_key(&version) {
            return Err(catalog_limits::missing("version", &version.to_string()));
        }
        if altered.versions.len() == 1 {
            return Err(state::ChangeError::InUse(format!(
                "the last version, {version},"
            )));
        }
        altered.versions.remove(&version);
        Ok(())
    }

    pub(super) fn define_service(
        &mut self,
        service: &str,
        slots: u32,
        connections: u32,
        setup: time::Duration,
    ) -> Result<(), state::ChangeError> {
        catalog_limits::check_limit(slots, "slots")?;
        catalog_limits::check_limit(connections, "connections")?;
        if !self.services.contains_key(service) {
            catalog_limits::check_count(self.services.len(), "services")?;
        }
        let defined = state::Service {
            slots,
            connections,
            setup,
        };
        self.services.insert(service.to_owned(), defined);
        Ok(())
    }

    pub(super) fn drop_service(&mut self, service: &str) -> Result<(), state::ChangeError> {
        let reads =
            |collection: &state::Collection| collection.services.iter().any(|s| s == service);
        if self.collections.values().any(reads) {
            return Err(state::ChangeError::InUse(format!("service {service}")));
        }
        let dropped = self.services.remove(service);
        dropped
            .map(|_| ())
            .ok_or_else(|| catalog_limits::missing("service", service))
    }

    pub(super) fn set_value(&mut self, key: &str, text: &str) -> Result<(), state::ChangeError> {
        let value = state::ConfigKey::from_name(key)
            .ok_or_else(|| catalog_limits::missing("configuration key", key))?;
        value.parse(text)?;
        self.values.insert(key.to_owned(), text.to_owned());
        Ok(())
    }

    pub(super) fn collection_mut(
        &mut self,
        collection: &str,
    ) -> Result<&mut state::Collection, state::ChangeError> {
        self.collections
            .get_mut(collection)
            .ok_or_else(|| catalog_limits::missing("collection", collection))
    }

    pub(super) fn check_services(
        &self,
        services: &[ids::ServiceName],
    ) -> Result<(), state::ChangeError> {
        let unknown = services
            .iter()
            .find(|service| !self.services.contains_key(*service));
        match unknown {
            Some(service) => Err(catalog_limits::missing("service", service)),
            None => Ok(()),
        }
    }
}
