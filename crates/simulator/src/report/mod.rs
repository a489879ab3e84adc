//! The report of a simulation: its statistics as JSON, as text and as a page with plots, and the comparison of two.

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
