//! Service discovery: polls the platform's paged replica list while this member is primary.
//!
//! Discovery is a singleton role: the platform's rate limit applies to all members together, so only the primary
//! within its lease polls. A list is used only if all of its pages were fetched in one poll.

mod page;
mod schedule;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use snafu::{ResultExt, Snafu};
use tulipridge_http1::Http1Limits;
use tulipridge_protocol::feed::Replica;
use tulipridge_runtime::clock;

pub use page::{Page, PageError};
pub use schedule::{PollOutcome, PollSchedule};

use crate::http_client::{Call, CallError, HttpClient};
use crate::singleton::{SingletonContext, SingletonLease};

/// Timeout for a complete page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval at which the lease is checked while another member is primary.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum size of a page.
const MAX_PAGE_BYTES: usize = 8 << 20;
/// Maximum number of malformed entries that are remembered so that each is logged only once. When it is reached, all
/// are forgotten and may be logged again.
const MAX_LOGGED_ENTRIES: usize = 256;

/// Why a poll of the list failed.
#[derive(Debug, Snafu)]
enum PollError {
    #[snafu(display("{source}"))]
    Call { source: CallError },
    #[snafu(display("{source}"))]
    Parse { source: PageError },
    #[snafu(display("the platform responded with status {status}"))]
    Status { status: u16 },
    #[snafu(display("the lease was lost while the replica list was fetched"))]
    LeaseLost,
}

/// HTTP status with which the platform reports that its rate limit is exceeded.
const TOO_MANY_REQUESTS: u16 = 429;

/// Polls the list while this member is primary.
pub struct Discovery {
    context: SingletonContext,
    on_list: Box<dyn Fn()>,
    client: HttpClient,
    schedule: PollSchedule,
    /// The earliest time of the next call.
    next_call: Duration,
    /// Malformed entries that have been logged.
    logged_entries: BTreeSet<String>,
    /// Whether the last poll failed.
    is_failing: bool,
}

impl Discovery {
    /// Creates the discovery from the platform at `address`, which accepts `rate_per_second` calls from all its
    /// clients together. Each complete list replaces the one in the table, and then `on_list` is called.
    #[must_use]
    pub fn new(
        address: SocketAddr,
        rate_per_second: f64,
        context: SingletonContext,
        on_list: Box<dyn Fn()>,
    ) -> Discovery {
        let limits = Http1Limits {
            body_bytes: MAX_PAGE_BYTES,
            connect_timeout: CONNECT_TIMEOUT,
            ..Http1Limits::default()
        };
        let now = clock::now();
        Discovery {
            context,
            on_list,
            client: HttpClient::new(address, limits),
            schedule: PollSchedule::new(rate_per_second, now),
            next_call: now,
            logged_entries: BTreeSet::new(),
            is_failing: false,
        }
    }

    /// Polls the list while this member is primary; does not return.
    pub async fn run(mut self) {
        loop {
            let Some(lease) = self.context.lease_status.singleton_lease() else {
                Timer::after(LEASE_CHECK_INTERVAL).await;
                continue;
            };
            let started = clock::now();
            let outcome = self.poll(lease).await;
            let now = clock::now();
            let next = self.schedule.next_poll(started, now, outcome);
            Timer::after(next.saturating_sub(now)).await;
        }
    }

    async fn poll(&mut self, lease: SingletonLease) -> PollOutcome {
        let result = self.fetch_list(lease).await;
        self.log_health_change(result.as_ref().err());
        match result {
            Ok(replicas) => self.publish(lease, replicas),
            Err(PollError::Status { status: TOO_MANY_REQUESTS }) => PollOutcome::RateLimited,
            Err(_) => PollOutcome::Failed,
        }
    }

    fn publish(&mut self, lease: SingletonLease, replicas: Vec<Replica>) -> PollOutcome {
        let has_changed = self.context.table.borrow_mut().replace(lease.tenure, replicas);
        (self.on_list)();
        if has_changed { PollOutcome::Changed } else { PollOutcome::Unchanged }
    }

    /// Fetches all pages of the list.
    async fn fetch_list(&mut self, lease: SingletonLease) -> Result<Vec<Replica>, PollError> {
        let mut replicas = Vec::new();
        let mut token = None;
        loop {
            let page = self.request_page(lease, token.as_deref()).await?;
            replicas.extend(page.replicas);
            self.log_malformed(page.malformed);
            token = page.next_token;
            if token.is_none() {
                return if self.has_lease(lease) { Ok(replicas) } else { LeaseLostSnafu.fail() };
            }
        }
    }

    async fn request_page(
        &mut self,
        lease: SingletonLease,
        token: Option<&str>,
    ) -> Result<Page, PollError> {
        Timer::after(self.next_call.saturating_sub(clock::now())).await;
        if !self.has_lease(lease) {
            return LeaseLostSnafu.fail();
        }
        self.next_call = clock::now() + self.schedule.call_interval();
        let target = page::page_target(token);
        let response = self.client.call(Call::get(&target), PAGE_TIMEOUT).await.context(CallSnafu)?;
        match response.status {
            200 => Page::parse(&response.body).context(ParseSnafu),
            status => StatusSnafu { status }.fail(),
        }
    }

    /// Whether this member has remained primary without interruption since it held `lease`.
    fn has_lease(&self, lease: SingletonLease) -> bool {
        self.context.lease_status.singleton_lease().is_some_and(|present| present.tenure == lease.tenure)
    }

    fn log_malformed(&mut self, entries: Vec<String>) {
        for entry in entries {
            if self.logged_entries.len() >= MAX_LOGGED_ENTRIES {
                self.logged_entries.clear();
            }
            if self.logged_entries.insert(entry.clone()) {
                log::warn!(entry:% = entry; "a malformed entry of the replica list is ignored");
            }
        }
    }

    fn log_health_change(&mut self, error: Option<&PollError>) {
        match error {
            Some(error) if !self.is_failing => {
                log::warn!(error:% = error; "failed to fetch the replica list");
            }
            None if self.is_failing => log::info!("the replica list is available again"),
            _ => {}
        }
        self.is_failing = error.is_some();
    }
}
