//! Headers in which a backend server states its load, its departure and its pauses.

use std::time;

use crate::backend;
use crate::platform::headers;

/// Longest pause that is honoured; a longer one is taken for an error of the server.
const MAX_PAUSE: time::Duration = time::Duration::from_secs(3_600);

/// Most requests or slots that are believed; more is an error of the server.
const MAX_REQUESTS: u32 = 100_000;

/// Slowest pace that is believed, in percent. Slower machines miss every deadline, so a larger
/// figure is an error, which must not keep requests from the server.
const MAX_PERCENT: u32 = 10_000;

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
    let stated = values(headers::LOAD).find_map(parse_load);
    let leaving = values(headers::LEAVING).any(|value| value == "1");
    let pauses = values(http::header::RETRY_AFTER).filter_map(parse_pause);
    let pause = match status {
        http::StatusCode::SERVICE_UNAVAILABLE => pauses.max(),
        _ => None,
    };
    backend::Condition {
        load: stated.map(|(load, _)| load),
        pace: stated.and_then(|(_, pace)| pace),
        leaving,
        pause,
    }
}

/// Parses two to four figures: running and queued requests, slots, and the pace in percent.
///
/// Every figure must be a plausible number, or the whole header is ignored.
fn parse_load(text: &str) -> Option<(backend::Load, Option<backend::Pace>)> {
    let parse = |figure: &str| figure.trim().parse::<u32>().ok();
    let figures: Option<Vec<_>> = text.split(',').map(parse).collect();
    let (running, queued, slots, percent) = match *figures? {
        [running, queued] => (running, queued, None, None),
        [running, queued, slots] => (running, queued, Some(slots), None),
        [running, queued, slots, percent] => (running, queued, Some(slots), Some(percent)),
        _ => return None,
    };
    let is_count = |count: u32| count <= MAX_REQUESTS;
    let plausible = is_count(running)
        && is_count(queued)
        && slots.is_none_or(|slots| slots > 0 && is_count(slots))
        && percent.is_none_or(|percent| (1..=MAX_PERCENT).contains(&percent));
    let load = backend::Load { running, queued };
    let pace = slots.zip(percent);
    let pace = pace.map(|(slots, percent)| backend::Pace { slots, percent });
    plausible.then_some((load, pace))
}

/// Parses a positive number of seconds; one that is too large gives [`MAX_PAUSE`].
fn parse_pause(text: &str) -> Option<time::Duration> {
    let seconds: f64 = text.parse().ok()?;
    let is_pause = seconds.is_finite() && seconds > 0.0;
    is_pause.then(|| time::Duration::from_secs_f64(seconds.min(MAX_PAUSE.as_secs_f64())))
}
