//! The answer of a request: passed on as a replica gives it, or written here.

use std::time::Instant;

use tulipridge_http1::codec::Body;

use super::{DEADLINE_GRACE, Exchange, Final};
use crate::client::{Client, Done, write_last, write_own};
use crate::headers::{self, Framing};
use crate::relay::{Relay, RelayEnd};
use crate::replica::attempt::{Answer, Failure};
use crate::replica::outcome::{self, Next, RequestKind, SendEvent};

impl Exchange<'_> {
    /// Writes the final answer of a request; one that has begun can only be broken off.
    pub(super) async fn answer(mut self, client: Client<'_>, answer: Final) -> Done {
        let counters = &self.proxy.counters;
        if self.relay.is_some() {
            counters.broken.add();
            return Done::Abandon;
        }
        let answer = match (answer, self.failure.take()) {
            (Final::None, _) => {
                counters.abandoned.add();
                return Done::Abandon;
            }
            (Final::Own(_), Some(failure)) | (Final::Replica(failure), _) => {
                counters.failed.add();
                return self.answer_failure(client, &failure).await;
            }
            (Final::Own(answer), None) => answer,
        };
        if answer.status == 503 {
            counters.refused.add();
        } else {
            counters.failed.add();
        }
        let (proxy, incoming) = (self.proxy, self.incoming);
        // What is still out is called off before the client is told.
        drop(self);
        write_own(proxy, client, incoming, answer).await
    }

    async fn answer_failure(self, client: Client<'_>, failure: &Failure) -> Done {
        let proxy = self.proxy;
        let is_head_request = self.incoming.head.start[0] == "HEAD";
        drop(self);
        let after = client.after(proxy);
        let framing = match failure.head.response_body() {
            _ if is_head_request => Framing::None,
            Ok(Body::Length(0)) if failure.body.is_empty() => Framing::None,
            _ => Framing::Length(failure.body.len()),
        };
        let mut bytes = Vec::new();
        headers::write_answer(&failure.head, framing, after, &mut bytes);
        bytes.extend_from_slice(&failure.body);
        write_last(proxy, client, &bytes, after).await
    }

    /// Passes a begun answer on. None if it broke off and another replica may go on with it, or give it whole.
    pub(super) async fn pass_on(&mut self, client: &mut Client<'_>, answer: Box<Answer>) -> Option<Done> {
        let mut relay = match self.relay.take() {
            Some(relay) => relay,
            None => {
                let may_resume = self.kind() == RequestKind::ResumableStream;
                Relay::new(
                    &answer,
                    may_resume,
                    client.after(self.proxy),
                    self.incoming.head.start[0] == "HEAD",
                )
            }
        };
        let give_up_at = self.deadline + DEADLINE_GRACE;
        let end = relay.pass_on(self.proxy, client, *answer, give_up_at).await;
        let counters = &self.proxy.counters;
        match end {
            RelayEnd::Whole => {
                counters.passed.add();
                self.held.outcome(SendEvent::Success.verdict(), true);
                Some(relay.after().into())
            }
            RelayEnd::ClientLeft => {
                counters.abandoned.add();
                Some(Done::Abandon)
            }
            RelayEnd::Broken => self.cut(client, relay),
        }
    }

    /// A success broke off. None if another replica may go on with it, or give it whole.
    fn cut(&mut self, client: &mut Client<'_>, mut relay: Relay) -> Option<Done> {
        let event = if relay.has_begun() { SendEvent::CutAnswer } else { SendEvent::BrokenInAnswer };
        let outcome = outcome::decide(self.kind(), event);
        let is_resumed = outcome.next == Next::Resume && self.may_resume(&mut relay);
        let is_sent_again = is_resumed || outcome.next == Next::SendAgain;
        self.held.outcome(outcome.verdict, !is_sent_again);
        if !is_sent_again {
            self.proxy.counters.broken.add();
            client.wire.reset_on_drop = relay.ends_with_connection();
            return Some(Done::Abandon);
        }
        if is_resumed {
            self.relay = Some(relay);
        }
        None
    }

    fn may_resume(&self, relay: &mut Relay) -> bool {
        relay.prepare_resume() && self.may_send() && Instant::now() < self.deadline
    }
}
