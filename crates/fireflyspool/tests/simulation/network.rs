//! Network that loses, duplicates, delays and reorders messages.

use fireflyspool::{consensus, ids};

use crate::simulation;

/// Most messages in flight; more mean that replies multiply messages.
const MAX_IN_FLIGHT: usize = 2000;

/// Messages in flight and the faults that apply to them.
pub(crate) struct Network {
    pub(crate) rng: simulation::Splitmix,
    /// Percentage of messages that are lost.
    pub(crate) loss: u8,
    /// Percentage of messages that are delivered twice.
    pub(crate) repeat: u8,
    /// Greatest delay in milliseconds.
    pub(crate) delay: u8,
    /// Links from one node to another that are cut.
    pub(crate) cut_links: Vec<(ids::NodeId, ids::NodeId)>,
    in_flight: Vec<(u64, consensus::Envelope)>,
}

impl Network {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rng: simulation::Splitmix(seed),
            loss: 0,
            repeat: 0,
            delay: 3,
            cut_links: Vec::new(),
            in_flight: Vec::new(),
        }
    }

    pub(crate) fn heal(&mut self) {
        (self.loss, self.repeat, self.delay) = (0, 0, 3);
        self.cut_links.clear();
    }

    pub(crate) fn send(&mut self, envelope: &consensus::Envelope, now: u64) {
        let link = (envelope.from, envelope.to);
        if self.cut_links.contains(&link) || self.rng.percent(self.loss) {
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
            self.in_flight.push((now + delay, sent));
            assert!(
                self.in_flight.len() < MAX_IN_FLIGHT,
                "messages multiply: {:?}",
                &self.in_flight[MAX_IN_FLIGHT - 8..]
            );
        }
    }

    /// Virtual time of the next delivery.
    pub(crate) fn next(&self) -> Option<u64> {
        self.in_flight.iter().map(|(at, _)| *at).min()
    }

    /// Takes the messages due by now; those on a link that is cut by then are lost.
    pub(crate) fn take_arrived(&mut self, now: u64) -> Vec<consensus::Envelope> {
        let mut arrived = Vec::new();
        let cut_links = &self.cut_links;
        self.in_flight.retain(|(at, envelope)| {
            let due = *at <= now;
            if due && !cut_links.contains(&(envelope.from, envelope.to)) {
                arrived.push(envelope.clone());
            }
            !due
        });
        arrived
    }
}
