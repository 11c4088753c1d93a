//! One request of a run.

use std::time;

use fireflyspool::{ids, outcome};

use crate::load;

/// Request with what is expected of its answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Identifier, `<unix-ms>-<text>`.
    pub id: ids::RequestId,
    /// Sort of request.
    pub template: load::Template,
    /// Text to search or submit.
    pub text: String,
    /// Intended start, from the start of the run.
    pub intended: time::Duration,
}

impl Request {
    /// Builds a request of a template; entropy selects the text.
    pub fn new(
        template: &load::Template,
        number: u64,
        entropy: u64,
        intended: time::Duration,
        unix: time::Duration,
    ) -> Self {
        let text = format!("{}{}", template.prefix, entropy % template.texts.max(1));
        Self {
            id: format!("{}-load{number}", unix.as_millis()),
            template: template.clone(),
            text: format!("{} {text}", template.name),
            intended,
        }
    }

    /// Statement to send when this much of the deadline is left.
    pub fn statement(&self, left: time::Duration) -> String {
        let template = &self.template;
        let left = left.as_millis().max(1);
        let Some(collection) = &template.collection else {
            return format!(
                "submit to {} id {} body \"{}\" within {left}ms",
                template.service, self.id, self.text
            );
        };
        let coverage = match template.coverage {
            outcome::RequiredCoverage::Full => "full".to_owned(),
            outcome::RequiredCoverage::Any => "any".to_owned(),
            outcome::RequiredCoverage::AtLeast(percent) => format!("{percent}%"),
        };
        let version = template.version;
        let version = version.map_or_else(String::new, |version| format!(" version {version}"));
        format!(
            "search {collection} through {} for \"{}\" kind {} within {left}ms \
             coverage {coverage}{version} limit {}",
            template.service,
            self.text,
            template.kind.name(),
            template.limit
        )
    }
}
