//! Follows one source of cache events by long polling.

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

/// Maximum time, in milliseconds, for which a source may delay its response while it has no events.
const LONG_POLL_WAIT_MS: &str = "1000";
/// Maximum delay, in milliseconds, for a source that is not known to be alive: it should respond at once.
const NO_WAIT_MS: &str = "0";
/// Timeout for the complete response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Minimum interval between the starts of two polls of a replica.
const REPLICA_INTERVAL: Duration = Duration::from_millis(400);
/// Minimum interval between the starts of two polls of a store. It is shorter because the replicas of all gateways load
/// cache entries from stores.
const STORE_INTERVAL: Duration = Duration::from_millis(300);
/// Delay after a failed poll.
const FAILURE_DELAY: Duration = Duration::from_millis(500);
/// Backoff after a source has reported that its rate limit is exceeded.
const RATE_LIMIT_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// HTTP status with which a source reports that its rate limit is exceeded.
const TOO_MANY_REQUESTS: u16 = 429;

/// The kind of a source, which determines its poll interval and what follows a gap in its events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceKind {
    /// A store. After a gap in its events it is resynced from a full listing.
    Store,
    /// A replica. It is not resynced after a gap, because a full listing would delay its requests.
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
    #[snafu(display("the source responded with status {status}"))]
    Status { status: u16 },
}

/// Follows one source and queues updates of its cache entries for delivery.
pub struct Follower {
    source: SocketAddrV4,
    kind: SourceKind,
    client: HttpClient,
    cursor: Option<Cursor>,
    liveness: Option<Liveness>,
    outbox: Rc<Outbox>,
}

impl Follower {
    /// Creates a follower that continues from the last known status of the source, or starts with a full listing if
    /// there is none.
    pub fn new(
        source: SocketAddrV4,
        kind: SourceKind,
        known_status: Option<SourceStatus>,
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
            cursor: known_status.map(|status| status.cursor),
            liveness: known_status.map(|status| status.liveness),
            outbox,
        }
    }

    /// Polls the source; does not return.
    pub async fn run(mut self) {
        loop {
            let started_at = clock::now();
            let next_poll_at = match self.poll().await {
                Ok(()) => started_at + self.kind.poll_interval(),
                Err(PollError::Status { status: TOO_MANY_REQUESTS }) => clock::now() + RATE_LIMIT_BACKOFF,
                Err(error) => {
                    self.record_failure(&error);
                    clock::now() + FAILURE_DELAY
                }
            };
            Timer::after(next_poll_at.saturating_sub(clock::now())).await;
        }
    }

    async fn poll(&mut self) -> Result<(), PollError> {
        // Without a cursor, for example after a power loss of all members, one full listing is worth its cost even
        // for a replica.
        if self.cursor.is_none() {
            return self.resync().await;
        }
        match self.poll_events().await? {
            PollOutcome::Unchanged => {}
            PollOutcome::Update(update) => self.queue_update(update),
            PollOutcome::Restarted(update) => self.restart(update).await?,
            PollOutcome::Gap(update) => self.recover_from_gap(update).await?,
        }
        self.record_success();
        Ok(())
    }

    /// Requests a page of events from the cursor on.
    async fn poll_events(&mut self) -> Result<PollOutcome, PollError> {
        let page = self.request_events().await?;
        Ok(PollOutcome::of_page(self.source, self.cursor, &page))
    }

    /// Replaces all entries of the source with those of a full listing.
    async fn resync(&mut self) -> Result<(), PollError> {
        let listing = self.request_listing().await?;
        self.queue_update(CacheUpdate::resync(self.source, listing));
        Ok(())
    }

    /// Invalidates the entries of a source that has restarted, and requests its events from the first one.
    async fn restart(&mut self, invalidation: CacheUpdate) -> Result<(), PollError> {
        self.queue_update(invalidation);
        let outcome = self.poll_events().await?;
        if let PollOutcome::Update(update) | PollOutcome::Gap(update) = outcome {
            self.queue_update(update);
        }
        Ok(())
    }

    /// Recovers from lost events. For a store, requests a full listing. For a replica, keeps only the entries of the
    /// received page.
    async fn recover_from_gap(&mut self, update: CacheUpdate) -> Result<(), PollError> {
        match self.kind {
            SourceKind::Store => self.resync().await,
            SourceKind::Replica => {
                self.queue_update(update);
                Ok(())
            }
        }
    }

    /// Queues an update of the source, marks it as alive, and advances the cursor to that of the update.
    fn queue_update(&mut self, update: CacheUpdate) {
        self.cursor = Some(update.cursor());
        let is_newly_alive = self.liveness.replace(Liveness::Alive) != Some(Liveness::Alive);
        if is_newly_alive {
            log::info!(source:% = self.source; "a KV cache source is reachable again");
        }
        let urgency = if is_newly_alive { Urgency::Immediate } else { Urgency::Batched };
        self.outbox.push(update, urgency);
    }

    /// Queues an update that the source is alive, if the poll had no update that says so.
    fn record_success(&mut self) {
        if let Some(cursor) = self.cursor.filter(|_| self.liveness != Some(Liveness::Alive)) {
            self.queue_update(CacheUpdate::status(self.source, cursor, Liveness::Alive));
        }
    }

    fn record_failure(&mut self, error: &PollError) {
        let was_down = self.liveness.replace(Liveness::Down) == Some(Liveness::Down);
        if was_down {
            return;
        }
        log::warn!(source:% = self.source, error:% = error; "a KV cache source is unreachable");
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

    /// Calls the source. The source may have closed the pooled connection since the last call, so a call whose
    /// connection breaks is retried once on a new one. A call that timed out is not retried.
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
