//! Assembly of a member's components.

use std::rc::Rc;

use async_channel::Sender;
use async_executor::LocalExecutor;
use snafu::ResultExt;
use tulipridge_peer_sampling::{Exchange, View};
use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::peer_sampling::{Entry, Role};
use tulipridge_runtime::settings::Settings;

use super::error::{BindPeerSamplingSnafu, RandomNumberSnafu, ServerError};
use super::listeners::Listeners;
use super::singleton_outputs::SingletonOutputs;
use super::start::StartedMember;
use super::{Server, SingletonRoles};
use crate::api::{Api, ApiLimits};
use crate::discovery::Discovery;
use crate::index::CacheFollowers;
use crate::member_feed::MemberFeed;
use crate::operator_service::OperatorService;
use crate::rollout::{Event, PlannerSettings, Rollout};
use crate::singleton::SingletonContext;

impl Server {
    /// Binds the listeners, starts the member and creates the services around it.
    ///
    /// # Errors
    ///
    /// If an address can't be bound, or the disk, a thread or a random number is unavailable.
    pub(super) fn build(
        settings: &Settings,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Result<Server, ServerError> {
        let listeners = Listeners::bind(settings)?;
        let started = StartedMember::start(settings, &executor)?;
        let member_feed = member_feed(settings, &started);
        let operator = operator_service(settings, &started, &member_feed);
        let api = api(settings, &operator);
        let singleton_roles = SingletonRoles::build(settings, &executor, &started, &member_feed);
        let peer_sampling = Rc::new(peer_sampling(settings, started.node)?);
        Ok(Server {
            executor,
            started,
            member_feed,
            operator,
            api,
            singleton_roles,
            peer_sampling,
            listeners,
            termination_grace_period: settings.time_limits.leeway(),
        })
    }
}

fn member_feed(settings: &Settings, started: &StartedMember) -> Rc<MemberFeed> {
    let feed_port = settings.spare_ports.first + 1;
    MemberFeed::new(settings.node_name.clone(), settings.area.clone(), feed_port, started.member.clone())
}

fn operator_service(
    settings: &Settings,
    started: &StartedMember,
    member_feed: &Rc<MemberFeed>,
) -> Rc<OperatorService> {
    OperatorService::new(
        settings.node_name.clone(),
        started.node,
        started.member.clone(),
        member_feed.clone(),
    )
}

fn api(settings: &Settings, operator: &Rc<OperatorService>) -> Rc<Api<OperatorService>> {
    let port = settings.listen_on.control_port.map_or(0, |address| address.port());
    Rc::new(Api::new(operator.clone(), port, ApiLimits::default()))
}

impl SingletonRoles {
    fn build(
        settings: &Settings,
        executor: &Rc<LocalExecutor<'static>>,
        started: &StartedMember,
        member_feed: &Rc<MemberFeed>,
    ) -> SingletonRoles {
        let context = SingletonContext {
            executor: executor.clone(),
            lease_status: started.member.clone(),
            table: Rc::default(),
        };
        let outputs = Rc::new(SingletonOutputs {
            member: started.member.clone(),
            member_feed: member_feed.clone(),
            table: context.table.clone(),
        });
        let (rollout, rollout_events) = Rollout::new(
            settings.node_name.clone(),
            planner_settings(settings),
            context.clone(),
            outputs.clone(),
        );
        let cache_followers = CacheFollowers::new(context.clone(), outputs.clone());
        let discovery = discovery(settings, context, outputs, &rollout_events);
        SingletonRoles { discovery, cache_followers, rollout, rollout_events }
    }
}

fn planner_settings(settings: &Settings) -> PlannerSettings {
    PlannerSettings {
        revision_term: settings.time_limits.revision_term(),
        lease_term: settings.time_limits.lease_term(),
    }
}

/// Creates the discovery of replicas; `None` if the settings name no list service.
fn discovery(
    settings: &Settings,
    context: SingletonContext,
    outputs: Rc<SingletonOutputs>,
    rollout_events: &Sender<Event>,
) -> Option<Discovery> {
    let cloud = settings.cloud_api.as_ref()?;
    let events = rollout_events.clone();
    let on_list = move || {
        outputs.deliver_list();
        let _ = events.try_send(Event::Listed);
    };
    Some(Discovery::new(cloud.address, cloud.rate_per_s, context, Box::new(on_list)))
}

fn peer_sampling(settings: &Settings, node: NodeId) -> Result<Exchange, ServerError> {
    let seed = getrandom::u64().context(RandomNumberSnafu)?;
    let own_entry = Entry { id: node, role: Role::Control, zone: settings.area.clone(), age: 0 };
    let address = settings.peer_sampling_socket(settings.ip_address);
    let view = View::new(own_entry, settings.seed_ips(), seed);
    Exchange::bind(address, view, seed).context(BindPeerSamplingSnafu { address })
}
