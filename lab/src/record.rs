//! What a run is measured by: load over time, herds, waits, ends; as figures that can be written down.

use std::collections::{BTreeMap, VecDeque};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use tulipridge::types::Nanos;

use crate::experiment::Experiment;
use crate::time::{MILLI, SECOND, nanos};

/// Load is averaged over windows of this length.
pub const WINDOW: Nanos = 100 * MILLI;
/// Arrivals at one real server within this time make a herd.
pub const HERD: Nanos = 50 * MILLI;
/// What follows a fault is looked at for this long.
const AFTER: Nanos = 10 * SECOND;

/// How a client's request came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// First token within the aim, and all of the answer.
    InTime,
    /// All of the answer, but a late first token.
    Late,
    /// Turned away at the last try.
    Refused,
    /// Failed at the last try, or given up.
    Failed,
    /// Its stream broke after it had begun.
    Broken,
}

/// One window of [`WINDOW`].
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Window {
    /// Its start in seconds, the warm-up's end being 0.
    pub at_s: f64,
    /// Requests in hand over all real servers, on average.
    pub in_hand: f64,
    /// Requests in hand over places in the batch: that of the most loaded real server, beside the fleet's.
    pub max_over_mean: f64,
    /// Standard deviation of these loads over the fleet's.
    pub cv: f64,
    /// Share of the time in which one real server is idle while another has a queue.
    pub idle_while_queued: f64,
    /// Most requests that reached one real server within [`HERD`], ending in this window.
    pub herd: usize,
    /// Load of the real servers that came in place of others, beside the fleet's; 0 while there are none.
    pub fresh_over_mean: f64,
    /// Most connections that one real server was asked for in this window.
    pub connections_most: usize,
    /// Calls that reached the list service.
    pub list_calls: usize,
}

/// Figures of a stretch of the run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Stretch {
    /// What it is.
    pub name: String,
    /// From, in seconds after the warm-up.
    pub from_s: f64,
    /// To.
    pub to_s: f64,
    /// Requests that clients began in it.
    pub first_tries: u64,
    /// Shares of those that came to an end.
    pub in_time: f64,
    /// Served, late.
    pub late: f64,
    /// Refused at the last try.
    pub refused: f64,
    /// Failed or given up.
    pub failed: f64,
    /// Lost after the first token.
    pub broken: f64,
    /// Worth earned over the worth asked for.
    pub worth: f64,
    /// Clients' tries for each first try.
    pub tries: f64,
    /// Gateways' attempts for each first try.
    pub attempts: f64,
    /// Share of the attempts that a real server answered with an error.
    #[serde(default)]
    pub errors: f64,
    /// Clients' tries that ran out of attempts, for each first try.
    #[serde(default)]
    pub spent: f64,
    /// Clients' tries that were turned down while some sound, warm real server had no queue, for each first try.
    #[serde(default)]
    pub refused_with_room: f64,
    /// Prompt tokens found kept, over all prompt tokens of answers that were served.
    pub kept: f64,
    /// From the client's first try to its first token, median, in ms.
    pub wait_p50_ms: f64,
    /// The same, 99th percentile.
    pub wait_p99_ms: f64,
    /// Requests in hand on average.
    pub in_hand: f64,
    /// Most over mean of the loads, median over the windows.
    pub max_over_mean_p50: f64,
    /// The same, 95th percentile.
    pub max_over_mean_p95: f64,
    /// The worst window.
    pub max_over_mean_most: f64,
    /// Coefficient of variation, mean over the windows.
    pub cv: f64,
    /// The same of each real server's average over the stretch: what lasts, without what chance brings and takes.
    pub cv_lasting: f64,
    /// Share of the time in which one real server is idle while another has a queue.
    pub idle_while_queued: f64,
    /// Load of the real servers that came in place of others, beside the fleet's; mean over the windows.
    pub fresh_over_mean: f64,
    /// Most requests that reached one real server within 50 ms.
    pub herd: usize,
    /// Most connections that one real server was asked for in 100 ms.
    pub connections_most: usize,
    /// Most calls that reached the list service within any second.
    pub list_calls_peak: usize,
    /// Calls that reached the list service.
    pub list_calls: usize,
}

/// One real server over the whole run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Server {
    /// Its name.
    pub name: String,
    /// Its kind.
    pub kind: String,
    /// Requests in hand over places in the batch, on average after the warm-up.
    pub load: f64,
    /// Requests that reached it.
    pub arrivals: u64,
    /// Gateways' attempts at it, those that did not reach it too.
    #[serde(default)]
    pub attempts: u64,
    /// Those of them that it answered with an error.
    #[serde(default)]
    pub errors: u64,
    /// Share of the clients' tries turned down, wherever they were tried, at whose moment it was sound and warm and
    /// had no queue.
    #[serde(default)]
    pub had_room: f64,
    /// The load in each second after the warm-up; none while it was not there. Earlier reports don't have it.
    #[serde(default)]
    pub loads: Vec<Option<f64>>,
}

/// The figures of a run of one policy.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Figures {
    /// The policy.
    pub policy: String,
    /// Events that the gateways handled.
    pub events: u64,
    /// Calls for the list that failed.
    pub list_calls_failed: u64,
    /// From a gateway's start to the list, median in ms, over the starts that came to it.
    pub list_wait_p50_ms: f64,
    /// The same, the longest.
    pub list_wait_longest_ms: f64,
    /// Gateways that are there at the end and never had an answer of the list service.
    pub without_list: usize,
    /// Most work sent to a cold real server within the site's span, over what makes it fall.
    pub cold_worst: f64,
    /// Clients' tries that were turned down, after the warm-up.
    #[serde(default)]
    pub turned_down: u64,
    /// Stretches: before the faults, in those that last, after each, and all.
    pub stretches: Vec<Stretch>,
    /// The real servers.
    pub servers: Vec<Server>,
    /// All windows.
    pub windows: Vec<Window>,
}

#[derive(Default)]
struct Seen {
    name: String,
    kind: String,
    arrivals: u64,
    attempts: u64,
    errors: u64,
    had_room: u64,
    /// Its load in each window after the warm-up; none while it is not there.
    loads: Vec<Option<f64>>,
    places: f64,
    fresh: bool,
    alive: bool,
    in_hand: usize,
    queued: usize,
    since: Nanos,
    load: f64,
    recent: VecDeque<Nanos>,
    connections: usize,
}

struct Tally {
    name: String,
    from: Nanos,
    to: Nanos,
    first_tries: u64,
    ends: [u64; 5],
    worth: (f64, f64),
    tries: u64,
    attempts: u64,
    errors: u64,
    spent: u64,
    refused_with_room: u64,
    kept: (u64, u64),
    waits: Histogram<u64>,
}

/// Takes down what happens.
pub struct Record {
    warmup: Nanos,
    servers: Vec<Seen>,
    window_at: Nanos,
    idle_at: Nanos,
    idle: usize,
    queueing: usize,
    both: Nanos,
    herd: usize,
    list_calls: usize,
    windows: Vec<Window>,
    tallies: Vec<Tally>,
    late_worth: BTreeMap<usize, (f64, f64)>,
    turned_down: u64,
    /// Events that the gateways handled.
    pub events: u64,
    /// Calls for the list that failed.
    pub list_failed: u64,
    /// Times from a gateway's start to its list.
    pub list_waits: Vec<Nanos>,
    /// Gateways that are there at the end and never had the list.
    pub without_list: usize,
    /// Most work sent to a cold real server, over what makes it fall.
    pub cold_worst: f64,
}

impl Record {
    /// One that has seen nothing.
    pub fn new(x: &Experiment) -> Record {
        let warmup = nanos(x.warmup);
        let end = x.end();
        let mut spans = Vec::new();
        let faults = x.faults_in_order();
        let starts: Vec<Nanos> = faults.iter().map(|(_, f)| warmup + nanos(f.at)).collect();
        if let Some(first) = starts.first() {
            spans.push(("before".to_owned(), warmup, *first));
        }
        for (n, (name, fault)) in faults.iter().enumerate() {
            if fault.kind.lasts() {
                spans.push((format!("in {name}"), starts[n], (starts[n] + nanos(fault.back)).min(end)));
            }
            // What restarts is looked at from where it is back, not while it is gone.
            let from = starts[n] + nanos(fault.back);
            spans.push((format!("after {name}"), from, (from + AFTER).min(end)));
        }
        spans.push(("all".to_owned(), warmup, end));
        spans.retain(|(_, from, to)| from < to);
        let tally = |(name, from, to)| Tally {
            name,
            from,
            to,
            first_tries: 0,
            ends: [0; 5],
            worth: (0.0, 0.0),
            tries: 0,
            attempts: 0,
            errors: 0,
            spent: 0,
            refused_with_room: 0,
            kept: (0, 0),
            // Up to an hour in microseconds, with three figures: bounds that the library takes.
            waits: Histogram::new_with_max(3_600_000_000, 3).expect("bounds that are allowed"),
        };
        Record {
            warmup,
            servers: Vec::new(),
            window_at: 0,
            idle_at: 0,
            idle: 0,
            queueing: 0,
            both: 0,
            herd: 0,
            list_calls: 0,
            windows: Vec::new(),
            tallies: spans.into_iter().map(tally).collect(),
            late_worth: x.classes.values().enumerate().map(|(n, c)| (n, (c.worth, c.late_worth))).collect(),
            turned_down: 0,
            events: 0,
            list_failed: 0,
            list_waits: Vec::new(),
            without_list: 0,
            cold_worst: 0.0,
        }
    }

    /// A real server is there, with so many places in its batch.
    pub fn server(&mut self, name: &str, kind: &str, places: f64, fresh: bool) {
        let loads = vec![None; self.windows.len()];
        self.servers.push(Seen {
            name: name.into(),
            kind: kind.into(),
            places,
            fresh,
            loads,
            ..Seen::default()
        });
    }

    /// The state of a real server from now on.
    pub fn state(&mut self, now: Nanos, server: usize, alive: bool, in_hand: usize, queued: usize) {
        let seen = &mut self.servers[server];
        seen.load += seen.in_hand as f64 * now.saturating_sub(seen.since) as f64;
        seen.since = now;
        if self.idle > 0 && self.queueing > 0 {
            self.both += now - self.idle_at;
        }
        self.idle_at = now;
        let was = (seen.alive && seen.in_hand == 0, seen.alive && seen.queued > 0);
        let is = (alive && in_hand == 0, alive && queued > 0);
        self.idle = self.idle + usize::from(is.0) - usize::from(was.0);
        self.queueing = self.queueing + usize::from(is.1) - usize::from(was.1);
        (seen.alive, seen.in_hand, seen.queued) = (alive, in_hand, queued);
    }

    /// A request has reached a real server.
    pub fn arrival(&mut self, now: Nanos, server: usize) {
        let seen = &mut self.servers[server];
        seen.arrivals += u64::from(now >= self.warmup);
        seen.recent.push_back(now);
        while seen.recent.front().is_some_and(|at| at + HERD <= now) {
            seen.recent.pop_front();
        }
        self.herd = self.herd.max(seen.recent.len());
    }

    /// A real server is asked for a new connection.
    pub fn connection(&mut self, server: usize) {
        self.servers[server].connections += 1;
    }

    /// A call has reached the list service.
    pub fn list_call(&mut self) {
        self.list_calls += 1;
    }

    /// The window that ends now.
    pub fn window(&mut self, now: Nanos) {
        for n in 0..self.servers.len() {
            let seen = &self.servers[n];
            self.state(now, n, seen.alive, seen.in_hand, seen.queued);
        }
        let span = now.saturating_sub(self.window_at).max(1) as f64;
        let alive: Vec<&Seen> = self.servers.iter().filter(|s| s.alive).collect();
        let places: f64 = alive.iter().map(|s| s.places).sum();
        let in_hand = alive.iter().map(|s| s.load).sum::<f64>() / span;
        let loads: Vec<f64> = alive.iter().map(|s| s.load / span / s.places).collect();
        let mean = in_hand / places.max(f64::MIN_POSITIVE);
        let over = |most: f64, mean: f64| if mean > 0.0 { most / mean } else { 0.0 };
        let fresh =
            alive.iter().filter(|s| s.fresh).fold((0.0, 0.0), |(l, p), s| (l + s.load, p + s.places));
        let window = Window {
            at_s: (self.window_at as f64 - self.warmup as f64) / SECOND as f64,
            in_hand,
            max_over_mean: over(loads.iter().copied().fold(0.0, f64::max), mean),
            cv: variation(&loads),
            idle_while_queued: self.both as f64 / span,
            herd: self.herd,
            fresh_over_mean: over(fresh.0 / span / f64::max(fresh.1, 1.0), mean),
            connections_most: self.servers.iter().map(|s| s.connections).max().unwrap_or(0),
            list_calls: self.list_calls,
        };
        let counts = self.window_at >= self.warmup;
        if counts {
            self.windows.push(window);
        }
        for seen in &mut self.servers {
            if counts {
                seen.loads.push(seen.alive.then_some(seen.load / span / seen.places));
            }
            (seen.load, seen.connections) = (0.0, 0);
        }
        (self.window_at, self.both, self.herd, self.list_calls) = (now, 0, 0, 0);
    }

    /// A client's request that arrived at a time.
    pub fn first_try(&mut self, arrived: Nanos) {
        self.at(arrived, |t| t.first_tries += 1);
    }

    /// A client's try, its first included.
    pub fn client_try(&mut self, arrived: Nanos) {
        self.at(arrived, |t| t.tries += 1);
    }

    /// A gateway's attempt for it at a real server.
    pub fn attempt(&mut self, now: Nanos, arrived: Nanos, server: usize) {
        self.servers[server].attempts += u64::from(now >= self.warmup);
        self.at(arrived, |t| t.attempts += 1);
    }

    /// The real server answered the attempt with an error.
    pub fn error(&mut self, now: Nanos, arrived: Nanos, server: usize) {
        self.servers[server].errors += u64::from(now >= self.warmup);
        self.at(arrived, |t| t.errors += 1);
    }

    /// A client's try came to nothing with its last attempt that was allowed.
    pub fn spent(&mut self, arrived: Nanos) {
        self.at(arrived, |t| t.spent += 1);
    }

    /// A client's try was turned down, while these real servers had room.
    pub fn turned_down(&mut self, now: Nanos, arrived: Nanos, room: impl Iterator<Item = usize>) {
        let mut some = false;
        for server in room {
            some = true;
            self.servers[server].had_room += u64::from(now >= self.warmup);
        }
        self.turned_down += u64::from(now >= self.warmup);
        self.at(arrived, |t| t.refused_with_room += u64::from(some));
    }

    /// It was served, with so many tokens of the prompt found kept.
    pub fn served(&mut self, arrived: Nanos, kept: u32, prompt: u32) {
        self.at(arrived, |t| t.kept = (t.kept.0 + u64::from(kept), t.kept.1 + u64::from(prompt)));
    }

    /// It came to its end; `wait` is the time to its first token, if one came.
    pub fn end(&mut self, arrived: Nanos, class: usize, end: End, wait: Option<Nanos>) {
        let (worth, late) = self.late_worth.get(&class).copied().unwrap_or((1.0, 0.0));
        self.at(arrived, |t| {
            t.ends[end as usize] += 1;
            let earned = match end {
                End::InTime => 1.0,
                End::Late => late,
                End::Refused | End::Failed | End::Broken => 0.0,
            };
            t.worth = (t.worth.0 + worth * earned, t.worth.1 + worth);
            if let Some(wait) = wait {
                t.waits.saturating_record(wait / 1000);
            }
        });
    }

    fn at(&mut self, arrived: Nanos, then: impl Fn(&mut Tally)) {
        self.tallies.iter_mut().filter(|t| (t.from..t.to).contains(&arrived)).for_each(then);
    }

    /// All figures.
    pub fn figures(mut self, policy: &str) -> Figures {
        self.list_waits.sort_unstable();
        let waits = &self.list_waits;
        let wait_ms = |at: usize| waits.get(at).map_or(0.0, |wait| *wait as f64 / MILLI as f64);
        let (list_wait_p50_ms, list_wait_longest_ms) =
            (wait_ms(waits.len() / 2), wait_ms(waits.len().saturating_sub(1)));
        let warmup = self.warmup;
        let second = |at: Nanos| (at as f64 - warmup as f64) / SECOND as f64;
        let stretch = |t: &Tally| {
            let (from_s, to_s) = (second(t.from), second(t.to));
            let inside = |w: &&Window| w.at_s >= from_s - 1e-9 && w.at_s < to_s - 1e-9;
            let windows: Vec<&Window> = self.windows.iter().filter(inside).collect();
            let first = self.windows.iter().take_while(|w| !inside(w)).count();
            let lasting: Vec<f64> = self
                .servers
                .iter()
                .filter_map(|s| average(s.loads.iter().skip(first).take(windows.len()).flatten()))
                .collect();
            let mean = |of: fn(&Window) -> f64| {
                windows.iter().map(|w| of(w)).sum::<f64>() / windows.len().max(1) as f64
            };
            let mut over: Vec<f64> = windows.iter().map(|w| w.max_over_mean).collect();
            over.sort_by(f64::total_cmp);
            let quantile = |q: f64| {
                let at = ((over.len() as f64 * q).ceil() as usize).clamp(1, over.len().max(1)) - 1;
                over.get(at).copied().unwrap_or(0.0)
            };
            let seconds = windows.windows(((SECOND / WINDOW) as usize).min(windows.len()).max(1));
            let calls = |c: &[&Window]| c.iter().map(|w| w.list_calls).sum::<usize>();
            let ended = t.ends.iter().sum::<u64>().max(1) as f64;
            let share = |end: End| round(t.ends[end as usize] as f64 / ended);
            let each = |count: u64| round(count as f64 / t.first_tries.max(1) as f64);
            Stretch {
                name: t.name.clone(),
                from_s,
                to_s,
                first_tries: t.first_tries,
                in_time: share(End::InTime),
                late: share(End::Late),
                refused: share(End::Refused),
                failed: share(End::Failed),
                broken: share(End::Broken),
                worth: round(t.worth.0 / t.worth.1.max(f64::MIN_POSITIVE)),
                tries: each(t.tries),
                attempts: each(t.attempts),
                errors: round(t.errors as f64 / t.attempts.max(1) as f64),
                spent: each(t.spent),
                refused_with_room: each(t.refused_with_room),
                kept: round(t.kept.0 as f64 / t.kept.1.max(1) as f64),
                wait_p50_ms: t.waits.value_at_quantile(0.5) as f64 / 1000.0,
                wait_p99_ms: t.waits.value_at_quantile(0.99) as f64 / 1000.0,
                in_hand: round(mean(|w| w.in_hand)),
                max_over_mean_p50: round(quantile(0.5)),
                max_over_mean_p95: round(quantile(0.95)),
                max_over_mean_most: round(quantile(1.0)),
                cv: round(mean(|w| w.cv)),
                cv_lasting: round(variation(&lasting)),
                idle_while_queued: round(mean(|w| w.idle_while_queued)),
                fresh_over_mean: round(mean(|w| w.fresh_over_mean)),
                herd: windows.iter().map(|w| w.herd).max().unwrap_or(0),
                connections_most: windows.iter().map(|w| w.connections_most).max().unwrap_or(0),
                list_calls_peak: seconds.map(calls).max().unwrap_or(0),
                list_calls: windows.iter().map(|w| w.list_calls).sum(),
            }
        };
        let stretches = self.tallies.iter().map(stretch).collect();
        let server = |s: &Seen| Server {
            name: s.name.clone(),
            kind: s.kind.clone(),
            load: round(average(s.loads.iter().flatten()).unwrap_or(0.0)),
            arrivals: s.arrivals,
            attempts: s.attempts,
            errors: s.errors,
            had_room: round(s.had_room as f64 / self.turned_down.max(1) as f64),
            loads: s
                .loads
                .chunks((SECOND / WINDOW) as usize)
                .map(|c| average(c.iter().flatten()).map(round))
                .collect(),
        };
        let servers = self.servers.iter().map(server).collect();
        Figures {
            policy: policy.to_owned(),
            events: self.events,
            list_calls_failed: self.list_failed,
            list_wait_p50_ms,
            list_wait_longest_ms,
            without_list: self.without_list,
            cold_worst: round(self.cold_worst),
            turned_down: self.turned_down,
            stretches,
            servers,
            windows: self.windows,
        }
    }
}

fn average<'a>(all: impl Iterator<Item = &'a f64>) -> Option<f64> {
    let (sum, count) = all.fold((0.0, 0), |(sum, count), one| (sum + one, count + 1));
    (count > 0).then(|| sum / f64::from(count))
}

/// Coefficient of variation; 0 where there is nothing.
fn variation(all: &[f64]) -> f64 {
    let Some(mean) = average(all.iter()).filter(|m| *m > 0.0) else { return 0.0 };
    let variance = all.iter().map(|one| (one - mean).powi(2)).sum::<f64>() / all.len() as f64;
    variance.sqrt() / mean
}

/// Four places are more than the figures bear.
fn round(figure: f64) -> f64 {
    (figure * 10_000.0).round() / 10_000.0
}
