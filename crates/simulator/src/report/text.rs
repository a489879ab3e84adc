//! Reports as plain text, and comparisons of two reports.

use std::fmt::Write;

use super::columns::{REPLICA_COLUMNS, Row, interval_titles, replica_rows};
use super::data::Report;
use super::error::{ExperimentId, ReportError};
use crate::record::RunSummary;

/// Maximum number of replicas of a run for which the text includes the table of replicas.
const MAX_LISTED_REPLICAS: usize = 20;

impl Report {
    /// Formats the statistics as plain-text tables.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        for name in self.interval_names() {
            let _ = writeln!(text, "{name}");
            write_table(&mut text, &interval_titles(), &self.interval_rows(name));
        }
        for run in self.runs.iter().filter(|run| run.replicas.len() <= MAX_LISTED_REPLICAS) {
            let _ = writeln!(text, "{}: {} attempts of clients rejected", run.policy, run.rejected);
            write_table(&mut text, &REPLICA_COLUMNS, &replica_rows(run));
        }
        self.runs.iter().for_each(|run| write_run(&mut text, run));
        text
    }

    /// Formats the statistics of this report next to those of an earlier one, for the policies in both.
    ///
    /// # Errors
    ///
    /// Returns [`ReportError::DifferentExperiments`] if the experiments or the seeds differ.
    pub fn compare(&self, before: &Report) -> Result<String, ReportError> {
        if self.experiment_id() != before.experiment_id() {
            let (before, after) = (before.experiment_id(), self.experiment_id());
            return Err(ReportError::DifferentExperiments { before, after });
        }
        let mut text = String::new();
        for name in self.interval_names() {
            let _ = writeln!(text, "{name}");
            write_table(&mut text, &interval_titles(), &self.compared_rows(before, name));
        }
        Ok(text)
    }

    fn compared_rows(&self, before: &Report, interval: &str) -> Vec<Row> {
        let rows_before = before.interval_rows(interval);
        let mut rows = Vec::new();
        for now in self.interval_rows(interval) {
            let Some(before) = rows_before.iter().find(|row| row.title == now.title) else { continue };
            rows.push(Row { title: format!("{}, before", now.title), cells: before.cells.clone() });
            rows.push(Row { title: format!("{}, now", now.title), cells: now.cells });
        }
        rows
    }

    fn experiment_id(&self) -> ExperimentId {
        ExperimentId { description: self.description.clone(), seed: self.seed }
    }
}

fn write_run(text: &mut String, run: &RunSummary) {
    let _ = writeln!(
        text,
        "{}: {} events; list calls: {} at most in a second, {} failed, first list after {:.0} ms (median), {:.0} ms \
         (maximum), {} gateways without a list; cold at most {:.2} of the overloading work",
        run.policy,
        run.events,
        run.intervals.iter().map(|interval| interval.list_calls_peak).max().unwrap_or(0),
        run.list_calls_failed,
        run.list_wait_p50_ms,
        run.list_wait_longest_ms,
        run.gateways_without_list,
        run.max_slow_start_overload
    );
}

fn write_table(text: &mut String, titles: &[&str], rows: &[Row]) {
    let _ = write!(text, "  {:<24}", "");
    for title in titles {
        let _ = write!(text, " {title:>11}");
    }
    text.push('\n');
    for row in rows {
        let _ = write!(text, "  {:<24}", row.title);
        for cell in &row.cells {
            let _ = write!(text, " {cell:>11}");
        }
        text.push('\n');
    }
}
