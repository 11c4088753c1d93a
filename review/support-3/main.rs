//! Cases of the third review: `review-3 CASE RECORD`, from the root of the project.
//!
//! Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod client;
mod crowd;
mod foreign;
mod http;
mod late;
mod searcher;
mod site;
mod storm;
mod stranger;

use std::{panic, process::ExitCode, sync::Arc, time::Duration};

use client::Clients;
use site::Site;

/// End of a case.
pub enum Verdict {
    Broken,
    Held,
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let words: Vec<_> = std::env::args().collect();
    let [_, case, record] = words.as_slice() else {
        eprintln!("usage: review-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let run = match case.as_str() {
        "crowd" => crowd::run,
        "foreign" => foreign::run,
        "late" => late::run,
        "storm" => storm::run,
        "stranger" => stranger::run,
        other => {
            eprintln!("there is no case {other}");
            return ExitCode::from(2);
        }
    };
    let site = Arc::new(Site::new(case, record));
    let verdict = panic::catch_unwind(panic::AssertUnwindSafe(|| run(&site, trouble)));
    site.end();
    match verdict.unwrap_or_else(|_| Verdict::CouldNotRun("see above".to_owned())) {
        Verdict::Broken => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Verdict::Held => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::CouldNotRun(cause) => {
            println!("the case couldn't run: {cause}");
            ExitCode::from(2)
        }
    }
}

/// Route of a manifest.
pub struct Route {
    pub prefix: &'static str,
    /// Value of `Gather` or `Backend`, with its name.
    pub target: &'static str,
    pub attempts: u32,
    /// Value of `RouteType`.
    pub kind: &'static str,
}

/// Text of a manifest; `services` are names with their `WarmupPerS`.
pub fn manifest(version: u64, routes: &[Route], services: &[(&str, f64)]) -> String {
    let route = |route: &Route| {
        let name = route.prefix.trim_matches('/');
        format!(
            "{{\"Name\":\"r-{name}\",\"Hostname\":\"h.example\",\"PathPrefix\":\"{}\",\"RouteType\":\"{}\",\
             \"TimeoutMs\":1000,\"TargetLatencyMs\":200,\"Priority\":1,{},\"Attempts\":{}}}",
            route.prefix, route.kind, route.target, route.attempts,
        )
    };
    let service = |(name, per_s): &(&str, f64)| {
        format!(
            "{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConnections\":94,\"Protocol\":\"h1\",\
             \"Tls\":false,\"WarmupS\":3.0,\"WarmupPerS\":{per_s:.1}}}",
        )
    };
    let routes: Vec<_> = routes.iter().map(route).collect();
    let services: Vec<_> = services.iter().map(service).collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Backends\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(","),
    )
}

/// Starts all machines with empty disks and waits until the first manifest is acknowledged and
/// clients are sent to all entry machines.
pub fn found(site: &Arc<Site>, entries: &[u8], first: &str) -> Result<Arc<Clients>, String> {
    for vm in &site.controls {
        site.start(*vm, true);
    }
    for vm in entries {
        site.start(*vm, true);
    }
    if site.order("/fireflyspool/Config.Replace", first).is_none() {
        return Err("the first manifest wasn't acknowledged".to_owned());
    }
    site.note("the first manifest is acknowledged");
    let clients = Clients::new(site);
    if !clients.wait_for(entries.len(), Duration::from_secs(20)) {
        return Err("the directory doesn't name all entry machines".to_owned());
    }
    site.note("the directory names all entry machines");
    Ok(clients)
}

pub fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}
