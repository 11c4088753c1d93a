//! Sender of announcements.

use std::time;

use fireflyspool::backend;
use tokio::sync::mpsc;

/// Longest wait for an entry VM; a stopped one must not hold up the next announcement.
const TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Posts announcements to entry addresses.
#[derive(Debug)]
pub struct Announcer {
    /// HTTP client.
    pub client: reqwest::Client,
    /// Entry addresses.
    pub entries: Vec<std::net::SocketAddr>,
    /// Key of the site.
    pub key: String,
    /// First entry address, so that searchers spread over them.
    pub offset: usize,
    /// Announcements; the flag asks to send to every entry address.
    pub announcements: mpsc::Receiver<(backend::Announcement, bool)>,
}

impl Announcer {
    /// Sends until the driver has ended.
    pub async fn run(mut self) {
        while let Some((announcement, everywhere)) = self.announcements.recv().await {
            if everywhere {
                let mut sends = tokio::task::JoinSet::new();
                for entry in &self.entries {
                    sends.spawn(self.request(*entry, &announcement).send());
                }
                while sends.join_next().await.is_some() {}
            } else {
                self.send_to_one(&announcement).await;
            }
        }
    }

    /// Sends to the next entry address that answers.
    async fn send_to_one(&mut self, announcement: &backend::Announcement) {
        for _ in 0..self.entries.len() {
            self.offset = (self.offset + 1) % self.entries.len();
            let entry = self.entries[self.offset];
            let response = self.request(entry, announcement).send().await;
            if response.is_ok_and(|response| response.status().is_success()) {
                return;
            }
        }
    }

    fn request(
        &self,
        entry: std::net::SocketAddr,
        announcement: &backend::Announcement,
    ) -> reqwest::RequestBuilder {
        self.client
            .post(format!("http://{entry}/v1/announce"))
            .bearer_auth(&self.key)
            .timeout(TIMEOUT)
            .json(announcement)
    }
}
