//! Continuous batching: a queue, a batch in which each request decodes one token per step, and chunked prefill.

use std::cmp::Ordering;
use std::collections::VecDeque;

use tulipridge::types::Nanos;

use super::job::{AttemptId, Job, StepEvent};
use super::prompt_cache::PromptCache;
use crate::experiment::MachineKind;
use crate::time::{SECOND, nanos};

/// A request in the batch.
struct RunningJob {
    job: Job,
    cached_tokens: u32,
    /// Prompt tokens without prefill yet.
    prefill_remaining: u32,
    /// Response tokens not decoded yet.
    decode_remaining: u32,
}

/// Prefill work of a step.
#[derive(Clone, Copy)]
struct Prefill {
    /// Index of the request in the batch.
    index: usize,
    tokens: u32,
}

/// Queue, batch and prompt cache of a replica.
pub(super) struct Batch {
    size: usize,
    /// Capacity in tokens, both of the cache and of the sum over the running requests.
    capacity_tokens: u64,
    step: Nanos,
    prefill_tokens_per_s: f64,
    queue: VecDeque<Job>,
    running: Vec<RunningJob>,
    reserved_tokens: u64,
    cache: PromptCache,
    prefill: Option<Prefill>,
}

impl Batch {
    pub(super) fn new(kind: &MachineKind) -> Batch {
        Batch {
            size: kind.batch_size,
            capacity_tokens: kind.capacity_tokens,
            step: nanos(kind.step_duration),
            prefill_tokens_per_s: kind.prefill_tokens_per_s,
            queue: VecDeque::new(),
            running: Vec::new(),
            reserved_tokens: 0,
            cache: PromptCache::default(),
            prefill: None,
        }
    }

    pub(super) fn in_flight(&self) -> usize {
        self.queue.len() + self.running.len()
    }

    pub(super) fn queued(&self) -> usize {
        self.queue.len()
    }

    pub(super) fn size(&self) -> usize {
        self.size
    }

    pub(super) fn utilization(&self) -> f64 {
        self.running.len() as f64 / self.size as f64
    }

    pub(super) fn enqueue(&mut self, job: Job) {
        self.queue.push_back(job);
    }

    /// Discards all requests and the cache, and returns the requests.
    pub(super) fn clear(&mut self) -> Vec<AttemptId> {
        self.prefill = None;
        self.reserved_tokens = 0;
        self.cache = PromptCache::default();
        let queued = self.queue.drain(..).map(|job| job.id);
        queued.chain(self.running.drain(..).map(|running| running.job.id)).collect()
    }

    /// Removes a request from the queue or the batch; returns false if neither has it.
    pub(super) fn cancel(&mut self, id: AttemptId) -> bool {
        if let Some(index) = self.queue.iter().position(|job| job.id == id) {
            self.queue.remove(index);
            return true;
        }
        let Some(removed) = self.running.iter().position(|running| running.job.id == id) else {
            return false;
        };
        let running = self.running.remove(removed);
        self.reserved_tokens -= running.job.total_tokens();
        // The prefill of the current step may belong to this request, or to one whose index has changed.
        self.prefill = self.prefill.and_then(|prefill| match prefill.index.cmp(&removed) {
            Ordering::Less => Some(prefill),
            Ordering::Equal => None,
            Ordering::Greater => Some(Prefill { index: prefill.index - 1, ..prefill }),
        });
        true
    }

    /// Begins a step, and returns its duration in nanoseconds at speed 1; `None` if the batch is empty.
    pub(super) fn begin_step(&mut self, chunk_tokens: u32) -> Option<f64> {
        self.admit_from_queue();
        if self.running.is_empty() {
            return None;
        }
        let index = self.running.iter().position(|running| running.prefill_remaining > 0);
        self.prefill = index.map(|index| Prefill {
            index,
            tokens: self.running[index].prefill_remaining.min(chunk_tokens),
        });
        let tokens = self.prefill.map_or(0, |prefill| prefill.tokens);
        Some(self.step as f64 + f64::from(tokens) / self.prefill_tokens_per_s * SECOND as f64)
    }

    /// Moves requests from the queue into the batch while its size and memory allow. An empty batch takes any request.
    fn admit_from_queue(&mut self) {
        while self.running.len() < self.size
            && let Some(job) = self.queue.front()
            && (self.running.is_empty()
                || self.reserved_tokens + job.total_tokens() <= self.capacity_tokens)
        {
            let Some(job) = self.queue.pop_front() else { break };
            let session = self.cache.look_up(job.session_key());
            let prefix = self.cache.look_up(job.prefix_key()).min(job.prefix_tokens);
            // The prefill of a prompt's last token yields the first response token, so it is never skipped.
            let cached_tokens = session.max(prefix).min(job.prompt_tokens.saturating_sub(1));
            self.reserved_tokens += job.total_tokens();
            let prefill_remaining = job.prompt_tokens - cached_tokens;
            let decode_remaining = job.response_tokens.max(1);
            self.running.push(RunningJob { job, cached_tokens, prefill_remaining, decode_remaining });
        }
    }

    /// Ends a step, and appends its events.
    pub(super) fn end_step(&mut self, events: &mut Vec<StepEvent>) {
        let prefill = self.prefill.take();
        for index in 0..self.running.len() {
            let prefilled = prefill.filter(|prefill| prefill.index == index).map(|prefill| prefill.tokens);
            self.advance(index, prefilled, events);
        }
        self.remove_completed(events);
    }

    /// Advances one request by a step, with `prefilled` prompt tokens processed in it; `None` if not in prefill.
    fn advance(&mut self, index: usize, prefilled: Option<u32>, events: &mut Vec<StepEvent>) {
        let running = &mut self.running[index];
        match prefilled {
            Some(tokens) if tokens < running.prefill_remaining => running.prefill_remaining -= tokens,
            Some(_) => {
                // The last token of a prompt yields the first token of the response.
                running.prefill_remaining = 0;
                running.decode_remaining -= 1;
                events.push(StepEvent::FirstToken(running.job.id));
                let job = &running.job;
                self.cache.insert(job.prefix_key(), job.prefix_tokens, self.capacity_tokens);
                self.cache.insert(job.session_key(), job.prompt_tokens, self.capacity_tokens);
            }
            None if running.prefill_remaining == 0 => {
                running.decode_remaining = running.decode_remaining.saturating_sub(1);
            }
            None => {}
        }
    }

    fn remove_completed(&mut self, events: &mut Vec<StepEvent>) {
        let reserved_tokens = &mut self.reserved_tokens;
        self.running.retain(|running| {
            let is_completed = running.prefill_remaining == 0 && running.decode_remaining == 0;
            if is_completed {
                *reserved_tokens -= running.job.total_tokens();
                let (id, cached_tokens) = (running.job.id, running.cached_tokens);
                events.push(StepEvent::Completed { id, cached_tokens });
            }
            !is_completed
        });
    }
}
