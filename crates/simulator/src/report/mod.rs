//! Reports of simulations: statistics as JSON, as text and as an HTML page with plots; and comparisons of two reports.

mod columns;
mod data;
mod error;
mod page;
mod plots;
mod simulation;
mod text;

pub use self::data::{FaultMarker, Report};
pub use self::error::{ExperimentId, ReportError};
pub use self::plots::Plot;
