//! Columns and rows of the report's tables.

use super::data::Report;
use crate::record::{IntervalSummary, ReplicaSummary, RunSummary};

/// A column of the table of intervals. The title is part of the report's format.
pub(super) struct Column {
    pub(super) title: &'static str,
    value: fn(&IntervalSummary) -> f64,
}

/// A row of a table, with formatted values.
pub(super) struct Row {
    pub(super) title: String,
    pub(super) cells: Vec<String>,
}

/// Titles of the columns of the table of replicas, part of the report's format.
pub(super) const REPLICA_COLUMNS: [&str; 5] = ["load", "attempts", "errors", "share", "had room"];

/// Columns of the table of intervals.
pub(super) const INTERVAL_COLUMNS: [Column; 23] = [
    Column { title: "first tries", value: |interval| interval.requests as f64 },
    Column { title: "in time", value: |interval| interval.in_time },
    Column { title: "late", value: |interval| interval.late },
    Column { title: "refused", value: |interval| interval.rejected },
    Column { title: "failed", value: |interval| interval.failed },
    Column { title: "broken", value: |interval| interval.broken },
    Column { title: "worth", value: |interval| interval.value },
    Column { title: "tries", value: |interval| interval.client_attempts },
    Column { title: "attempts", value: |interval| interval.attempts },
    Column { title: "errors", value: |interval| interval.errors },
    Column { title: "spent", value: |interval| interval.exhausted },
    Column { title: "room", value: |interval| interval.rejected_with_free_capacity },
    Column { title: "kept", value: |interval| interval.cached },
    Column { title: "p50 ms", value: |interval| interval.first_token_p50_ms },
    Column { title: "p99 ms", value: |interval| interval.first_token_p99_ms },
    Column { title: "in hand", value: |interval| interval.in_flight },
    Column { title: "max/mean", value: |interval| interval.max_over_mean_p50 },
    Column { title: "p95", value: |interval| interval.max_over_mean_p95 },
    Column { title: "cv", value: |interval| interval.cv },
    Column { title: "cv lasting", value: |interval| interval.cv_of_averages },
    Column { title: "idle+queue", value: |interval| interval.idle_while_queued },
    Column { title: "fresh", value: |interval| interval.replacements_over_mean },
    Column { title: "herd", value: |interval| interval.herd as f64 },
];

/// Titles of the columns of the table of intervals.
pub(super) fn interval_titles() -> [&'static str; 23] {
    INTERVAL_COLUMNS.map(|column| column.title)
}

impl Report {
    /// Returns the rows of an interval, one for each policy.
    pub(super) fn interval_rows(&self, name: &str) -> Vec<Row> {
        let row = |run: &RunSummary| {
            let interval = run.intervals.iter().find(|interval| interval.name == name)?;
            let cells = INTERVAL_COLUMNS.iter().map(|column| format_value((column.value)(interval)));
            Some(Row { title: run.policy.clone(), cells: cells.collect() })
        };
        self.runs.iter().filter_map(row).collect()
    }
}

/// Returns the rows of the replicas of a run.
pub(super) fn replica_rows(run: &RunSummary) -> Vec<Row> {
    let row = |replica: &ReplicaSummary| {
        let error_fraction = replica.errors as f64 / replica.attempts.max(1) as f64;
        let (attempts, errors) = (replica.attempts as f64, replica.errors as f64);
        let values = [replica.load, attempts, errors, error_fraction, replica.free_capacity_at_rejections];
        Row {
            title: format!("{} ({})", replica.name, replica.kind),
            cells: values.map(format_value).into(),
        }
    };
    run.replicas.iter().map(row).collect()
}

/// Formats a value with at least three significant digits: none, one or three decimal places, depending on its size.
fn format_value(value: f64) -> String {
    match value {
        value if value.fract() == 0.0 => format!("{value:.0}"),
        value if value >= 100.0 => format!("{value:.0}"),
        value if value >= 10.0 => format!("{value:.1}"),
        value => format!("{value:.3}"),
    }
}
