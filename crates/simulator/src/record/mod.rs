//! What a run is measured by: load over time, herds, waits, ends; as figures that can be written down.

mod figures;
mod server_history;
mod statistics;
mod tally;

use std::collections::BTreeMap;

use tulipridge::types::Nanos;

pub use self::figures::{Figures, Server, Stretch, Window};
use self::server_history::ServerHistory;
use self::statistics::{round, variation};
use self::tally::Tally;
use crate::experiment::Experiment;
use crate::time::{MILLI, SECOND, nanos};

/// Load is averaged over windows of this length.
pub const WINDOW: Nanos = 100 * MILLI;
/// Arrivals at one real server within this time make a herd.
pub const HERD: Nanos = 50 * MILLI;

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

/// Takes down what happens.
pub struct Record {
    warmup: Nanos,
    servers: Vec<ServerHistory>,
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
    #[must_use]
    pub fn new(x: &Experiment) -> Record {
        Record {
            warmup: nanos(x.warmup),
            servers: Vec::new(),
            window_at: 0,
            idle_at: 0,
            idle: 0,
            queueing: 0,
            both: 0,
            herd: 0,
            list_calls: 0,
            windows: Vec::new(),
            tallies: Tally::for_stretches(x),
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
        self.servers.push(ServerHistory {
            name: name.into(),
            kind: kind.into(),
            places,
            fresh,
            loads,
            ..ServerHistory::default()
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
        let alive: Vec<&ServerHistory> = self.servers.iter().filter(|s| s.alive).collect();
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
        self.at(arrived, |t| {
            t.kept_tokens += u64::from(kept);
            t.prompt_tokens += u64::from(prompt);
        });
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
            t.worth_earned += worth * earned;
            t.worth_asked += worth;
            if let Some(wait) = wait {
                t.waits.saturating_record(wait / 1000);
            }
        });
    }

    fn at(&mut self, arrived: Nanos, then: impl Fn(&mut Tally)) {
        self.tallies.iter_mut().filter(|t| t.covers(arrived)).for_each(then);
    }

    /// All figures.
    #[must_use]
    pub fn figures(mut self, policy: &str) -> Figures {
        self.list_waits.sort_unstable();
        let waits = &self.list_waits;
        let wait_ms = |at: usize| waits.get(at).map_or(0.0, |wait| *wait as f64 / MILLI as f64);
        let stretch = |tally: &Tally| tally.stretch(self.warmup, &self.windows, &self.servers);
        Figures {
            policy: policy.to_owned(),
            events: self.events,
            list_calls_failed: self.list_failed,
            list_wait_p50_ms: wait_ms(waits.len() / 2),
            list_wait_longest_ms: wait_ms(waits.len().saturating_sub(1)),
            without_list: self.without_list,
            cold_worst: round(self.cold_worst),
            turned_down: self.turned_down,
            stretches: self.tallies.iter().map(stretch).collect(),
            servers: self.servers.iter().map(|server| server.server(self.turned_down)).collect(),
            windows: self.windows,
        }
    }
}
