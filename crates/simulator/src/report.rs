//! What a run leaves behind: figures as JSON, and a page with plots; and two runs side by side.

use std::fmt::Write;
use std::thread;

use minijinja::{Environment, context};
use plotters::prelude::*;
use serde::{Deserialize, Serialize};

use crate::experiment::Experiment;
use crate::fleet;
use crate::record::{Figures, Stretch, Window};
use crate::time::{SECOND, nanos};

/// All that a run found, the same for the same experiment and seed to the byte.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Report {
    /// What the experiment is about.
    pub about: String,
    /// The seed.
    pub seed: u64,
    /// Gateways.
    pub gateways: u32,
    /// Real servers.
    pub replicas: u32,
    /// First tries a second.
    pub rate: f64,
    /// Faults: name, words, second.
    pub faults: Vec<(String, String, f64)>,
    /// The figures of each policy.
    pub runs: Vec<Figures>,
}

impl Report {
    /// Plays all policies of an experiment, each on a thread of its own; they share nothing.
    pub fn play(x: &Experiment) -> Result<Report, String> {
        let runs: Result<Vec<Figures>, String> = thread::scope(|scope| {
            let playing: Vec<_> =
                x.policies.iter().map(|policy| scope.spawn(|| fleet::play(x, *policy))).collect();
            let ended = |run: thread::ScopedJoinHandle<'_, Result<Figures, _>>| match run.join() {
                Ok(played) => played.map_err(|e: tulipridge::types::SettingsError| e.to_string()),
                Err(_) => Err("a policy's run broke down".to_owned()),
            };
            playing.into_iter().map(ended).collect()
        });
        let at = |f: &crate::experiment::Fault| nanos(f.at) as f64 / SECOND as f64;
        let fault = |(name, f): (&str, &crate::experiment::Fault)| {
            let part = f.share.map_or(String::new(), |share| format!("{:.0}% of ", share * 100.0));
            (name.to_owned(), part + f.kind.words(), at(f))
        };
        Ok(Report {
            about: x.about.clone(),
            seed: x.seed,
            gateways: x.gateways.count,
            replicas: x.replicas.count,
            rate: x.load.rate,
            faults: x.faults_in_order().into_iter().map(fault).collect(),
            runs: runs?,
        })
    }

    /// The JSON form.
    pub fn json(&self) -> Result<String, String> {
        serde_json::to_string_pretty(self).map(|text| text + "\n").map_err(|e| e.to_string())
    }

    /// The page, with its plots inside.
    pub fn html(&self) -> Result<String, String> {
        let plots: Vec<(String, String)> =
            self.plots()?.into_iter().map(|(_, title, plot)| (title, plot)).collect();
        let names: Vec<&str> = self.runs.first().map_or(Vec::new(), |r| names(&r.stretches));
        let tables: Vec<(String, Vec<Row>)> =
            names.into_iter().map(|name| (name.to_owned(), self.rows(name))).collect();
        let servers: Vec<(String, Vec<Row>)> =
            self.runs.iter().map(|run| (run.policy.clone(), server_rows(run))).collect();
        let server_heads = SERVER_COLUMNS;
        let heads: Vec<&str> = COLUMNS.iter().map(|(head, _)| *head).collect();
        let colours: Vec<(String, String)> =
            self.runs.iter().enumerate().map(|(n, r)| (r.policy.clone(), hex(colour(n)))).collect();
        let mut pages = Environment::new();
        pages.add_template("page.html", include_str!("page.html")).map_err(|e| e.to_string())?;
        let page = pages.get_template("page.html").map_err(|e| e.to_string())?;
        let (about, gateways, replicas) = (&self.about, self.gateways, self.replicas);
        let (rate, seed, faults) = (self.rate, self.seed, self.faults.clone());
        page.render(
            context! { about, gateways, replicas, rate, seed, faults, plots, tables, heads, colours, servers, server_heads },
        )
        .map_err(|e| e.to_string())
    }

    /// Each plot: a name for its file, its title, and the SVG.
    pub fn plots(&self) -> Result<Vec<(String, String, String)>, String> {
        let lines =
            PLOTS.into_iter().map(|(name, title, of)| Ok((name.into(), title.into(), self.plot(of)?)));
        let maps = self.runs.iter().map(|run| {
            let title =
                format!("{}: each real server's load, a row each, most loaded at the top", run.policy);
            Ok((format!("servers-{}", run.policy), title, self.map(run)?))
        });
        lines.chain(maps).collect()
    }

    /// The load of each real server over time: white is none, red is a full batch and more; grey is not there.
    fn map(&self, run: &Figures) -> Result<String, String> {
        let mut servers: Vec<_> = run.servers.iter().collect();
        servers.sort_by(|a, b| a.load.total_cmp(&b.load).then_with(|| a.name.cmp(&b.name)));
        let seconds = servers.iter().map(|s| s.loads.len()).max().unwrap_or(0).max(1);
        let mut svg = String::new();
        {
            let area = SVGBackend::with_string(&mut svg, (940, 340)).into_drawing_area();
            let mut chart = ChartBuilder::on(&area)
                .margin(8)
                .x_label_area_size(28)
                .y_label_area_size(44)
                .build_cartesian_2d(0.0..seconds as f64, 0.0..servers.len() as f64)
                .map_err(|e| e.to_string())?;
            chart
                .configure_mesh()
                .disable_mesh()
                .x_desc("seconds after the warm-up")
                .draw()
                .map_err(|e| e.to_string())?;
            let cells = servers.iter().enumerate().flat_map(|(row, server)| {
                server.loads.iter().enumerate().map(move |(second, load)| {
                    let colour = load.map_or(RGBColor(190, 190, 190), |load| {
                        let cool = (255.0 * (1.0 - load.clamp(0.0, 1.0))) as u8;
                        RGBColor(if load > 1.5 { 120 } else { 255 }, cool, cool)
                    });
                    let (x, y) = (second as f64, row as f64);
                    Rectangle::new([(x, y), (x + 1.0, y + 1.0)], colour.filled())
                })
            });
            chart.draw_series(cells).map_err(|e| e.to_string())?;
            area.present().map_err(|e| e.to_string())?;
        }
        Ok(svg)
    }

    fn rows(&self, name: &str) -> Vec<Row> {
        let row = |run: &Figures| {
            let stretch = run.stretches.iter().find(|s| s.name == name)?;
            Some((run.policy.clone(), COLUMNS.iter().map(|(_, of)| shown(of(stretch))).collect()))
        };
        self.runs.iter().filter_map(row).collect()
    }

    /// One line for each policy over time, with the faults as upright lines.
    fn plot(&self, of: fn(&Window) -> f64) -> Result<String, String> {
        let mut svg = String::new();
        let windows = || self.runs.iter().flat_map(|r| &r.windows);
        let end = windows().map(|w| w.at_s).fold(1.0, f64::max);
        let most = windows().map(of).filter(|v| v.is_finite()).fold(0.0, f64::max).max(1e-3) * 1.05;
        {
            let area = SVGBackend::with_string(&mut svg, (940, 300)).into_drawing_area();
            let mut chart = ChartBuilder::on(&area)
                .margin(8)
                .x_label_area_size(28)
                .y_label_area_size(44)
                .build_cartesian_2d(0.0..end, 0.0..most)
                .map_err(|e| e.to_string())?;
            chart
                .configure_mesh()
                .x_desc("seconds after the warm-up")
                .light_line_style(WHITE)
                .draw()
                .map_err(|e| e.to_string())?;
            for (_, _, at) in &self.faults {
                let line = [(*at, 0.0), (*at, most)];
                chart.draw_series(LineSeries::new(line, BLACK.mix(0.6))).map_err(|e| e.to_string())?;
            }
            for (n, run) in self.runs.iter().enumerate() {
                let points = run.windows.iter().map(|w| (w.at_s, of(w)));
                let style = ShapeStyle::from(colour(n)).stroke_width(if n == 0 { 2 } else { 1 });
                let line = chart.draw_series(LineSeries::new(points, style)).map_err(|e| e.to_string())?;
                let key = move |(x, y)| PathElement::new([(x, y), (x + 16, y)], style);
                line.label(run.policy.as_str()).legend(key);
            }
            let mut keys = chart.configure_series_labels();
            keys.position(SeriesLabelPosition::UpperLeft).background_style(WHITE.mix(0.8));
            keys.draw().map_err(|e| e.to_string())?;
            area.present().map_err(|e| e.to_string())?;
        }
        Ok(svg)
    }

    /// The figures of all stretches as a table of plain text.
    pub fn text(&self) -> String {
        let mut out = String::new();
        let names: Vec<&str> = self.runs.first().map_or(Vec::new(), |r| names(&r.stretches));
        let heads = COLUMNS.map(|(head, _)| head);
        for name in names {
            let _ = writeln!(out, "{name}");
            table(&mut out, &heads, self.rows(name));
        }
        for run in self.runs.iter().filter(|run| run.servers.len() <= FEW) {
            let _ = writeln!(out, "{}: {} tries turned down", run.policy, run.turned_down);
            table(&mut out, &SERVER_COLUMNS, server_rows(run));
        }
        for run in &self.runs {
            let _ = writeln!(
                out,
                "{}: {} events; list calls: {} at most in a second, {} failed, answered after {:.0} ms (median), {:.0} ms \
                 (longest), {} gateways without; cold at most {:.2} of what fells one",
                run.policy,
                run.events,
                run.stretches.iter().map(|s| s.list_calls_peak).max().unwrap_or(0),
                run.list_calls_failed,
                run.list_wait_p50_ms,
                run.list_wait_longest_ms,
                run.without_list,
                run.cold_worst
            );
        }
        out
    }

    /// This report beside an earlier one: both figures, for the policies that both have.
    pub fn beside(&self, before: &Report) -> Result<String, String> {
        if (&self.about, self.seed) != (&before.about, before.seed) {
            return Err(format!(
                "not the same experiment: '{}' with seed {}, and '{}' with seed {}",
                before.about, before.seed, self.about, self.seed
            ));
        }
        let mut out = String::new();
        let names: Vec<&str> = self.runs.first().map_or(Vec::new(), |r| names(&r.stretches));
        for name in names {
            let _ = writeln!(out, "{name}");
            let mut rows = Vec::new();
            for (policy, now) in self.rows(name) {
                let Some((_, then)) = before.rows(name).into_iter().find(|(p, _)| *p == policy) else {
                    continue;
                };
                rows.push((format!("{policy}, before"), then));
                rows.push((format!("{policy}, now"), now));
            }
            table(&mut out, &COLUMNS.map(|(head, _)| head), rows);
        }
        Ok(out)
    }
}

/// A plot's file, its title, and what it shows of each window.
type Plot = (&'static str, &'static str, fn(&Window) -> f64);

const PLOTS: [Plot; 6] = [
    ("max-over-mean", "Most loaded over the mean, windows of 100 ms", |w| w.max_over_mean),
    ("herd", "Most requests at one real server within 50 ms", |w| w.herd as f64),
    ("idle-while-queued", "Share of the time with one idle while another queues", |w| w.idle_while_queued),
    ("fresh", "Load of real servers that came in place of others, over the mean", |w| w.fresh_over_mean),
    ("in-hand", "Requests in hand, all real servers", |w| w.in_hand),
    ("list-calls", "Calls that reach the list service, in 100 ms", |w| w.list_calls as f64),
];

type Row = (String, Vec<String>);

type Column = (&'static str, fn(&Stretch) -> f64);

/// So many real servers are listed each by itself in the text.
const FEW: usize = 20;

const SERVER_COLUMNS: [&str; 5] = ["load", "attempts", "errors", "share", "had room"];

const COLUMNS: [Column; 23] = [
    ("first tries", |s| s.first_tries as f64),
    ("in time", |s| s.in_time),
    ("late", |s| s.late),
    ("refused", |s| s.refused),
    ("failed", |s| s.failed),
    ("broken", |s| s.broken),
    ("worth", |s| s.worth),
    ("tries", |s| s.tries),
    ("attempts", |s| s.attempts),
    ("errors", |s| s.errors),
    ("spent", |s| s.spent),
    ("room", |s| s.refused_with_room),
    ("kept", |s| s.kept),
    ("p50 ms", |s| s.wait_p50_ms),
    ("p99 ms", |s| s.wait_p99_ms),
    ("in hand", |s| s.in_hand),
    ("max/mean", |s| s.max_over_mean_p50),
    ("p95", |s| s.max_over_mean_p95),
    ("cv", |s| s.cv),
    ("cv lasting", |s| s.cv_lasting),
    ("idle+queue", |s| s.idle_while_queued),
    ("fresh", |s| s.fresh_over_mean),
    ("herd", |s| s.herd as f64),
];

fn names(stretches: &[Stretch]) -> Vec<&str> {
    stretches.iter().map(|s| s.name.as_str()).collect()
}

/// Each real server of a policy's run.
fn server_rows(run: &Figures) -> Vec<Row> {
    let row = |s: &crate::record::Server| -> Row {
        let errors = s.errors as f64 / s.attempts.max(1) as f64;
        let cells = [s.load, s.attempts as f64, s.errors as f64, errors, s.had_room].map(shown);
        (format!("{} ({})", s.name, s.kind), cells.into())
    };
    run.servers.iter().map(row).collect()
}

fn table(out: &mut String, heads: &[&str], rows: Vec<Row>) {
    let _ = write!(out, "  {:<24}", "");
    for head in heads {
        let _ = write!(out, " {head:>11}");
    }
    out.push('\n');
    for (policy, cells) in rows {
        let _ = write!(out, "  {policy:<24}");
        for cell in cells {
            let _ = write!(out, " {cell:>11}");
        }
        out.push('\n');
    }
}

/// As many places as a figure of its size bears.
fn shown(figure: f64) -> String {
    match figure {
        f if f.fract() == 0.0 => format!("{f:.0}"),
        f if f >= 100.0 => format!("{f:.0}"),
        f if f >= 10.0 => format!("{f:.1}"),
        f => format!("{f:.3}"),
    }
}

fn colour(n: usize) -> RGBColor {
    const ALL: [RGBColor; 7] = [
        RGBColor(200, 30, 30),
        RGBColor(130, 130, 130),
        RGBColor(220, 150, 30),
        RGBColor(120, 60, 160),
        RGBColor(30, 110, 200),
        RGBColor(20, 140, 90),
        RGBColor(20, 20, 20),
    ];
    ALL[n % ALL.len()]
}

fn hex(RGBColor(r, g, b): RGBColor) -> String {
    format!("#{r:02x}{g:02x}{b:02x}")
}
