//! An emulated real server: batched steps, a queue, kept prompts, a cold start that warms.
//!
//! It has no clock: its fleet says what time it is, and wakes it when a step has come to its end.

mod job;
mod prompt_cache;

use std::collections::VecDeque;

use tulipridge::types::Nanos;

pub use self::job::{Job, JobId, StepEvent};
pub use self::prompt_cache::{PromptCache, PromptKey};
use crate::experiment::{Kind, Replicas};
use crate::time::{SECOND, nanos};

struct Running {
    job: Job,
    kept: u32,
    unread: u32,
    left: u32,
}

/// An emulated real server.
pub struct Replica {
    /// Its name in the list.
    pub name: String,
    /// Its zone.
    pub zone: u16,
    /// Its kind, by number.
    pub kind: u16,
    /// Units times speed.
    pub size: f64,
    /// It is there.
    pub alive: bool,
    /// Its machine has vanished without a word.
    pub silent: bool,
    /// It takes requests and does nothing with them.
    pub hangs: bool,
    /// The part of its requests that it answers with an error, at once.
    pub errors: f64,
    /// How many times as long everything takes.
    pub slowness: f64,
    /// Its last start; `None` is long ago.
    pub started: Option<Nanos>,
    /// Counts its starts, so that a step of an earlier life is known for what it is.
    pub life: u32,
    /// A step is under way.
    pub stepping: bool,
    speed: f64,
    batch: usize,
    memory: u64,
    step: Nanos,
    read: f64,
    queue: VecDeque<Job>,
    running: Vec<Running>,
    held: u64,
    cache: PromptCache,
    reading: Option<(usize, u32)>,
    /// Time with something in the batch since the last refresh of the reports, for `util`.
    busy: Nanos,
    busy_since: Nanos,
}

impl Replica {
    /// One that has been warm for long; its speed is `skew` times its kind's.
    #[must_use]
    pub fn new(name: String, zone: u16, kind: u16, of: &Kind, skew: f64) -> Replica {
        Replica {
            name,
            zone,
            kind,
            size: of.units * of.speed,
            alive: true,
            silent: false,
            hangs: false,
            errors: 0.0,
            slowness: 1.0,
            started: None,
            life: 0,
            stepping: false,
            speed: of.speed * skew,
            batch: of.batch,
            memory: of.memory,
            step: nanos(of.step),
            read: of.read,
            queue: VecDeque::new(),
            running: Vec::new(),
            held: 0,
            cache: PromptCache::default(),
            reading: None,
            busy: 0,
            busy_since: 0,
        }
    }

    /// Requests in hand.
    #[must_use]
    pub fn in_hand(&self) -> usize {
        self.queue.len() + self.running.len()
    }

    /// Requests that wait for a place in the batch.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Places in its batch.
    #[must_use]
    pub fn places(&self) -> usize {
        self.batch
    }

    /// Share of the batch that is taken.
    #[must_use]
    pub fn filled(&self) -> f64 {
        self.running.len() as f64 / self.batch as f64
    }

    /// Dies: everything that it held is gone.
    pub fn die(&mut self) -> Vec<JobId> {
        self.alive = false;
        self.silent = false;
        self.hangs = false;
        self.errors = 0.0;
        self.stepping = false;
        self.life += 1;
        self.reading = None;
        self.held = 0;
        self.cache = PromptCache::default();
        let waiting = self.queue.drain(..).map(|j| j.id);
        waiting.chain(self.running.drain(..).map(|r| r.job.id)).collect()
    }

    /// Comes up cold.
    pub fn start(&mut self, now: Nanos) {
        self.alive = true;
        self.silent = false;
        self.started = Some(now);
    }

    /// Its share of its capacity.
    #[must_use]
    pub fn warmth(&self, now: Nanos, all: &Replicas) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let part = now.saturating_sub(started) as f64 / nanos(all.ramp).max(1) as f64;
        (all.cold_from + (1.0 - all.cold_from) * part).min(1.0)
    }

    /// It is sound and warm, and nothing waits for a place in its batch.
    #[must_use]
    pub fn has_room(&self, now: Nanos, all: &Replicas) -> bool {
        let sound = self.alive && !self.silent && !self.hangs && self.errors == 0.0;
        sound && self.queue.is_empty() && self.warmth(now, all) >= 1.0
    }

    /// Takes a request; it is looked at when the next step begins.
    pub fn take(&mut self, job: Job) {
        self.queue.push_back(job);
    }

    /// Stops the work of an attempt; false where it is not here any more.
    pub fn drop_job(&mut self, id: JobId) -> bool {
        if let Some(at) = self.queue.iter().position(|j| j.id == id) {
            self.queue.remove(at);
            return true;
        }
        let Some(at) = self.running.iter().position(|r| r.job.id == id) else { return false };
        let running = self.running.remove(at);
        self.held -= running.job.most_tokens();
        // What the step under way was reading may be this very request, or one that has moved down a place.
        self.reading = self.reading.and_then(|(reading, chunk)| match reading.cmp(&at) {
            std::cmp::Ordering::Less => Some((reading, chunk)),
            std::cmp::Ordering::Equal => None,
            std::cmp::Ordering::Greater => Some((reading - 1, chunk)),
        });
        true
    }

    /// Begins a step if there is anything to do; its length.
    pub fn begin(&mut self, now: Nanos, all: &Replicas) -> Option<Nanos> {
        if self.stepping || self.silent || self.hangs || !self.alive {
            return None;
        }
        self.fill_batch();
        if self.running.is_empty() {
            return None;
        }
        let reading = self.running.iter().position(|r| r.unread > 0);
        self.reading = reading.map(|at| (at, self.running[at].unread.min(all.chunk)));
        let chunk = self.reading.map_or(0, |(_, chunk)| chunk);
        let pace = self.speed * self.warmth(now, all) / self.slowness;
        let work = self.step as f64 + f64::from(chunk) / self.read * SECOND as f64;
        self.stepping = true;
        self.busy_since = now;
        Some((work / pace) as Nanos)
    }

    /// Moves what waits into the batch, as far as places and memory go.
    fn fill_batch(&mut self) {
        while self.running.len() < self.batch
            && let Some(job) = self.queue.front()
            && (self.running.is_empty() || self.held + job.most_tokens() <= self.memory)
        {
            let Some(job) = self.queue.pop_front() else { break };
            let session = self.cache.look_up(job.session_key());
            let beginning = self.cache.look_up(job.beginning_key()).min(job.beginning_tokens);
            // A prompt's last token is always read.
            let kept = session.max(beginning).min(job.prompt.saturating_sub(1));
            self.held += job.most_tokens();
            let (unread, left) = (job.prompt - kept, job.answer.max(1));
            self.running.push(Running { job, kept, unread, left });
        }
    }

    /// The step has come to its end.
    pub fn end(&mut self, now: Nanos, events: &mut Vec<StepEvent>) {
        self.stepping = false;
        self.busy += now.saturating_sub(self.busy_since);
        let read = self.reading.take();
        for at in 0..self.running.len() {
            let chunk = read.filter(|(reading, _)| *reading == at).map(|(_, chunk)| chunk);
            self.advance(at, chunk, events);
        }
        self.remove_done(events);
    }

    /// What the step did for one request of the batch; `chunk` is what was read of its prompt.
    fn advance(&mut self, at: usize, chunk: Option<u32>, events: &mut Vec<StepEvent>) {
        let running = &mut self.running[at];
        match chunk {
            Some(chunk) if chunk < running.unread => running.unread -= chunk,
            Some(_) => {
                // The last token of a prompt brings the first one of the answer.
                running.unread = 0;
                running.left -= 1;
                events.push(StepEvent::First(running.job.id));
                let job = &running.job;
                self.cache.insert(job.beginning_key(), job.beginning_tokens, self.memory);
                self.cache.insert(job.session_key(), job.prompt, self.memory);
            }
            None if running.unread == 0 => running.left = running.left.saturating_sub(1),
            None => {}
        }
    }

    /// Takes the requests out of the batch that have their whole answer.
    fn remove_done(&mut self, events: &mut Vec<StepEvent>) {
        let held = &mut self.held;
        self.running.retain(|r| {
            let done = r.unread == 0 && r.left == 0;
            if done {
                *held -= r.job.most_tokens();
                events.push(StepEvent::Done(r.job.id, r.kept));
            }
            !done
        });
    }

    /// The time that it was busy since the last call of this.
    pub fn busy_time(&mut self, now: Nanos) -> Nanos {
        if self.stepping {
            self.busy += now.saturating_sub(self.busy_since);
            self.busy_since = now;
        }
        std::mem::take(&mut self.busy)
    }
}
