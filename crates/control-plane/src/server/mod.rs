//! The process of a member: its start, tasks and shutdown.

mod build;
pub mod departure;
mod error;
mod listeners;
mod periodic;
mod singleton_outputs;
mod start;

use std::future::Future;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::future;
use snafu::ResultExt;
use tulipridge_peer_sampling::Exchange;
use tulipridge_runtime::settings::Settings;
use tulipridge_runtime::signals::{ProcessSignal, SignalStream};

use crate::api::Api;
use crate::discovery::Discovery;
use crate::index::CacheFollowers;
use crate::member::Member;
use crate::member_feed::MemberFeed;
use crate::operator_service::OperatorService;
use crate::rollout::{Event, Rollout};

pub use error::ServerError;
use error::{DiskWriterEndedSnafu, SignalsSnafu};
use listeners::Listeners;
use start::StartedMember;

/// Runs a member until a signal stops it.
///
/// # Errors
///
/// If the member can't start, or fails while it runs.
pub fn run(settings: Settings) -> Result<(), ServerError> {
    let signals = SignalStream::new().context(SignalsSnafu)?;
    async_io::block_on(run_until(&settings, wait_for_stop(signals)))
}

/// Runs a member until `stop` completes, and then until its [`departure`] is complete.
///
/// # Errors
///
/// If the member can't start, or fails while it runs.
pub async fn run_until(settings: &Settings, stop: impl Future<Output = ()>) -> Result<(), ServerError> {
    let executor = Rc::new(LocalExecutor::new());
    let server = Server::build(settings, executor.clone())?;
    executor.run(server.run(stop)).await
}

async fn wait_for_stop(mut signals: SignalStream) {
    while signals.next().await != ProcessSignal::Stop {
        log::info!("changed settings take effect at the next start");
    }
}

/// An assembled member that is ready to run.
struct Server {
    executor: Rc<LocalExecutor<'static>>,
    started: StartedMember,
    member_feed: Rc<MemberFeed>,
    operator: Rc<OperatorService>,
    api: Rc<Api<OperatorService>>,
    singleton_roles: SingletonRoles,
    peer_sampling: Rc<Exchange>,
    listeners: Listeners,
    /// Time from the stop signal until the process is killed.
    termination_grace_period: Duration,
}

/// The roles that act only while this member has the singleton lease.
struct SingletonRoles {
    discovery: Option<Discovery>,
    cache_followers: CacheFollowers,
    rollout: Rollout,
    rollout_events: Sender<Event>,
}

impl Server {
    async fn run(self, stop: impl Future<Output = ()>) -> Result<(), ServerError> {
        self.publish_to_member_feed();
        let Server { executor, started, member_feed, .. } = self;
        let StartedMember { member, links, disk_events, state_machine_events, .. } = started;
        let SingletonRoles { discovery, cache_followers, rollout, .. } = self.singleton_roles;
        let receiver = member.clone();
        let on_message = Rc::new(move |envelope| receiver.on_message(envelope));
        let mut tasks = vec![
            executor.spawn(links.serve(self.listeners.control, on_message)),
            executor.spawn(member.clone().run()),
            executor.spawn(serve_feed(member_feed.clone(), self.listeners.feed, executor.clone())),
            executor.spawn(member_feed.clone().follow()),
            executor.spawn(periodic::review_member_feed(member.clone(), member_feed.clone())),
            executor.spawn(exchange_views(self.peer_sampling.clone())),
            executor.spawn(periodic::update_discovered_members(self.peer_sampling, member.clone())),
            executor.spawn(self.operator.run()),
            executor.spawn(serve_api(self.api, self.listeners.operator, executor.clone())),
            executor.spawn(rollout.run()),
            executor.spawn(cache_followers.run()),
            executor.spawn(periodic::deliver_loads(member.clone(), member_feed)),
        ];
        tasks.extend(discovery.map(|discovery| executor.spawn(discovery.run())));
        let state_machine_failure = async {
            let source = member.clone().run_state_machine_events(state_machine_events).await;
            Err(ServerError::StateMachineStopped { source })
        };
        let disk_failure = async {
            member.clone().run_disk_events(disk_events).await;
            DiskWriterEndedSnafu.fail()
        };
        let departure = stop_and_depart(stop, &member, self.termination_grace_period);
        let end = future::or(departure, future::or(state_machine_failure, disk_failure)).await;
        // The tasks and the executor own each other, so without this the ports would stay bound.
        for task in tasks {
            task.cancel().await;
        }
        end
    }

    /// Passes the published state to the member feed and the rollout whenever it changes.
    fn publish_to_member_feed(&self) {
        let (member_feed, events) = (self.member_feed.clone(), self.singleton_roles.rollout_events.clone());
        self.started.member.on_published(Box::new(move |published| {
            if let Some(configuration) = &published.configuration {
                member_feed.set_configuration(configuration.clone());
            }
            let _ = events.try_send(Event::TargetsAnnounced);
        }));
    }
}

async fn stop_and_depart(
    stop: impl Future<Output = ()>,
    member: &Member,
    termination_grace_period: Duration,
) -> Result<(), ServerError> {
    stop.await;
    departure::depart(member, termination_grace_period).await;
    Ok(())
}

async fn serve_feed(
    member_feed: Rc<MemberFeed>,
    listener: Async<TcpListener>,
    executor: Rc<LocalExecutor<'static>>,
) {
    member_feed.serve(listener, &executor).await;
}

async fn serve_api(
    api: Rc<Api<OperatorService>>,
    listener: Async<TcpListener>,
    executor: Rc<LocalExecutor<'static>>,
) {
    api.serve(&executor, listener).await;
}

async fn exchange_views(peer_sampling: Rc<Exchange>) {
    peer_sampling.run().await;
}
