//! Follows one source: a long call for its events at a time.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use snafu::{ResultExt, Snafu};
use tulipridge_http1::Http1Limits;
use tulipridge_prefix_cache_index::{
    CacheListing, CacheUpdate, Cursor, EventPage, Liveness, PollOutcome, SourceStatus, follow, listed,
};
use tulipridge_runtime::clock;

use super::answer::{AnswerError, read_events, read_list};
use super::outbox::Outbox;
use crate::http_client::{Call, CallError, HttpClient, Response};

/// Time for which a source holds a call while it has nothing to tell.
const LONGEST_WAIT: &str = "1000";
/// A source that is not known to be alive answers at once.
const NO_WAIT: &str = "0";
/// Time for an answer to come whole.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time for a connection to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time from the start of a call of a replica to the start of the next.
const REPLICA_INTERVAL: Duration = Duration::from_millis(400);
/// The same at a store, which all gateways look to.
const STORE_INTERVAL: Duration = Duration::from_millis(300);
/// Pause after a failure.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);
/// Pause after a refusal for too many calls.
const REFUSAL_PAUSE: Duration = Duration::from_secs(1);
/// Longest answer that is read.
const ANSWER_BYTES: usize = 16 << 20;
/// A source's status for more calls than it accepts.
const TOO_MANY_CALLS: u16 = 429;

/// What kind of source is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceKind {
    /// A store, whose list is worth its price after a gap.
    Store,
    /// A replica, whose work a list would hold up.
    Replica,
}

impl SourceKind {
    fn interval(self) -> Duration {
        match self {
            SourceKind::Store => STORE_INTERVAL,
            SourceKind::Replica => REPLICA_INTERVAL,
        }
    }
}

#[derive(Debug, Snafu)]
enum FollowError {
    #[snafu(display("{source}"))]
    Call { source: CallError },
    #[snafu(display("{source}"))]
    Parse { source: AnswerError },
    #[snafu(display("the source answers with status {status}"))]
    Status { status: u16 },
}

/// Follows one source.
pub struct Follower {
    source: SocketAddrV4,
    kind: SourceKind,
    client: HttpClient,
    cursor: Option<Cursor>,
    liveness: Option<Liveness>,
    outbox: Rc<Outbox>,
}

impl Follower {
    /// Follows a source on from what is known of it.
    pub fn new(
        source: SocketAddrV4,
        kind: SourceKind,
        known: Option<SourceStatus>,
        outbox: Rc<Outbox>,
    ) -> Follower {
        let limits = Http1Limits {
            body_bytes: ANSWER_BYTES,
            connect_timeout: CONNECT_TIMEOUT,
            ..Http1Limits::default()
        };
        Follower {
            source,
            kind,
            client: HttpClient::new(SocketAddr::V4(source), limits),
            cursor: known.map(|status| status.cursor),
            liveness: known.map(|status| status.liveness),
            outbox,
        }
    }

    /// Follows it for ever.
    pub async fn run(mut self) {
        loop {
            let began = clock::now();
            let next = match self.round().await {
                Ok(()) => began + self.kind.interval(),
                Err(FollowError::Status { status: TOO_MANY_CALLS }) => clock::now() + REFUSAL_PAUSE,
                Err(error) => {
                    self.failed(&error);
                    clock::now() + FAILURE_PAUSE
                }
            };
            Timer::after(next.saturating_sub(clock::now())).await;
        }
    }

    async fn round(&mut self) -> Result<(), FollowError> {
        // Nothing is known of it, as after a loss of power everywhere: its list is worth the price, once.
        if self.cursor.is_none() {
            let listing = self.list().await?;
            self.take(listed(self.source, listing));
            return Ok(());
        }
        let page = self.events().await?;
        match follow(self.source, self.cursor, &page) {
            PollOutcome::Nothing => {}
            PollOutcome::Update(update) => self.take(update),
            PollOutcome::Restarted(update) => {
                self.take(update);
                let page = self.events().await?;
                if let PollOutcome::Update(update) | PollOutcome::Gap(update) =
                    follow(self.source, self.cursor, &page)
                {
                    self.take(update);
                }
            }
            PollOutcome::Gap(update) => match self.kind {
                SourceKind::Replica => self.take(update),
                SourceKind::Store => {
                    let listing = self.list().await?;
                    self.take(listed(self.source, listing));
                }
            },
        }
        self.answered();
        Ok(())
    }

    /// Delivers an update and goes on from it.
    fn take(&mut self, update: CacheUpdate) {
        self.cursor = Some(Cursor { boot: update.boot, next_token: update.next_token });
        let comes_back = self.liveness.replace(Liveness::Alive) != Some(Liveness::Alive);
        if comes_back {
            log::info!(source:% = self.source; "a source of KV cache answers");
        }
        self.outbox.push(update, comes_back);
    }

    /// The source answers, even where it has nothing to tell.
    fn answered(&mut self) {
        if let Some(cursor) = self.cursor.filter(|_| self.liveness != Some(Liveness::Alive)) {
            self.take(self.status_update(cursor, Liveness::Alive));
        }
    }

    fn failed(&mut self, error: &FollowError) {
        let is_news = self.liveness.replace(Liveness::Down) != Some(Liveness::Down);
        if !is_news {
            return;
        }
        log::warn!(source:% = self.source, error:% = error; "a source of KV cache does not answer");
        if let Some(cursor) = self.cursor {
            self.outbox.push(self.status_update(cursor, Liveness::Down), true);
        }
    }

    fn status_update(&self, cursor: Cursor, liveness: Liveness) -> CacheUpdate {
        CacheUpdate {
            source: self.source,
            boot: cursor.boot,
            next_token: cursor.next_token,
            liveness,
            replace: false,
            added: Vec::new(),
            removed: Vec::new(),
        }
    }

    async fn events(&mut self) -> Result<EventPage, FollowError> {
        let token = self.cursor.map_or(0, |cursor| cursor.next_token);
        let target = format!("/kv-events?startedAt={token}");
        let wait = if self.liveness == Some(Liveness::Alive) { LONGEST_WAIT } else { NO_WAIT };
        let headers = [("Wait-Ms", wait)];
        let answer = self.call(Call { headers: &headers, ..Call::get(&target) }).await?;
        read_events(&answer.body).context(ParseSnafu)
    }

    async fn list(&mut self) -> Result<CacheListing, FollowError> {
        let answer = self.call(Call::get("/kv-list")).await?;
        read_list(&answer.body).context(ParseSnafu)
    }

    /// A connection that breaks may just have been too old, so the call is made once more on a new one.
    async fn call(&mut self, call: Call<'_>) -> Result<Response, FollowError> {
        let answer = match self.client.call(call, ANSWER_TIMEOUT).await {
            Err(CallError::Broken { source, .. }) if source.kind() != io::ErrorKind::TimedOut => {
                self.client.call(call, ANSWER_TIMEOUT).await
            }
            outcome => outcome,
        };
        let answer = answer.context(CallSnafu)?;
        match answer.status {
            200 => Ok(answer),
            status => StatusSnafu { status }.fail(),
        }
    }
}
