//! Scripts of the review: each case plays one course of events on a small site and judges it.

mod abandoned_crashes;
mod cold_after_freeze;
mod doubled_records;
mod founding;
mod searcher;
mod site;
mod slow_warm_up;

use site::Verdict;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let usage = "usage: CASE ROOT RECORD";
    let case = arguments.next().expect(usage);
    let root = arguments.next().expect(usage);
    let record = arguments.next().expect(usage);
    let play = || {
        let site = site::Site::new(&root, &record)?;
        let result = match case.as_str() {
            "cold-after-freeze" => cold_after_freeze::run(&site),
            "doubled-records" => doubled_records::run(&site),
            "founding" => founding::run(&site),
            "slow-warm-up" => slow_warm_up::run(&site),
            "abandoned-crashes" => abandoned_crashes::run(&site),
            _ => Err(format!("no case {case}")),
        };
        match &result {
            Ok(Verdict::Held) => site.record.line("the rule held"),
            Ok(Verdict::Broken) => site.record.line("the rule was broken"),
            Err(error) => site.record.line(format!("the case could not run: {error}")),
        }
        result
    };
    let code = match play() {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(error) => {
            eprintln!("{error}");
            2
        }
    };
    std::process::exit(code);
}
