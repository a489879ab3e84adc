//! Content of a stream's events, independent of the dialect.

use super::text_fragment::TextFragment;

/// A part of a response.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponsePart {
    /// Start of the stream.
    Start,
    /// A fragment of the response's text.
    Text(TextFragment),
    /// Start of a tool call. Calls are numbered from 0.
    ToolCall {
        /// Number of the call.
        number: u32,
        /// Id of the call, assigned by the replica.
        id: String,
        /// Name of the tool.
        name: String,
    },
    /// A fragment of a tool call's JSON input, with the number of the call.
    Arguments(u32, TextFragment),
    /// End of the generation.
    Stop(StopReason),
    /// Token usage so far.
    Usage(Usage),
    /// Keep-alive event without content.
    Ping,
    /// Failure of the stream: type and message of the error.
    Error(String, String),
    /// Last event of the stream.
    End,
    /// Content without a counterpart in the other dialect, by its name for the log.
    Unknown(String),
}

/// Reason for the end of the generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The model completed its response.
    Complete,
    /// A stop sequence was generated. The value is the sequence, if known.
    Sequence(Option<String>),
    /// The maximum number of tokens was reached.
    MaxTokens,
    /// The client must run tools.
    ToolCalls,
    /// The model refused, or a filter stopped it.
    Refused,
    /// Any other reason.
    Other,
}

/// Token counts of a request and its response.
#[derive(serde::Deserialize, serde::Serialize, Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Prompt tokens, including cached ones.
    pub prompt: u64,
    /// Cached prompt tokens, if the replica states them.
    #[serde(rename = "kept")]
    pub cached: Option<u64>,
    /// Output tokens.
    #[serde(rename = "answer")]
    pub output: u64,
}

impl Usage {
    /// Number of prompt tokens that were not cached.
    #[must_use]
    pub fn uncached_prompt(self) -> u64 {
        self.prompt.saturating_sub(self.cached.unwrap_or(0))
    }

    /// The larger of each count. Dialects state the counts in different events, and some initially state 0.
    #[must_use]
    pub fn max(self, other: Usage) -> Usage {
        Usage {
            prompt: self.prompt.max(other.prompt),
            cached: self.cached.max(other.cached),
            output: self.output.max(other.output),
        }
    }
}
