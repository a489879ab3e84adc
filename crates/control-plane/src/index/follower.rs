//! Follows one source by long polling for its cache events.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use snafu::{ResultExt, Snafu};
use tulipridge_http1::Http1Limits;
use tulipridge_prefix_cache_index::{
    CacheListing, CacheUpdate, Cursor, EventPage, Liveness, PollOutcome, SourceStatus,
};
use tulipridge_runtime::clock;

use super::outbox::{Outbox, Urgency};
use super::response::{ResponseError, parse_event_page, parse_listing};
use crate::http_client::{Call, CallError, HttpClient, Response};

/// Milliseconds for which a source may delay its response while it has no events.
const LONG_POLL_WAIT_MS: &str = "1000";
/// A source that is not known to be alive is to respond at once.
const NO_WAIT_MS: &str = "0";
/// Time for a complete response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time from the start of one poll of a replica to the start of the next.
const REPLICA_INTERVAL: Duration = Duration::from_millis(400);
/// The same for a store, from which all proxies fetch.
const STORE_INTERVAL: Duration = Duration::from_millis(300);
/// Delay after a failure.
const FAILURE_DELAY: Duration = Duration::from_millis(500);
/// Backoff after a response that the rate limit is exceeded.
const RATE_LIMIT_BACKOFF: Duration = Duration::from_secs(1);
/// Longest response that is read.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// HTTP status of a source whose rate limit is exceeded.
const TOO_MANY_REQUESTS: u16 = 429;

/// The kind of a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceKind {
    /// A store: after a gap it is resynced from a full listing.
    Store,
    /// A replica: a full listing would delay its requests, so after a gap it is not resynced.
    Replica,
}

impl SourceKind {
    fn poll_interval(self) -> Duration {
        match self {
            SourceKind::Store => STORE_INTERVAL,
            SourceKind::Replica => REPLICA_INTERVAL,
        }
    }
}

/// Why a poll of a source failed.
#[derive(Debug, Snafu)]
enum PollError {
    #[snafu(display("{source}"))]
    Call { source: CallError },
    #[snafu(display("{source}"))]
    Parse { source: ResponseError },
    #[snafu(display("the source answers with status {status}"))]
    Status { status: u16 },
}

/// Follows one source and queues the changes of its cache for delivery.
pub struct Follower {
    source: SocketAddrV4,
    kind: SourceKind,
    client: HttpClient,
    cursor: Option<Cursor>,
    liveness: Option<Liveness>,
    outbox: Rc<Outbox>,
}

impl Follower {
    /// Follows a source from its last known status; without one it is listed first.
    pub fn new(
        source: SocketAddrV4,
        kind: SourceKind,
        known: Option<SourceStatus>,
        outbox: Rc<Outbox>,
    ) -> Follower {
        let limits = Http1Limits {
            body_bytes: MAX_RESPONSE_BYTES,
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

    /// Polls the source; does not return.
    pub async fn run(mut self) {
        loop {
            let started_at = clock::now();
            let next = match self.poll().await {
                Ok(()) => started_at + self.kind.poll_interval(),
                Err(PollError::Status { status: TOO_MANY_REQUESTS }) => clock::now() + RATE_LIMIT_BACKOFF,
                Err(error) => {
                    self.record_failure(&error);
                    clock::now() + FAILURE_DELAY
                }
            };
            Timer::after(next.saturating_sub(clock::now())).await;
        }
    }

    async fn poll(&mut self) -> Result<(), PollError> {
        // Without a cursor, as after a loss of power at all members, a full listing is worth its cost, once.
        if self.cursor.is_none() {
            return self.resync().await;
        }
        match self.poll_events().await? {
            PollOutcome::Unchanged => {}
            PollOutcome::Update(update) => self.deliver(update),
            PollOutcome::Restarted(update) => self.restart(update).await?,
            PollOutcome::Gap(update) => self.recover_from_gap(update).await?,
        }
        self.record_success();
        Ok(())
    }

    /// Requests a page of events at the cursor.
    async fn poll_events(&mut self) -> Result<PollOutcome, PollError> {
        let page = self.request_events().await?;
        Ok(PollOutcome::of_page(self.source, self.cursor, &page))
    }

    /// Replaces all entries of the source by a full listing.
    async fn resync(&mut self) -> Result<(), PollError> {
        let listing = self.request_listing().await?;
        self.deliver(CacheUpdate::resync(self.source, listing));
        Ok(())
    }

    /// Voids the entries of a source that has restarted, and reads its events from the first one.
    async fn restart(&mut self, invalidation: CacheUpdate) -> Result<(), PollError> {
        self.deliver(invalidation);
        let outcome = self.poll_events().await?;
        if let PollOutcome::Update(update) | PollOutcome::Gap(update) = outcome {
            self.deliver(update);
        }
        Ok(())
    }

    /// Continues after lost events: a store from a full listing, a replica from the page alone.
    async fn recover_from_gap(&mut self, update: CacheUpdate) -> Result<(), PollError> {
        match self.kind {
            SourceKind::Store => self.resync().await,
            SourceKind::Replica => {
                self.deliver(update);
                Ok(())
            }
        }
    }

    /// Queues an update of a source that is alive, and advances the cursor to it.
    fn deliver(&mut self, update: CacheUpdate) {
        self.cursor = Some(update.cursor());
        let has_recovered = self.liveness.replace(Liveness::Alive) != Some(Liveness::Alive);
        if has_recovered {
            log::info!(source:% = self.source; "a source of KV cache answers");
        }
        let urgency = if has_recovered { Urgency::Immediate } else { Urgency::Batched };
        self.outbox.push(update, urgency);
    }

    /// Delivers that the source is alive, where a page without events has not.
    fn record_success(&mut self) {
        if let Some(cursor) = self.cursor.filter(|_| self.liveness != Some(Liveness::Alive)) {
            self.deliver(CacheUpdate::status(self.source, cursor, Liveness::Alive));
        }
    }

    fn record_failure(&mut self, error: &PollError) {
        let was_down = self.liveness.replace(Liveness::Down) == Some(Liveness::Down);
        if was_down {
            return;
        }
        log::warn!(source:% = self.source, error:% = error; "a source of KV cache does not answer");
        if let Some(cursor) = self.cursor {
            self.outbox.push(CacheUpdate::status(self.source, cursor, Liveness::Down), Urgency::Immediate);
        }
    }

    async fn request_events(&mut self) -> Result<EventPage, PollError> {
        let token = self.cursor.map_or(0, |cursor| cursor.next_token);
        let target = format!("/kv-events?startedAt={token}");
        let wait = if self.liveness == Some(Liveness::Alive) { LONG_POLL_WAIT_MS } else { NO_WAIT_MS };
        let headers = [("Wait-Ms", wait)];
        let response = self.call(Call { headers: &headers, ..Call::get(&target) }).await?;
        parse_event_page(&response.body).context(ParseSnafu)
    }

    async fn request_listing(&mut self) -> Result<CacheListing, PollError> {
        let response = self.call(Call::get("/kv-list")).await?;
        parse_listing(&response.body).context(ParseSnafu)
    }

    /// Calls the source. A pooled connection may have been closed meanwhile, so a call whose connection breaks is retried
    /// once on a new one.
    async fn call(&mut self, call: Call<'_>) -> Result<Response, PollError> {
        let outcome = match self.client.call(call, RESPONSE_TIMEOUT).await {
            Err(CallError::Broken { source, .. }) if source.kind() != io::ErrorKind::TimedOut => {
                self.client.call(call, RESPONSE_TIMEOUT).await
            }
            outcome => outcome,
        };
        let response = outcome.context(CallSnafu)?;
        match response.status {
            200 => Ok(response),
            status => StatusSnafu { status }.fail(),
        }
    }
}
