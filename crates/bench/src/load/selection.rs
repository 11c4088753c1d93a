//! Choice of searchers for a step.

use fireflyspool::ids;

use crate::searcher;

/// Searchers that match all given fields.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Selection {
    /// Name.
    pub server: Option<ids::ServerName>,
    /// Service.
    pub service: Option<ids::ServiceName>,
    /// Availability zone.
    pub zone: Option<ids::ZoneName>,
    /// Most searchers, in the order of the listing.
    pub most: Option<usize>,
}

impl Selection {
    /// Matching searchers.
    pub fn of<'a>(&self, listings: &'a [searcher::Listing]) -> Vec<&'a searcher::Listing> {
        let fits = |wanted: &Option<String>, name: &str| {
            wanted.as_deref().is_none_or(|wanted| wanted == name)
        };
        let matching = listings.iter().filter(|listing| {
            fits(&self.server, &listing.server)
                && fits(&self.service, &listing.service)
                && fits(&self.zone, &listing.zone)
        });
        matching.take(self.most.unwrap_or(usize::MAX)).collect()
    }
}
