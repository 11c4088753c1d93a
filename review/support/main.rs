//! Stand-ins and cases of the review: `cases NAME FOLDER` plays one case and writes
//! `FOLDER/record.txt`. It exits with 1 if the rule was broken, 0 if it held and 2 if the case
//! could not run. With `TROUBLE=0` the case is played without its disruption.

mod cases;
mod client;
mod http;
mod operator;
mod record;
mod server;
mod site;

use std::{env, path, process, thread, time};

/// Longest run of a case, after which it counts as one that could not run.
const RUN_LIMIT: time::Duration = time::Duration::from_secs(112);

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: cases NAME FOLDER");
        process::exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::new(&path::Path::new(folder).join("record.txt"));
    let site = match site::Site::new(&record) {
        Ok(site) => site,
        Err(error) => {
            eprintln!("no site: {error}");
            process::exit(2);
        }
    };
    record.note(format!(
        "case {name}, disruption {}",
        if trouble { "on" } else { "off" }
    ));
    let (limited, reporting) = (site.clone(), record.clone());
    thread::spawn(move || {
        thread::sleep(RUN_LIMIT);
        reporting.note("the run took too long".to_owned());
        limited.end();
        process::exit(2);
    });
    let played = std::panic::catch_unwind(|| cases::play(name, &site, &record, trouble));
    site.end();
    let code = match played {
        Ok(Ok(true)) => 0,
        Ok(Ok(false)) => 1,
        Ok(Err(error)) => {
            record.note(format!("the case could not run: {error}"));
            2
        }
        Err(_) => 2,
    };
    let verdict = [
        "the rule held",
        "the rule was broken",
        "the case could not run",
    ][code];
    record.note(verdict.to_owned());
    println!("{name}: {verdict}");
    process::exit(code as i32);
}
