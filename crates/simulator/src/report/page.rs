//! Rendering of a report as an HTML page.

use minijinja::{Environment, Value, context};
use plotters::style::RGBColor;

use super::columns::{REPLICA_COLUMNS, Row, interval_titles, replica_rows};
use super::data::{FaultMarker, Report};
use super::error::ReportError;
use super::plots::{Plot, policy_colour};

/// Name of the template in the template engine.
const TEMPLATE: &str = "page.html";

/// Converts a table to the template's form.
fn table_value(title: &str, rows: Vec<Row>) -> Value {
    let rows: Vec<Value> =
        rows.into_iter().map(|row| context! { title => row.title, cells => row.cells }).collect();
    context! { title, rows }
}

/// Converts a plot to the template's form.
fn plot_value(plot: Plot) -> Value {
    context! { title => plot.title, svg => plot.svg }
}

/// Converts a fault to the template's form.
fn fault_value(fault: &FaultMarker) -> Value {
    context! { name => &fault.name, description => &fault.description, at_s => fault.at_s }
}

impl Report {
    /// Renders the report as an HTML page with embedded plots.
    ///
    /// # Errors
    ///
    /// Returns [`ReportError::Plot`] if a plot can't be drawn, and [`ReportError::Page`] if the page can't be rendered.
    pub fn html(&self) -> Result<String, ReportError> {
        let plots = self.plots()?;
        self.render(plots).map_err(|source| ReportError::Page { source })
    }

    fn render(&self, plots: Vec<Plot>) -> Result<String, minijinja::Error> {
        let intervals = self.interval_names().into_iter();
        let tables: Vec<Value> =
            intervals.map(|name| table_value(name, self.interval_rows(name))).collect();
        let replica_tables: Vec<Value> =
            self.runs.iter().map(|run| table_value(&run.policy, replica_rows(run))).collect();
        let plots: Vec<Value> = plots.into_iter().map(plot_value).collect();
        let faults: Vec<Value> = self.faults.iter().map(fault_value).collect();
        let mut templates = Environment::new();
        templates.add_template(TEMPLATE, include_str!("page.html"))?;
        templates.get_template(TEMPLATE)?.render(context! {
            description => &self.description,
            gateways => self.gateways,
            replicas => self.replicas,
            requests_per_s => self.requests_per_s,
            seed => self.seed,
            legend => self.legend(),
            interval_titles => interval_titles(),
            replica_titles => REPLICA_COLUMNS,
            faults,
            plots,
            tables,
            replica_tables,
        })
    }

    /// Returns the policies with their colours in CSS notation.
    fn legend(&self) -> Vec<Value> {
        let runs = self.runs.iter().enumerate();
        runs.map(
            |(index, run)| context! { policy => &run.policy, colour => css_colour(policy_colour(index)) },
        )
        .collect()
    }
}

fn css_colour(RGBColor(red, green, blue): RGBColor) -> String {
    format!("#{red:02x}{green:02x}{blue:02x}")
}
