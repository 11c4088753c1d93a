//! Network that loses, repeats, delays and reorders messages.

use fireflyspool::{consensus, ids};

use crate::simulation;

/// More messages under way mean that replies multiply.
const STORM: usize = 2000;

/// Messages under way.
pub(crate) struct Network {
    pub(crate) rng: simulation::Splitmix,
    pub(crate) loss: u8,
    pub(crate) repeat: u8,
    /// Greatest delay in milliseconds.
    pub(crate) delay: u8,
    /// Links from one node to another that are cut.
    pub(crate) cut: Vec<(ids::NodeId, ids::NodeId)>,
    under_way: Vec<(u64, consensus::Envelope)>,
}

impl Network {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rng: simulation::Splitmix(seed),
            loss: 0,
            repeat: 0,
            delay: 3,
            cut: Vec::new(),
            under_way: Vec::new(),
        }
    }

    pub(crate) fn heal(&mut self) {
        (self.loss, self.repeat, self.delay) = (0, 0, 3);
        self.cut.clear();
    }

    pub(crate) fn send(&mut self, envelope: &consensus::Envelope, now: u64) {
        let link = (envelope.from, envelope.to);
        if self.cut.contains(&link) || self.rng.percent(self.loss) {
            return;
        }
        let copies = if self.rng.percent(self.repeat) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = 1 + self.rng.below(u64::from(self.delay));
            let mut sent = envelope.clone();
            if self.rng.percent(5) {
                let text = serde_json::to_string(&sent).expect("an envelope can be encoded");
                sent = serde_json::from_str(&text).expect("an encoded envelope can be read");
                assert_eq!(&sent, envelope, "encoding changes an envelope");
            }
            self.under_way.push((now + delay, sent));
            assert!(
                self.under_way.len() < STORM,
                "messages multiply: {:?}",
                &self.under_way[STORM - 8..]
            );
        }
    }

    /// Time of the next delivery.
    pub(crate) fn next(&self) -> Option<u64> {
        self.under_way.iter().map(|(at, _)| *at).min()
    }

    /// Messages that arrive until now, except over links that were cut meanwhile.
    pub(crate) fn arrived(&mut self, now: u64) -> Vec<consensus::Envelope> {
        let mut arrived = Vec::new();
        let cut = &self.cut;
        self.under_way.retain(|(at, envelope)| {
            let due = *at <= now;
            if due && !cut.contains(&(envelope.from, envelope.to)) {
                arrived.push(envelope.clone());
            }
            !due
        });
        arrived
    }
}
