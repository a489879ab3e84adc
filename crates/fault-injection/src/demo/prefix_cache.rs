//! The prefix cache of a replica of the demo: which segments of prompts it has, and the events by which others learn of it.

use std::collections::HashMap;

/// A segment of a prompt, as the header `Prompt-Start` names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Its id, in hexadecimal digits.
    pub id: String,
    /// Its length in tokens.
    pub tokens: u32,
}

/// The segments in a `Prompt-Start` header, ID:TOKENS separated by commas; what can't be read is left out.
#[must_use]
pub fn parse_prompt(header: &str) -> Vec<PromptSegment> {
    let segment = |text: &str| {
        let (id, tokens) = text.trim().split_once(':')?;
        Some(PromptSegment { id: id.to_owned(), tokens: tokens.parse().ok()? })
    };
    header.split(',').filter_map(segment).collect()
}

/// Where a segment is cached: under the salt and the model of its request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SegmentKey {
    salt: String,
    model: String,
    id: String,
}

/// A segment that was cached. Nothing is evicted: a demo is short.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct CacheEvent {
    pub(super) salt: String,
    pub(super) model: String,
    pub(super) segment: PromptSegment,
}

/// A prefix cache without a limit.
#[derive(Debug, Default)]
pub struct PrefixCache {
    segments: HashMap<SegmentKey, u32>,
    events: Vec<CacheEvent>,
}

impl PrefixCache {
    /// Looks a prompt up and caches all of it; returns how many of its tokens were cached before. A segment counts only
    /// if all before it are cached too.
    pub fn insert(&mut self, salt: &str, model: &str, prompt: &[PromptSegment]) -> u32 {
        let key = |segment: &PromptSegment| SegmentKey {
            salt: salt.to_owned(),
            model: model.to_owned(),
            id: segment.id.clone(),
        };
        let cached = prompt.iter().take_while(|segment| self.segments.contains_key(&key(segment)));
        let cached_tokens = cached.map(|segment| segment.tokens).sum();
        for segment in prompt {
            if self.segments.insert(key(segment), segment.tokens).is_none() {
                let (salt, model) = (salt.to_owned(), model.to_owned());
                self.events.push(CacheEvent { salt, model, segment: segment.clone() });
            }
        }
        cached_tokens
    }

    /// Cached tokens.
    #[must_use]
    pub fn cached_tokens(&self) -> u32 {
        self.segments.values().sum()
    }

    /// The events from number `first` on.
    pub(super) fn events_since(&self, first: usize) -> &[CacheEvent] {
        self.events.get(first..).unwrap_or_default()
    }

    /// The number of the next event.
    pub(super) fn next_event(&self) -> usize {
        self.events.len()
    }
}
