//! Plots of the report, as SVG.

use std::error::Error;

use plotters::coord::Shift;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::{
    BLACK, Cartesian2d, ChartBuilder, ChartContext, Color, DrawingArea, IntoDrawingArea, LineSeries,
    PathElement, RGBColor, Rectangle, SVGBackend, SeriesLabelPosition, ShapeStyle, WHITE,
};

use super::data::Report;
use super::error::ReportError;
use crate::record::{ReplicaSummary, RunSummary, Window};

/// A plot, rendered as SVG.
#[derive(Clone, Debug)]
pub struct Plot {
    /// Name of the file, without the extension.
    pub name: String,
    /// Title.
    pub title: String,
    /// SVG document.
    pub svg: String,
}

/// A plot over time, of one value for each window.
struct WindowPlot {
    name: &'static str,
    title: &'static str,
    value: fn(&Window) -> f64,
}

const WINDOW_PLOTS: [WindowPlot; 6] = [
    WindowPlot {
        name: "max-over-mean",
        title: "Most loaded over the mean, windows of 100 ms",
        value: |window| window.max_over_mean,
    },
    WindowPlot {
        name: "herd",
        title: "Most requests at one replica within 50 ms",
        value: |window| window.herd as f64,
    },
    WindowPlot {
        name: "idle-while-queued",
        title: "Share of the time with one idle while another queues",
        value: |window| window.idle_while_queued,
    },
    WindowPlot {
        name: "fresh",
        title: "Load of replicas that came in place of others, over the mean",
        value: |window| window.replacements_over_mean,
    },
    WindowPlot {
        name: "in-hand",
        title: "Requests in hand, all replicas",
        value: |window| window.in_flight,
    },
    WindowPlot {
        name: "list-calls",
        title: "Calls that reach the list service, in 100 ms",
        value: |window| window.list_calls as f64,
    },
];

/// Width of all plots in pixels.
const WIDTH: u32 = 940;
/// Height of a plot over time in pixels.
const WINDOW_PLOT_HEIGHT: u32 = 300;
/// Height of a heat map of replicas in pixels.
const HEAT_MAP_HEIGHT: u32 = 340;
/// Margin around a plot in pixels.
const MARGIN: u32 = 8;
/// Height of the area for labels of the x axis in pixels.
const X_LABEL_SIZE: u32 = 28;
/// Width of the area for labels of the y axis in pixels.
const Y_LABEL_SIZE: u32 = 44;
/// Label of the x axis.
const TIME_LABEL: &str = "seconds after the warm-up";
/// Height of the y axis relative to the highest value.
const HEADROOM: f64 = 1.05;
/// Minimum of the highest value, so that the y axis is not empty.
const MIN_Y_RANGE: f64 = 1e-3;
/// Length of a line in the legend in pixels.
const LEGEND_LINE: i32 = 16;
/// Colour of a replica that is down.
const DOWN_COLOUR: RGBColor = RGBColor(190, 190, 190);
/// Load above which a replica is drawn in a darker colour.
const HIGH_LOAD: f64 = 1.5;

type BoxedError = Box<dyn Error + Send + Sync>;
type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Chart<'a> = ChartContext<'a, SVGBackend<'a>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// Returns the colour of a policy by its index; colours repeat after the seventh.
pub(super) fn policy_colour(index: usize) -> RGBColor {
    const COLOURS: [RGBColor; 7] = [
        RGBColor(200, 30, 30),
        RGBColor(130, 130, 130),
        RGBColor(220, 150, 30),
        RGBColor(120, 60, 160),
        RGBColor(30, 110, 200),
        RGBColor(20, 140, 90),
        RGBColor(20, 20, 20),
    ];
    COLOURS[index % COLOURS.len()]
}

impl Report {
    /// Draws all plots: one for each value over time, and a heat map of the replicas' loads for each policy.
    ///
    /// # Errors
    ///
    /// Returns [`ReportError::Plot`] if a plot can't be drawn.
    pub fn plots(&self) -> Result<Vec<Plot>, ReportError> {
        let window_plots = WINDOW_PLOTS.iter().map(|plot| {
            let draw = |area: &Area<'_>| self.draw_windows(area, plot.value);
            draw_plot(plot.name.to_owned(), plot.title.to_owned(), WINDOW_PLOT_HEIGHT, draw)
        });
        let maps = self.runs.iter().map(|run| {
            let title = format!("{}: each replica's load, a row each, most loaded at the top", run.policy);
            draw_plot(format!("servers-{}", run.policy), title, HEAT_MAP_HEIGHT, |area| {
                draw_heat_map(area, run)
            })
        });
        window_plots.chain(maps).collect()
    }

    /// Draws a value of each window over time: a line for each policy, and a vertical line for each fault.
    fn draw_windows(&self, area: &Area<'_>, value: fn(&Window) -> f64) -> Result<(), BoxedError> {
        let windows = || self.runs.iter().flat_map(|run| &run.windows);
        let end = windows().map(|window| window.at_s).fold(1.0, f64::max);
        let values = windows().map(value).filter(|value| value.is_finite());
        let max = values.fold(0.0, f64::max).max(MIN_Y_RANGE) * HEADROOM;
        let mut chart = build_chart(area, end, max)?;
        chart.configure_mesh().x_desc(TIME_LABEL).light_line_style(WHITE).draw()?;
        for fault in &self.faults {
            let line = [(fault.at_s, 0.0), (fault.at_s, max)];
            chart.draw_series(LineSeries::new(line, BLACK.mix(0.6)))?;
        }
        for (index, run) in self.runs.iter().enumerate() {
            let points = run.windows.iter().map(|window| (window.at_s, value(window)));
            let width = if index == 0 { 2 } else { 1 };
            let style = ShapeStyle::from(policy_colour(index)).stroke_width(width);
            let legend = move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LINE, y)], style);
            chart.draw_series(LineSeries::new(points, style))?.label(run.policy.as_str()).legend(legend);
        }
        let mut labels = chart.configure_series_labels();
        labels.position(SeriesLabelPosition::UpperLeft).background_style(WHITE.mix(0.8));
        labels.draw()?;
        Ok(())
    }
}

/// Creates a plot from a function that draws on an empty area.
fn draw_plot(
    name: String,
    title: String,
    height: u32,
    draw: impl FnOnce(&Area<'_>) -> Result<(), BoxedError>,
) -> Result<Plot, ReportError> {
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, (WIDTH, height)).into_drawing_area();
    let result = draw(&area).and_then(|()| Ok(area.present()?));
    drop(area);
    match result {
        Ok(()) => Ok(Plot { name, title, svg }),
        Err(source) => Err(ReportError::Plot { plot: name, source }),
    }
}

/// Creates a chart with axes from 0 to the given values.
fn build_chart<'a>(area: &Area<'a>, x_max: f64, y_max: f64) -> Result<Chart<'a>, BoxedError> {
    let mut builder = ChartBuilder::on(area);
    builder.margin(MARGIN).x_label_area_size(X_LABEL_SIZE).y_label_area_size(Y_LABEL_SIZE);
    Ok(builder.build_cartesian_2d(0.0..x_max, 0.0..y_max)?)
}

/// Draws the load of each replica over time: white for no load, red for a full batch, grey while down.
fn draw_heat_map(area: &Area<'_>, run: &RunSummary) -> Result<(), BoxedError> {
    let mut replicas: Vec<&ReplicaSummary> = run.replicas.iter().collect();
    replicas
        .sort_by(|left, right| left.load.total_cmp(&right.load).then_with(|| left.name.cmp(&right.name)));
    let seconds = replicas.iter().map(|replica| replica.loads.len()).max().unwrap_or(0).max(1);
    let mut chart = build_chart(area, seconds as f64, replicas.len() as f64)?;
    chart.configure_mesh().disable_mesh().x_desc(TIME_LABEL).draw()?;
    let cells = replicas.iter().enumerate().flat_map(|(row, replica)| {
        replica.loads.iter().enumerate().map(move |(second, load)| {
            let (x, y) = (second as f64, row as f64);
            Rectangle::new([(x, y), (x + 1.0, y + 1.0)], load_colour(*load).filled())
        })
    });
    chart.draw_series(cells)?;
    Ok(())
}

/// Returns the colour of a load; `None` for a replica that is down.
fn load_colour(load: Option<f64>) -> RGBColor {
    load.map_or(DOWN_COLOUR, |load| {
        let green_and_blue = (255.0 * (1.0 - load.clamp(0.0, 1.0))) as u8;
        RGBColor(if load > HIGH_LOAD { 120 } else { 255 }, green_and_blue, green_and_blue)
    })
}
