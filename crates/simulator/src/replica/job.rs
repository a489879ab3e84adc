//! Attempts in the form that a replica processes, and the resulting events.

use super::prompt_cache::{PrefixId, PromptKey};

/// Identifier of a gateway's attempt at a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// Number of the request, unique in a run.
    pub request: u64,
    /// Number of the attempt among those for the request, from 0.
    pub attempt: u32,
}

/// An attempt in the form that a replica processes.
#[derive(Clone, Debug)]
pub struct Job {
    /// Identifier by which the attempt can be cancelled.
    pub id: AttemptId,
    /// Shared prefix of the prompt.
    pub prefix: PrefixId,
    /// Number of the session, the cache key of the complete prompt.
    pub session: u64,
    /// Tokens of the prompt, including those of the prefix.
    pub prompt_tokens: u32,
    /// Tokens of the shared prefix.
    pub prefix_tokens: u32,
    /// Tokens of the response.
    pub response_tokens: u32,
}

impl Job {
    /// Cache key of the shared prefix.
    pub(super) fn prefix_key(&self) -> PromptKey {
        PromptKey::Prefix(self.prefix)
    }

    /// Cache key of the complete prompt.
    pub(super) fn session_key(&self) -> PromptKey {
        PromptKey::Session(self.session)
    }

    /// Tokens reserved in the memory of the batch: those of the prompt and of the response.
    pub(super) fn total_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.response_tokens)
    }
}

/// An event at the end of a step of a replica.
#[derive(Debug, PartialEq)]
pub enum StepEvent {
    /// The first token of a response was decoded.
    FirstToken(AttemptId),
    /// The last token of a response was decoded.
    Completed {
        /// Attempt that is complete.
        id: AttemptId,
        /// Prompt tokens found in the cache.
        cached_tokens: u32,
    },
}

impl StepEvent {
    /// Attempt that the event belongs to.
    #[must_use]
    pub fn id(&self) -> AttemptId {
        match self {
            StepEvent::FirstToken(id) | StepEvent::Completed { id, .. } => *id,
        }
    }
}
