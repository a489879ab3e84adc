//! Attempts as a replica sees them, and the events that their processing yields.

use super::prompt_cache::{PrefixId, PromptKey};

/// Identifies an attempt of a gateway at a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The number of the request at its gateway.
    pub request: u64,
    /// The number of the attempt among those for the request.
    pub attempt: u32,
}

/// An attempt as a replica sees it.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its id.
    pub id: AttemptId,
    /// The shared prefix of the prompt.
    pub prefix: PrefixId,
    /// The session.
    pub session: u64,
    /// Tokens of the prompt, those of the prefix included.
    pub prompt_tokens: u32,
    /// Tokens of the prefix.
    pub prefix_tokens: u32,
    /// Tokens of the response.
    pub response_tokens: u32,
}

impl Job {
    /// The cache key of its prefix.
    pub(super) fn prefix_key(&self) -> PromptKey {
        PromptKey::Prefix(self.prefix)
    }

    /// The cache key of its complete prompt.
    pub(super) fn session_key(&self) -> PromptKey {
        PromptKey::Session(self.session)
    }

    /// Tokens that it reserves in the batch's memory.
    pub(super) fn max_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.response_tokens)
    }
}

/// An event at the end of a step.
#[derive(Debug, PartialEq)]
pub enum StepEvent {
    /// The first token of a response.
    FirstToken(AttemptId),
    /// The last token of a response.
    Completed {
        /// The attempt.
        id: AttemptId,
        /// Prompt tokens that were found in the cache.
        cached_tokens: u32,
    },
}

impl StepEvent {
    /// The attempt.
    #[must_use]
    pub fn id(&self) -> AttemptId {
        match self {
            StepEvent::FirstToken(id) | StepEvent::Completed { id, .. } => *id,
        }
    }
}
