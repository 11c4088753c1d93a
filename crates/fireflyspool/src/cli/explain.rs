//! The story of one request, from the logs of all VMs.

use std::{fs, path};

use crate::cli;

/// Fields that are shown in front or not at all.
const SHOWN_FIRST: [&str; 5] = ["time", "vm", "node", "level", "message"];

/// Prints every line about a request in the order of time.
///
/// # Errors
///
/// Fails if a file cannot be read.
pub(super) fn explain(request: &str, files: &[path::PathBuf]) -> anyhow::Result<cli::ExitCode> {
    let mut lines = Vec::new();
    for file in files {
        let text = fs::read_to_string(file)?;
        let parsed = text.lines().filter_map(parse);
        lines.extend(parsed.filter(|line| line["request"] == request));
    }
    lines.sort_by_key(|line| line["time"].as_str().unwrap_or_default().to_owned());
    for line in &lines {
        println!("{}", render(line));
    }
    Ok(match lines.is_empty() {
        true => cli::ExitCode::NotRun,
        false => cli::ExitCode::Success,
    })
}

/// Reads a line; what stands before its first brace is skipped, because
/// collectors add the time and the name of the VM there.
fn parse(line: &str) -> Option<serde_json::Value> {
    serde_json::from_str(&line[line.find('{')?..]).ok()
}

fn render(line: &serde_json::Value) -> String {
    let text = |name: &str| line[name].as_str().unwrap_or_default().to_owned();
    let mut shown = format!("{}  {}  {}", text("time"), line["node"], text("message"));
    for (name, value) in line.as_object().into_iter().flatten() {
        if SHOWN_FIRST.contains(&name.as_str()) {
            continue;
        }
        if name == "sends" {
            for send in text(name).split_whitespace() {
                shown.push_str("\n    sent ");
                shown.push_str(send);
            }
        } else {
            shown.push_str(&format!("\n    {name} = {value}"));
        }
    }
    shown
}
