//! The duty of following the platform's list of replicas.

mod list;
mod pace;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use snafu::{ResultExt, Snafu};
use tulipridge_http1::Http1Limits;
use tulipridge_protocol::feed::Replica;
use tulipridge_runtime::clock;

pub use list::{Page, PageError};
pub use pace::{Pace, WalkEnd};

use crate::http_client::{Call, CallError, HttpClient};
use crate::singleton::{SingletonContext, SingletonLease};

/// Time for a page to come whole.
const PAGE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time from one look at who has the duty to the next, while another member has it.
const DUTY_INTERVAL: Duration = Duration::from_millis(200);
/// Longest page that is read.
const PAGE_BYTES: usize = 8 << 20;
/// Entries that can't be read and of which the log was told; more are told again.
const KNOWN_UNREADABLE: usize = 256;

/// Why the list could not be walked to its end.
#[derive(Debug, Snafu)]
enum WalkError {
    #[snafu(display("{source}"))]
    Call { source: CallError },
    #[snafu(display("{source}"))]
    Parse { source: PageError },
    #[snafu(display("the platform answers with status {status}"))]
    Status { status: u16 },
    #[snafu(display("the duty of following the list was lost"))]
    LeaseLost,
}

/// The platform's status for more calls than it accepts.
const TOO_MANY_CALLS: u16 = 429;

/// Follows the list while this member has the duty.
pub struct Discovery {
    context: SingletonContext,
    on_list: Box<dyn Fn()>,
    client: HttpClient,
    pace: Pace,
    next_call: Duration,
    unreadable: BTreeSet<String>,
    failing: bool,
}

impl Discovery {
    /// Calls the platform at `address`, at most `rate_per_second` times. Each complete list goes into the table,
    /// and `on_list` is called.
    #[must_use]
    pub fn new(
        address: SocketAddr,
        rate_per_second: f64,
        context: SingletonContext,
        on_list: Box<dyn Fn()>,
    ) -> Discovery {
        let limits = Http1Limits {
            body_bytes: PAGE_BYTES,
            connect_timeout: Duration::from_millis(400),
            ..Http1Limits::default()
        };
        let now = clock::now();
        Discovery {
            context,
            on_list,
            client: HttpClient::new(address, limits),
            pace: Pace::new(rate_per_second, now),
            next_call: now,
            unreadable: BTreeSet::new(),
            failing: false,
        }
    }

    /// Follows the list for ever.
    pub async fn run(mut self) {
        loop {
            let Some(duty) = self.context.lease_status.singleton_lease() else {
                Timer::after(DUTY_INTERVAL).await;
                continue;
            };
            let began = clock::now();
            let end = self.round(duty).await;
            let now = clock::now();
            let next = self.pace.next_walk(began, now, end);
            Timer::after(next.saturating_sub(now)).await;
        }
    }

    async fn round(&mut self, duty: SingletonLease) -> WalkEnd {
        let outcome = self.walk(duty).await;
        self.log_change_of_health(outcome.as_ref().err());
        match outcome {
            Ok(list) => self.take(duty, list),
            Err(WalkError::Status { status: TOO_MANY_CALLS }) => WalkEnd::Refused,
            Err(_) => WalkEnd::Failed,
        }
    }

    fn take(&mut self, duty: SingletonLease, list: Vec<Replica>) -> WalkEnd {
        let changed = self.context.table.borrow_mut().replace(duty.tenure, list);
        (self.on_list)();
        if changed { WalkEnd::Changed } else { WalkEnd::Unchanged }
    }

    /// Reads all pages; the list counts only whole.
    async fn walk(&mut self, duty: SingletonLease) -> Result<Vec<Replica>, WalkError> {
        let mut replicas = Vec::new();
        let mut token = None;
        loop {
            let page = self.page(duty, token.as_deref()).await?;
            replicas.extend(page.replicas);
            self.log_unreadable(page.unreadable);
            token = page.next_token;
            if token.is_none() {
                return if self.still_has(duty) { Ok(replicas) } else { LeaseLostSnafu.fail() };
            }
        }
    }

    async fn page(&mut self, duty: SingletonLease, token: Option<&str>) -> Result<Page, WalkError> {
        Timer::after(self.next_call.saturating_sub(clock::now())).await;
        if !self.still_has(duty) {
            return LeaseLostSnafu.fail();
        }
        self.next_call = clock::now() + self.pace.page_gap();
        let target = list::page_target(token);
        let answer = self.client.call(Call::get(&target), PAGE_TIMEOUT).await.context(CallSnafu)?;
        match answer.status {
            200 => Page::parse(&answer.body).context(ParseSnafu),
            status => StatusSnafu { status }.fail(),
        }
    }

    fn still_has(&self, duty: SingletonLease) -> bool {
        self.context.lease_status.singleton_lease().is_some_and(|now| now.tenure == duty.tenure)
    }

    fn log_unreadable(&mut self, entries: Vec<String>) {
        for entry in entries {
            if self.unreadable.len() >= KNOWN_UNREADABLE {
                self.unreadable.clear();
            }
            if self.unreadable.insert(entry.clone()) {
                log::warn!(entry:% = entry; "an entry of the list of replicas can't be read and is left out");
            }
        }
    }

    fn log_change_of_health(&mut self, error: Option<&WalkError>) {
        match error {
            Some(error) if !self.failing => {
                log::warn!(error:% = error; "the list of replicas can't be read");
            }
            None if self.failing => log::info!("the list of replicas can be read again"),
            _ => {}
        }
        self.failing = error.is_some();
    }
}
