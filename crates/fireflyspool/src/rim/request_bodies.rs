//! Reading of request bodies whose sum is bounded.

use std::{sync, time};

use http_body_util::BodyExt as _;
use hyper::body;

use crate::rim::{receive_pool, taken_bytes};
use crate::{rim, timer};

/// Bytes of a body that are not taken from the pool, so that common requests arrive whatever
/// others send.
const FREE_BYTES: usize = 16 * 1024;

/// Time limit of a body; one that never ends would keep what it took from the pool.
const READ_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Reads bodies that take up to a number of bytes together, beyond a small share of each.
pub struct RequestBodies {
    pool: sync::Arc<receive_pool::ReceivePool>,
    timer: timer::TimerService,
}

impl RequestBodies {
    /// Creates a reader of bodies that take up to `bytes` together.
    pub fn new(timer: timer::TimerService, bytes: usize) -> Self {
        let pool = sync::Arc::new(receive_pool::ReceivePool::new(bytes));
        Self { pool, timer }
    }

    /// Reads a body of up to `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns a [`rim::BodyError`] if the body is too large or does not end, or if other
    /// bodies take too much.
    pub async fn read(
        &self,
        body: body::Incoming,
        limit: usize,
    ) -> Result<rim::RequestBody, rim::BodyError> {
        tokio::select! {
            read = self.collect(body, limit) => read,
            () = self.timer.sleep(READ_TIMEOUT) => Err(rim::BodyError::TimedOut),
        }
    }

    async fn collect(
        &self,
        mut body: body::Incoming,
        limit: usize,
    ) -> Result<rim::RequestBody, rim::BodyError> {
        let pool = sync::Arc::clone(&self.pool);
        let mut taken = taken_bytes::TakenBytes::none(pool);
        let mut read = bytes::BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(rim::BodyError::Broken)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let length = read.len() + data.len();
            if length > limit {
                return Err(rim::BodyError::TooLarge { limit });
            }
            if !taken.grow_to(length.saturating_sub(FREE_BYTES)) {
                return Err(rim::BodyError::NoRoom);
            }
            read.extend_from_slice(&data);
        }
        Ok(rim::RequestBody::new(read.freeze(), taken))
    }
}
