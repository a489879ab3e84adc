//! Conversion of interleaved blocks to consecutive blocks.
//!
//! The platform's replicas may interleave the arguments of several tool calls. Clients of the messages API expect one
//! block after another, and some take the end of a block for that of the block that was started last. Only one block is
//! open at a time, and its fragments are written immediately. Fragments of other blocks are buffered until the open
//! block is complete: a text at the start of the next block, a tool call at the end of its JSON. Consecutive tool
//! calls, which are by far the usual case, are never buffered.

use std::collections::{BTreeSet, VecDeque};

use super::event::write_event;
use super::text_fragment::{FragmentJoiner, TextFragment};
use crate::front::object::Nesting;

/// Kind of a block's content. Fragments are assigned to blocks by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ContentKind {
    /// Text of the response.
    Text,
    /// Tool call with this number.
    Call(u32),
}

/// An open or pending block.
struct Block {
    kind: ContentKind,
    id: String,
    name: String,
    joiner: FragmentJoiner,
    nesting: Nesting,
    /// Buffered text of a pending block.
    pending_text: String,
}

/// State of the blocks of one message.
pub(super) struct Blocks {
    open_block: Option<Block>,
    next_index: u64,
    pending_blocks: VecDeque<Block>,
    pending_bytes: usize,
    max_pending_bytes: usize,
    is_full: bool,
    closed_calls: BTreeSet<u32>,
}

impl Blocks {
    /// Creates a state without blocks, which buffers at most `max_pending_bytes`.
    pub(super) fn new(max_pending_bytes: usize) -> Blocks {
        Blocks {
            open_block: None,
            next_index: 0,
            pending_blocks: VecDeque::new(),
            pending_bytes: 0,
            max_pending_bytes,
            is_full: false,
            closed_calls: BTreeSet::new(),
        }
    }

    /// Number of buffered bytes of pending blocks.
    pub(super) fn pending_bytes(&self) -> usize {
        self.pending_bytes
    }

    /// Whether the buffer limit was exceeded, or a call had more JSON after its end. The stream can't continue then.
    pub(super) fn is_full(&self) -> bool {
        self.is_full
    }

    /// Adds text to the last block if that is a text, and otherwise starts a text block.
    pub(super) fn add_text(&mut self, fragment: TextFragment, out: &mut Vec<u8>) {
        let last_kind = self.pending_blocks.back().map(|b| b.kind);
        let is_continued = match last_kind {
            Some(kind) => kind == ContentKind::Text,
            None => self.open_block.as_ref().is_some_and(|b| b.kind == ContentKind::Text),
        };
        if !is_continued {
            self.enqueue(ContentKind::Text, String::new(), String::new(), out);
        }
        self.add_fragment(ContentKind::Text, fragment, out);
    }

    /// Starts the tool call with this number.
    pub(super) fn add_call(&mut self, number: u32, id: String, name: String, out: &mut Vec<u8>) {
        self.enqueue(ContentKind::Call(number), id, name, out);
    }

    fn enqueue(&mut self, kind: ContentKind, id: String, name: String, out: &mut Vec<u8>) {
        let block = Block {
            kind,
            id,
            name,
            joiner: FragmentJoiner::default(),
            nesting: Nesting::default(),
            pending_text: String::new(),
        };
        self.add_pending_bytes(block.id.len() + block.name.len());
        self.pending_blocks.push_back(block);
        self.advance(out);
    }

    /// Adds a fragment to the block of this kind: writes it if the block is open, buffers it if the block is pending.
    pub(super) fn add_fragment(&mut self, kind: ContentKind, fragment: TextFragment, out: &mut Vec<u8>) {
        if let Some(open_block) = self.open_block.as_mut().filter(|b| b.kind == kind) {
            let text = open_block.joiner.join(fragment);
            open_block.nesting.add(&text);
            write_delta(out, self.next_index - 1, kind, &text);
            return self.advance(out);
        }
        // The last block of this kind: an earlier text ended at the start of the next block.
        if let Some(block) = self.pending_blocks.iter_mut().rev().find(|b| b.kind == kind) {
            let text = block.joiner.join(fragment);
            block.nesting.add(&text);
            block.pending_text.push_str(&text);
            self.add_pending_bytes(text.len());
            return;
        }
        let is_closed = matches!(kind, ContentKind::Call(number) if self.closed_calls.contains(&number));
        if is_closed && fragment.0.iter().any(|b| !b.is_ascii_whitespace()) {
            // The closed block can't take more JSON.
            self.is_full = true;
        }
    }

    fn add_pending_bytes(&mut self, bytes: usize) {
        self.pending_bytes += bytes;
        self.is_full |= self.pending_bytes > self.max_pending_bytes;
    }

    /// Closes the open block and opens the next pending one, as long as the open one is complete.
    fn advance(&mut self, out: &mut Vec<u8>) {
        while !self.pending_blocks.is_empty() {
            let is_complete = self
                .open_block
                .as_ref()
                .is_none_or(|b| b.kind == ContentKind::Text || b.nesting.is_complete());
            if !is_complete {
                return;
            }
            self.close(out);
            self.open(out);
        }
    }

    fn open(&mut self, out: &mut Vec<u8>) {
        let Some(mut block) = self.pending_blocks.pop_front() else { return };
        let index = self.next_index;
        self.next_index += 1;
        write_event(out, "content_block_start", |data| {
            data.set("index", &index);
            let mut content_block = data.object("content_block");
            match block.kind {
                ContentKind::Text => drop(content_block.set("type", "text").set("text", "")),
                ContentKind::Call(_) => {
                    content_block.set("type", "tool_use").set("id", &block.id).set("name", &block.name);
                    drop(content_block.object("input"));
                }
            }
        });
        let pending_text = std::mem::take(&mut block.pending_text);
        self.pending_bytes -= block.id.len() + block.name.len() + pending_text.len();
        if !pending_text.is_empty() {
            write_delta(out, index, block.kind, &pending_text);
        }
        self.open_block = Some(block);
    }

    fn close(&mut self, out: &mut Vec<u8>) {
        let Some(mut block) = self.open_block.take() else { return };
        let mut rest = String::new();
        block.joiner.end(&mut rest);
        write_delta(out, self.next_index - 1, block.kind, &rest);
        write_event(out, "content_block_stop", |data| {
            data.set("index", &(self.next_index - 1));
        });
        if let ContentKind::Call(number) = block.kind {
            self.closed_calls.insert(number);
        }
    }

    /// Writes all blocks, and closes them.
    pub(super) fn close_all(&mut self, out: &mut Vec<u8>) {
        self.close(out);
        while !self.pending_blocks.is_empty() {
            self.open(out);
            self.close(out);
        }
    }
}

fn write_delta(out: &mut Vec<u8>, index: u64, kind: ContentKind, text: &str) {
    if text.is_empty() {
        return;
    }
    write_event(out, "content_block_delta", |data| {
        data.set("index", &index);
        let mut delta = data.object("delta");
        match kind {
            ContentKind::Text => delta.set("type", "text_delta").set("text", text),
            ContentKind::Call(_) => delta.set("type", "input_json_delta").set("partial_json", text),
        };
    });
}
