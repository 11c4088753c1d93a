//! The `explain` subcommand: log lines about one request, merged across VMs.

use std::{fs, path};

use crate::cli;

/// Fields that the list of other fields leaves out: time, node and message
/// head the line, VM and level are not printed.
const HEADER_FIELDS: [&str; 5] = ["time", "vm", "node", "level", "message"];

/// Prints every log line about a request, sorted by time.
///
/// # Errors
///
/// Fails if a file cannot be read.
pub(super) fn explain(request: &str, files: &[path::PathBuf]) -> anyhow::Result<cli::ExitCode> {
    let mut lines = Vec::new();
    for file in files {
        let text = fs::read_to_string(file)?;
        let parsed = text.lines().filter_map(parse_line);
        lines.extend(parsed.filter(|line| line["request"] == request));
    }
    lines.sort_by_key(|line| line["time"].as_str().unwrap_or_default().to_owned());
    for line in &lines {
        println!("{}", render_line(line));
    }
    Ok(match lines.is_empty() {
        true => cli::ExitCode::NotRun,
        false => cli::ExitCode::Success,
    })
}

/// Parses a JSON log line; skips any text before the first brace, because log
/// collectors prepend the time and the VM name.
fn parse_line(line: &str) -> Option<serde_json::Value> {
    serde_json::from_str(&line[line.find('{')?..]).ok()
}

fn render_line(line: &serde_json::Value) -> String {
    let text = |name: &str| line[name].as_str().unwrap_or_default().to_owned();
    let mut shown = format!("{}  {}  {}", text("time"), line["node"], text("message"));
    for (name, value) in line.as_object().into_iter().flatten() {
        if HEADER_FIELDS.contains(&name.as_str()) {
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
