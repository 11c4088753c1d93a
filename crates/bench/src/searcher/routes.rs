//! HTTP interface of a searcher; translation only.

use std::time;

use fireflyspool::backend;
use rocket::{State, http, serde::json};

use crate::searcher;

type Reply = (http::Status, json::Value);

fn encode(status: u16, content: &impl serde::Serialize) -> Reply {
    let content = serde_json::to_value(content).unwrap_or_default();
    (http::Status::new(status), content)
}

/// Longest wait for the gate to close the connection of an abandoned request.
const CLOSING: time::Duration = time::Duration::from_secs(1);

/// Translates a verdict; an abandoned request waits for its connection to be closed.
async fn translate(verdict: Option<searcher::Verdict>) -> Reply {
    match verdict {
        Some(searcher::Verdict::Found(reply)) => encode(200, &reply),
        Some(searcher::Verdict::Submitted(reply)) => encode(200, &reply),
        Some(searcher::Verdict::Cancel(reply)) => encode(200, &reply),
        Some(searcher::Verdict::Refused(status, reply)) => encode(status, &reply),
        _ => {
            // An immediate error response could still pass the gate before it closes.
            tokio::time::sleep(CLOSING).await;
            encode(500, &"no answer")
        }
    }
}

#[rocket::post("/v1/search", data = "<request>")]
async fn search(
    handle: &State<searcher::Handle>,
    request: json::Json<backend::SearchRequest>,
) -> Reply {
    let work = searcher::Work::Search(request.into_inner());
    let arrive = |ticket| searcher::Event::Arrive { ticket, work };
    translate(handle.ask(arrive).await).await
}

#[rocket::post("/v1/submit", data = "<request>")]
async fn submit(
    handle: &State<searcher::Handle>,
    request: json::Json<backend::SubmitRequest>,
) -> Reply {
    let work = searcher::Work::Submit(request.into_inner());
    let arrive = |ticket| searcher::Event::Arrive { ticket, work };
    translate(handle.ask(arrive).await).await
}

#[rocket::post("/v1/cancel", data = "<request>")]
async fn cancel(
    handle: &State<searcher::Handle>,
    request: json::Json<backend::CancelRequest>,
) -> Reply {
    let request = request.into_inner();
    let cancel = |ticket| searcher::Event::Cancel { ticket, request };
    translate(handle.ask(cancel).await).await
}

async fn look(handle: &searcher::Handle) -> Option<searcher::Sight> {
    match handle
        .ask(|ticket| searcher::Event::Look { ticket })
        .await?
    {
        searcher::Verdict::Seen(sight) => Some(*sight),
        _ => None,
    }
}

#[rocket::get("/v1/health")]
async fn health(handle: &State<searcher::Handle>) -> Reply {
    let healthy = look(handle).await.is_some_and(|sight| sight.healthy);
    encode(if healthy { 200 } else { 503 }, &healthy)
}

#[rocket::get("/v1/load")]
async fn load(handle: &State<searcher::Handle>) -> Reply {
    let sight = look(handle).await;
    encode(200, &sight.map(|sight| sight.load))
}

#[rocket::get("/control")]
async fn behaviour(handle: &State<searcher::Handle>) -> Reply {
    let sight = look(handle).await;
    encode(200, &sight.map(|sight| sight.behaviour))
}

#[rocket::get("/control/counters")]
async fn counters(handle: &State<searcher::Handle>) -> Reply {
    let sight = look(handle).await;
    encode(200, &sight.map(|sight| sight.counters))
}

#[rocket::post("/control", data = "<control>")]
async fn control(
    handle: &State<searcher::Handle>,
    control: Result<json::Json<searcher::Control>, json::Error<'_>>,
) -> Reply {
    let control = match control {
        Ok(control) => control.into_inner(),
        Err(error) => return encode(422, &error.to_string()),
    };
    if let searcher::Control::Set { behaviour } = &control {
        let sight = look(handle).await;
        let patched = sight.map(|sight| sight.behaviour.patched(behaviour));
        if let Some(Err(error)) = patched {
            return encode(422, &error.to_string());
        }
    }
    let told = handle.tell(searcher::Event::Control(control)).await;
    encode(if told { 200 } else { 500 }, &told)
}

/// All routes.
pub(super) fn all() -> Vec<rocket::Route> {
    rocket::routes![
        search, submit, cancel, health, load, behaviour, counters, control
    ]
}
