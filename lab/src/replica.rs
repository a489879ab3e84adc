//! An emulated real server: batched steps, a queue, kept prompts, a cold start that warms.
//!
//! It has no clock: its fleet says what time it is, and wakes it when a step has come to its end.

use std::collections::{BTreeMap, VecDeque};

use tulipridge::types::Nanos;

use crate::experiment::{Kind, Replicas, nanos};

/// A thousandth of a second.
pub const MILLI: Nanos = 1_000_000;
/// A second.
pub const SECOND: Nanos = 1_000 * MILLI;

/// Names an attempt: the request's number and the attempt's.
pub type JobId = (u64, u32);

/// A request as a real server sees it.
#[derive(Clone, Debug)]
pub struct Job {
    /// Whose it is.
    pub id: JobId,
    /// Class and number of its shared beginning.
    pub beginning: (usize, u32),
    /// Its session.
    pub session: u64,
    /// Tokens of the prompt, and of the shared beginning among them.
    pub prompt: u32,
    /// Tokens of the shared beginning.
    pub beginning_tokens: u32,
    /// Tokens of the answer.
    pub answer: u32,
}

struct Running {
    job: Job,
    kept: u32,
    unread: u32,
    left: u32,
}

/// What a step has brought.
#[derive(Debug, PartialEq)]
pub enum News {
    /// The first token of an answer.
    First(JobId),
    /// The last one; so many prompt tokens were found kept.
    Done(JobId, u32),
}

/// Prompts that are kept, the least recently used forgotten first.
#[derive(Default)]
pub struct Kept {
    tokens: BTreeMap<(u8, u64), (u32, u64)>,
    by_use: BTreeMap<u64, (u8, u64)>,
    used: u64,
    sum: u64,
}

impl Kept {
    /// Tokens kept under a key, which counts as a use.
    pub fn find(&mut self, key: (u8, u64)) -> u32 {
        let Some((tokens, at)) = self.tokens.get_mut(&key) else { return 0 };
        self.by_use.remove(at);
        self.used += 1;
        *at = self.used;
        self.by_use.insert(self.used, key);
        *tokens
    }

    /// Keeps tokens under a key, within `most` in all.
    pub fn keep(&mut self, key: (u8, u64), tokens: u32, most: u64) {
        self.used += 1;
        if let Some((old, at)) = self.tokens.insert(key, (tokens, self.used)) {
            self.by_use.remove(&at);
            self.sum -= u64::from(old);
        }
        self.by_use.insert(self.used, key);
        self.sum += u64::from(tokens);
        while self.sum > most {
            let Some((_, oldest)) = self.by_use.pop_first() else { return };
            if let Some((tokens, _)) = self.tokens.remove(&oldest) {
                self.sum -= u64::from(tokens);
            }
        }
    }

    /// Tokens in all.
    pub fn sum(&self) -> u64 {
        self.sum
    }
}

const BEGINNING: u8 = 0;
const SESSION: u8 = 1;

fn beginning_key(job: &Job) -> (u8, u64) {
    (BEGINNING, (job.beginning.0 as u64) << 32 | u64::from(job.beginning.1))
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
    kept: Kept,
    reading: Option<(usize, u32)>,
    /// Time with something in the batch since the last refresh of the reports, for `util`.
    busy: Nanos,
    busy_since: Nanos,
}

impl Replica {
    /// One that has been warm for long; its speed is `skew` times its kind's.
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
            kept: Kept::default(),
            reading: None,
            busy: 0,
            busy_since: 0,
        }
    }

    /// Requests in hand.
    pub fn in_hand(&self) -> usize {
        self.queue.len() + self.running.len()
    }

    /// Requests that wait for a place in the batch.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Places in its batch.
    pub fn places(&self) -> usize {
        self.batch
    }

    /// Share of the batch that is taken.
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
        self.kept = Kept::default();
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
    pub fn warmth(&self, now: Nanos, all: &Replicas) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let part = now.saturating_sub(started) as f64 / nanos(all.ramp).max(1) as f64;
        (all.cold_from + (1.0 - all.cold_from) * part).min(1.0)
    }

    /// It is sound and warm, and nothing waits for a place in its batch.
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
        self.held -= room(&running.job);
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
        while self.running.len() < self.batch
            && let Some(job) = self.queue.front()
            && (self.running.is_empty() || self.held + room(job) <= self.memory)
        {
            let Some(job) = self.queue.pop_front() else { break };
            let session = self.kept.find((SESSION, job.session));
            let beginning = self.kept.find(beginning_key(&job)).min(job.beginning_tokens);
            // A prompt's last token is always read.
            let kept = session.max(beginning).min(job.prompt.saturating_sub(1));
            self.held += room(&job);
            let (unread, left) = (job.prompt - kept, job.answer.max(1));
            self.running.push(Running { job, kept, unread, left });
        }
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

    /// The step has come to its end.
    pub fn end(&mut self, now: Nanos, news: &mut Vec<News>) {
        self.stepping = false;
        self.busy += now.saturating_sub(self.busy_since);
        let read = self.reading.take();
        for at in 0..self.running.len() {
            let chunk = read.filter(|(reading, _)| *reading == at).map(|(_, chunk)| chunk);
            let running = &mut self.running[at];
            match chunk {
                Some(chunk) if chunk < running.unread => running.unread -= chunk,
                Some(_) => {
                    // The last token of a prompt brings the first one of the answer.
                    running.unread = 0;
                    running.left -= 1;
                    news.push(News::First(running.job.id));
                    let job = &running.job;
                    let (prompt, memory) = (job.prompt, self.memory);
                    self.kept.keep(beginning_key(job), job.beginning_tokens, memory);
                    self.kept.keep((SESSION, job.session), prompt, memory);
                }
                None if running.unread == 0 => running.left = running.left.saturating_sub(1),
                None => {}
            }
        }
        let held = &mut self.held;
        self.running.retain(|r| {
            let done = r.unread == 0 && r.left == 0;
            if done {
                *held -= room(&r.job);
                news.push(News::Done(r.job.id, r.kept));
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

/// Tokens that a request may come to hold.
fn room(job: &Job) -> u64 {
    u64::from(job.prompt) + u64::from(job.answer)
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    fn all() -> Replicas {
        let kind = Kind {
            share: 1.0,
            units: 1.0,
            speed: 1.0,
            batch: 2,
            memory: 10_000,
            step: Duration::from_millis(10),
            read: 10_000.0,
        };
        let kinds = [("one".to_owned(), kind)].into();
        let (ramp, fall) = (Duration::from_secs(8), Duration::from_secs(3));
        let (reports, fall_multiple) = (None, 2.5);
        Replicas { count: 1, kinds, cold_from: 0.25, ramp, chunk: 1000, reports, fall_multiple, fall }
    }

    fn job(n: u64, session: u64) -> Job {
        Job { id: (n, 0), beginning: (0, 1), session, prompt: 1500, beginning_tokens: 1000, answer: 2 }
    }

    fn replica(all: &Replicas) -> Replica {
        Replica::new("r".into(), 0, 0, &all.kinds["one"], 1.0)
    }

    /// Steps until nothing is left; the news with its times.
    fn play(replica: &mut Replica, all: &Replicas, mut now: Nanos) -> Vec<(Nanos, News)> {
        let mut told = Vec::new();
        while let Some(took) = replica.begin(now, all) {
            now += took;
            let mut news = Vec::new();
            replica.end(now, &mut news);
            told.extend(news.into_iter().map(|n| (now, n)));
        }
        told
    }

    #[test]
    fn a_prompt_is_read_in_chunks_and_a_kept_beginning_is_not_read_again() {
        let all = all();
        let mut replica = replica(&all);
        replica.take(job(1, 1));
        // 1,000 and 500 tokens at 10,000 a second and two steps of 10 ms, then a step for the second token.
        let first = play(&mut replica, &all, 0);
        assert_eq!(first, [(170 * MILLI, News::First((1, 0))), (180 * MILLI, News::Done((1, 0), 0))]);
        replica.take(job(2, 2));
        let second = play(&mut replica, &all, 0);
        assert_eq!(second, [(60 * MILLI, News::First((2, 0))), (70 * MILLI, News::Done((2, 0), 1000))]);
        replica.take(job(3, 2));
        let same_session = play(&mut replica, &all, 0);
        assert_eq!(same_session[1].1, News::Done((3, 0), 1499), "all but the last token is kept");
    }

    #[test]
    fn what_does_not_fit_the_batch_waits_and_a_dropped_request_makes_room() {
        let all = all();
        let mut replica = replica(&all);
        for n in 1..=3 {
            replica.take(job(n, n));
        }
        assert!(replica.begin(0, &all).is_some());
        assert_eq!((replica.in_hand(), replica.queued()), (3, 1));
        assert!(replica.drop_job((1, 0)) && !replica.drop_job((1, 0)));
        replica.end(0, &mut Vec::new());
        replica.begin(0, &all);
        assert_eq!((replica.in_hand(), replica.queued()), (2, 0));
    }

    #[test]
    fn a_cold_one_is_slower_until_it_has_warmed() {
        let all = all();
        let mut replica = replica(&all);
        assert_eq!(replica.die().len(), 0);
        replica.start(SECOND);
        let took = |replica: &mut Replica, at: Nanos| {
            replica.take(job(at, at));
            let took = replica.begin(at, &all);
            replica.die();
            replica.alive = true;
            took.unwrap_or(0)
        };
        assert_eq!(took(&mut replica, SECOND), 4 * 110 * MILLI);
        assert_eq!(took(&mut replica, 9 * SECOND), 110 * MILLI);
    }

    #[test]
    fn the_least_recently_used_is_forgotten_first_and_the_sum_stays_within_the_memory() {
        let mut kept = Kept::default();
        for n in 0..4 {
            kept.keep((0, n), 100, 400);
        }
        assert_eq!(kept.find((0, 0)), 100);
        kept.keep((0, 9), 100, 400);
        assert_eq!((kept.find((0, 1)), kept.find((0, 0)), kept.sum()), (0, 100, 400));
        kept.keep((0, 0), 50, 400);
        assert_eq!(kept.sum(), 350, "what is kept anew counts once");
    }
}
