//! Choice of the sort of a request.

use crate::load;

/// Templates with cumulative weights.
#[derive(Clone, Debug, PartialEq)]
pub struct Mix {
    bounds: Vec<(f64, load::Template)>,
}

impl Mix {
    /// Takes the templates with a positive weight.
    pub fn new(templates: &[load::Template]) -> Self {
        let mut sum = 0.0;
        let positive = templates.iter().filter(|template| template.weight > 0.0);
        let bounds = positive.map(|template| {
            sum += template.weight;
            (sum, template.clone())
        });
        Self {
            bounds: bounds.collect(),
        }
    }

    /// Template for a random number; nothing if there is no template.
    pub fn choose(&self, entropy: u64) -> Option<&load::Template> {
        let sum = self.bounds.last()?.0;
        let point = (entropy >> 11) as f64 / 9_007_199_254_740_992.0 * sum;
        let position = self.bounds.partition_point(|bound| bound.0 <= point);
        self.bounds.get(position).map(|bound| &bound.1)
    }
}
