//! Whole answers, put together from a stream's events.

use serde_json::{Map, Value};

use tulipridge_http1::codec::{self, SseBlock};

/// A message that is being put together.
#[derive(Default)]
pub struct MessageAssembler {
    message: Map<String, Value>,
    blocks: Vec<Block>,
    /// Bytes of what came so far.
    held: usize,
    most: usize,
    error: Option<(String, String)>,
    /// Names of events that have no place in a whole answer.
    left_out: Vec<String>,
}

/// A block, and the JSON of its input, which is whole only at its end.
struct Block {
    index: u64,
    value: Map<String, Value>,
    input: String,
}

impl MessageAssembler {
    /// Nothing yet; `most` bytes may be held.
    #[must_use]
    pub fn new(most: usize) -> MessageAssembler {
        MessageAssembler { most, ..MessageAssembler::default() }
    }

    /// Bytes that are held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held
    }

    /// More came than may be held.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.held > self.most
    }

    /// The error that the stream told: its type and words.
    #[must_use]
    pub fn error(&self) -> Option<(&str, &str)> {
        self.error.as_ref().map(|(kind, words)| (kind.as_str(), words.as_str()))
    }

    /// Names of events that came and have no place in a whole answer, each time they did.
    pub fn take_left_out(&mut self) -> Vec<String> {
        std::mem::take(&mut self.left_out)
    }

    /// Takes whole events in.
    pub fn events(&mut self, events: &[u8]) {
        for block in codec::sse_blocks(events) {
            if !block.is_comment() && !self.is_full() {
                self.event(block);
            }
        }
    }

    fn event(&mut self, block: SseBlock<'_>) {
        let name = block.name();
        let data = block.data();
        let Ok(Value::Object(mut event)) = serde_json::from_str(&data) else {
            return self.left_out.push(name.to_owned());
        };
        let index = event.get("index").and_then(Value::as_u64).unwrap_or(0);
        match (name, event.remove("message"), event.remove("content_block"), event.remove("delta")) {
            ("message_start", Some(Value::Object(message)), ..) => {
                self.held += data.len();
                self.message = message;
            }
            ("content_block_start", _, Some(Value::Object(value)), _) => {
                // A block of nothing still takes room.
                self.held += data.len() + 256;
                self.blocks.push(Block { index, value, input: String::new() });
            }
            ("content_block_delta", _, _, Some(Value::Object(delta))) => self.delta(index, delta),
            ("message_delta", _, _, delta) => {
                if let Some(Value::Object(delta)) = delta {
                    self.held += data.len();
                    self.message.extend(delta);
                }
                if let Some(Value::Object(told)) = event.remove("usage") {
                    let usage = self.message.entry("usage").or_insert_with(|| Value::Object(Map::new()));
                    if let Value::Object(usage) = usage {
                        usage.extend(told.into_iter().filter(|(_, v)| !v.is_null()));
                    }
                }
            }
            ("error", ..) => {
                let error = event.remove("error").unwrap_or_default();
                let word = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
                self.error = Some((word("type"), word("message")));
            }
            ("content_block_stop" | "message_stop" | "ping", ..) => {}
            _ => self.left_out.push(name.to_owned()),
        }
    }

    fn delta(&mut self, index: u64, mut delta: Map<String, Value>) {
        let kind = delta.remove("type");
        let kind = kind.as_ref().and_then(Value::as_str).unwrap_or_default();
        // The last ones are the usual ones.
        let block = self.blocks.iter_mut().rev().find(|b| b.index == index);
        let Some(block) = block else { return self.left_out.push(format!("content_block_delta {kind}")) };
        let (from, to) = match kind {
            "text_delta" => ("text", "text"),
            "thinking_delta" => ("thinking", "thinking"),
            "signature_delta" => ("signature", "signature"),
            "input_json_delta" => {
                if let Some(Value::String(json)) = delta.get("partial_json") {
                    self.held += json.len();
                    block.input.push_str(json);
                }
                return;
            }
            "citations_delta" => {
                if let Some(citation) = delta.remove("citation") {
                    self.held += citation.to_string().len();
                    let list = block.value.entry("citations").or_insert_with(|| Value::Array(Vec::new()));
                    if list.is_null() {
                        *list = Value::Array(Vec::new());
                    }
                    if let Value::Array(list) = list {
                        list.push(citation);
                    }
                }
                return;
            }
            other => return self.left_out.push(format!("content_block_delta {other}")),
        };
        if let Some(Value::String(words)) = delta.get(from) {
            self.held += words.len();
            let text = block.value.entry(to).or_insert_with(|| Value::String(String::new()));
            match text {
                Value::String(text) => text.push_str(words),
                other => *other = Value::String(words.clone()),
            }
        }
    }

    /// The complete message as JSON.
    ///
    /// # Errors
    ///
    /// If no event gave the message a field, if the input of a block is not a JSON object, or if the message can't
    /// be written as JSON.
    pub fn finish(self) -> Result<Vec<u8>, String> {
        let MessageAssembler { mut message, mut blocks, .. } = self;
        if message.is_empty() {
            return Err("the real server's answer has no beginning".into());
        }
        blocks.sort_by_key(|b| b.index);
        let mut content = Vec::with_capacity(blocks.len());
        for Block { index, mut value, input } in blocks {
            if !input.is_empty() {
                let Ok(input @ Value::Object(_)) = serde_json::from_str::<Value>(&input) else {
                    return Err(format!("the input of the answer's block {index} is not a JSON object"));
                };
                value.insert("input".into(), input);
            }
            content.push(Value::Object(value));
        }
        message.insert("content".into(), content.into());
        message.entry("type").or_insert_with(|| "message".into());
        message.entry("role").or_insert_with(|| "assistant".into());
        message.entry("stop_sequence").or_insert(Value::Null);
        serde_json::to_vec(&message).map_err(|e| e.to_string())
    }
}
