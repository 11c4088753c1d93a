//! Reports as text.

use crate::load;

/// Rows of names and one value for each report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    rows: Vec<(String, Vec<String>)>,
}

impl Table {
    /// One column for each report; rows that only some reports have are blank in the others.
    pub fn of(reports: &[&load::Report]) -> Self {
        let mut table = Self::default();
        for (column, report) in reports.iter().enumerate() {
            for (name, value) in rows(report) {
                table.put(column, reports.len(), name, value);
            }
        }
        table
    }

    fn put(&mut self, column: usize, columns: usize, name: String, value: String) {
        let known = self.rows.iter().position(|row| row.0 == name);
        let position = known.unwrap_or_else(|| {
            self.rows.push((name, vec![String::new(); columns]));
            self.rows.len() - 1
        });
        self.rows[position].1[column] = value;
    }

    /// Rows in order.
    pub fn rows(&self) -> &[(String, Vec<String>)] {
        &self.rows
    }
}

impl std::fmt::Display for Table {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (name, values) in &self.rows {
            write!(formatter, "{name:<36}")?;
            for value in values {
                write!(formatter, " {value:>18}")?;
            }
            writeln!(formatter)?;
        }
        Ok(())
    }
}

fn rows(report: &load::Report) -> Vec<(String, String)> {
    let mut rows = vec![
        ("label".to_owned(), report.label.clone()),
        ("baseline".to_owned(), report.baseline.to_string()),
        ("requests".to_owned(), report.intended.to_string()),
    ];
    for kind in report.kinds.iter().filter(|kind| kind.intended > 0) {
        rows.extend(kind_rows(kind));
    }
    let mut counts = |what: &str, counts: &fireflyspool::sorted::SortedMap<String, u64>| {
        for (name, count) in counts.iter() {
            rows.push((format!("{what}: {name}"), count.to_string()));
        }
    };
    counts("refused", &report.refusals);
    counts("failed", &report.failures);
    counts("unsent", &report.unsent);
    rows.extend([
        ("resends".to_owned(), report.resends.to_string()),
        ("responses verified".to_owned(), report.verified.to_string()),
        ("wrong responses".to_owned(), report.wrong.to_string()),
    ]);
    rows.extend(searcher_rows(&report.searchers));
    for event in &report.events {
        let state = if event.succeeded { "done" } else { "failed" };
        let name = format!("event {}", event.step);
        rows.push((name, format!("{state} in {} ms", event.took_ms)));
    }
    for score in &report.scores {
        rows.push((
            format!("score {}", score.user),
            format!("{:.2}", score.total),
        ));
    }
    rows
}

fn kind_rows(kind: &load::KindReport) -> Vec<(String, String)> {
    let name = kind.kind.name();
    let share = kind.in_time as f64 / kind.intended as f64;
    let mut rows = vec![
        (format!("{name} requests"), kind.intended.to_string()),
        (format!("{name} in time"), format!("{:.3}%", share * 100.0)),
        (
            format!("{name} covered"),
            format!("{:.3}%", kind.covered_share * 100.0),
        ),
        (format!("{name} late"), kind.late.to_string()),
    ];
    for (end, count) in kind.ends.iter() {
        rows.push((format!("{name} {end}"), count.to_string()));
    }
    let latencies = [
        ("answered", &kind.answered),
        ("all", &kind.all),
        ("after commands", &kind.changing),
    ];
    for (what, latency) in latencies.into_iter().filter(|entry| entry.1.count > 0) {
        let quantiles = [
            ("p50", latency.p50_ms),
            ("p99", latency.p99_ms),
            ("p99.9", latency.p999_ms),
            ("max", latency.max_ms),
        ];
        for (quantile, value) in quantiles {
            rows.push((
                format!("{name} {what} {quantile}"),
                format!("{value:.1} ms"),
            ));
        }
    }
    rows
}

fn searcher_rows(searchers: &load::SearcherReport) -> Vec<(String, String)> {
    let row = |name: &str, value: &dyn std::fmt::Display| {
        (format!("searchers: {name}"), value.to_string())
    };
    let mut rows = vec![
        row("asked", &searchers.searchers),
        row("unreachable", &searchers.unreachable),
        row("runs", &searchers.run),
        row("runs needed", &searchers.needed),
        row(
            "extra load",
            &format!("{:.2}%", searchers.extra_load * 100.0),
        ),
        row("busiest second", &searchers.busiest_second),
        row("busiest second needed", &searchers.busiest_needed),
        row("cancelled", &searchers.cancelled),
        row("expired", &searchers.expired),
        row("crashes", &searchers.crashes),
        row("most running", &searchers.most_running),
        row("most queued", &searchers.most_queued),
        row("most connections", &searchers.most_connections),
        row("rejected connections", &searchers.rejected_connections),
        row("repeated submissions", &searchers.repeated.len()),
        row("false refusals", &searchers.false_refusals.len()),
        row("false receipts", &searchers.false_receipts.len()),
    ];
    for (status, count) in searchers.refused.iter() {
        rows.push(row(&format!("status {status}"), count));
    }
    rows
}
