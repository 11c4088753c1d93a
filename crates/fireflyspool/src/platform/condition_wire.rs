//! Headers in which a backend server states its load, its departure and its pauses.

use std::time;

use crate::backend;
use crate::platform::headers;

/// Longest pause that is honoured; a longer one is taken for an error of the server.
const MAX_PAUSE: time::Duration = time::Duration::from_secs(3_600);

/// Decodes what a backend server states about itself in the head of a response.
///
/// A departure is stated by the value `1` only. A pause needs status 503 and a positive
/// number of seconds, which may have a fraction; of several the longest counts, and at
/// most an hour. Any other value is ignored, dates included, because the clocks of VMs
/// may step.
pub fn decode_condition(status: http::StatusCode, head: &http::HeaderMap) -> backend::Condition {
    let values = |name: http::HeaderName| {
        let values = head.get_all(name).into_iter();
        values
            .filter_map(|value| value.to_str().ok())
            .map(str::trim)
    };
    let load = values(headers::LOAD).find_map(parse_load);
    let leaving = values(headers::LEAVING).any(|value| value == "1");
    let pauses = values(http::header::RETRY_AFTER).filter_map(parse_pause);
    let pause = match status {
        http::StatusCode::SERVICE_UNAVAILABLE => pauses.max(),
        _ => None,
    };
    backend::Condition {
        load,
        leaving,
        pause,
    }
}

/// Parses the numbers of running and queued requests; ignores the third, the capacity.
fn parse_load(text: &str) -> Option<backend::Load> {
    let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
    Some(backend::Load {
        running: numbers.next()??,
        queued: numbers.next()??,
    })
}

/// Parses a positive number of seconds; one that is too large gives [`MAX_PAUSE`].
fn parse_pause(text: &str) -> Option<time::Duration> {
    let seconds: f64 = text.parse().ok()?;
    let is_pause = seconds.is_finite() && seconds > 0.0;
    is_pause.then(|| time::Duration::from_secs_f64(seconds.min(MAX_PAUSE.as_secs_f64())))
}
