//! Requests as a real server sees them, and what comes of them.

use super::prompt_cache::PromptKey;

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

impl Job {
    /// What its shared beginning is kept under.
    pub(super) fn beginning_key(&self) -> PromptKey {
        PromptKey::Beginning(self.beginning.0, self.beginning.1)
    }

    /// What its whole prompt is kept under.
    pub(super) fn session_key(&self) -> PromptKey {
        PromptKey::Session(self.session)
    }

    /// Tokens that it may come to hold.
    pub(super) fn most_tokens(&self) -> u64 {
        u64::from(self.prompt) + u64::from(self.answer)
    }
}

/// What a step has brought.
#[derive(Debug, PartialEq)]
pub enum StepEvent {
    /// The first token of an answer.
    First(JobId),
    /// The last one; so many prompt tokens were found kept.
    Done(JobId, u32),
}
