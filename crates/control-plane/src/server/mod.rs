//! Puts the parts of a member together and runs them.

pub mod departure;
mod duties;
mod error;

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use snafu::{OptionExt, ResultExt};
use tulipridge_peer_sampling::{Exchange, View};
use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::peer_sampling::{Entry, Role};
use tulipridge_runtime::clock;
use tulipridge_runtime::settings::Settings;
use tulipridge_runtime::signals::{ProcessSignal, SignalStream};

use crate::api::{Api, ApiLimits};
use crate::control_plane::OperatorView;
use crate::delivery::Delivery;
use crate::discovery::Discovery;
use crate::disk::{Boot, DiskEvent, NoFolderSnafu, Opened};
use crate::index::KeptIndex;
use crate::links::Links;
use crate::machine::{Machine, Progress};
use crate::member::{Member, Parts};
use crate::replication::{Replication, ReplicationSettings};
use crate::rollout::{Event, PlannerSettings, Rollout};
use crate::singleton::{LeaseStatus, SingletonContext};

use duties::Duties;
pub use error::ServerError;
use error::{
    DiskEndedSnafu, DiskSnafu, ListenSnafu, MissingSettingSnafu, NoRandomSnafu, SignalsSnafu, StateSnafu,
    ThreadSnafu, ViewsSnafu,
};

/// How often the delivery looks who is primary and who takes part.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);
/// How often the work that waits at replicas is delivered, if it has changed.
const LOADS_INTERVAL: Duration = Duration::from_millis(50);
/// How often members that were found lately are made known to the agreement.
const VIEWS_INTERVAL: Duration = Duration::from_secs(1);
/// How often a member that was told to stop looks whether others still need it.
const DEPARTURE_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a member until a signal tells it to stop.
pub fn run(settings: Settings) -> Result<(), ServerError> {
    let requests = SignalStream::new().context(SignalsSnafu)?;
    async_io::block_on(run_until(&settings, wait_for_stop(requests)))
}

/// Runs a member until `stop` is ready, and a little longer, so that callers find its successor.
pub async fn run_until(settings: &Settings, stop: impl Future<Output = ()>) -> Result<(), ServerError> {
    let executor = Rc::new(LocalExecutor::new());
    let server = Server::build(settings, executor.clone())?;
    executor.run(server.run(stop)).await
}

/// A member, ready to run.
struct Server {
    executor: Rc<LocalExecutor<'static>>,
    member: Rc<Member>,
    links: Rc<Links>,
    delivery: Rc<Delivery>,
    operator: Rc<OperatorView>,
    api: Rc<Api<OperatorView>>,
    discovery: Option<Discovery>,
    kept_index: KeptIndex,
    rollout: Rollout,
    rollout_events: Sender<Event>,
    disk_events: Receiver<DiskEvent>,
    progress: Receiver<Progress>,
    views: Rc<Exchange>,
    listeners: Listeners,
    /// Time from the signal to stop until the process is killed.
    leeway: Duration,
}

struct Listeners {
    operator: Async<TcpListener>,
    control: Async<TcpListener>,
    feed: Async<TcpListener>,
}

impl Listeners {
    fn bind(settings: &Settings) -> Result<Listeners, ServerError> {
        let operator = settings.listen_on.control_port;
        let operator = operator.context(MissingSettingSnafu { field: "listenOn.controlPort" })?;
        Ok(Listeners {
            operator: listen(operator)?,
            control: listen(settings.control_socket(settings.ip_address))?,
            feed: listen(settings.feed_socket(settings.ip_address))?,
        })
    }
}

fn listen(address: SocketAddr) -> Result<Async<TcpListener>, ServerError> {
    Async::<TcpListener>::bind(address).context(ListenSnafu { address })
}

/// A member and what its threads tell.
struct OpenedMember {
    node: NodeId,
    member: Rc<Member>,
    links: Rc<Links>,
    disk_events: Receiver<DiskEvent>,
    progress: Receiver<Progress>,
}

impl OpenedMember {
    fn open(
        settings: &Settings,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> Result<OpenedMember, ServerError> {
        let (disk_sender, disk_events) = async_channel::unbounded();
        let (progress_sender, progress) = async_channel::unbounded();
        let folder = settings.data_folder.as_deref().context(NoFolderSnafu).context(DiskSnafu)?;
        let first_node = NodeId::new(settings.ip_address, 0);
        let boot = match settings.first_boot {
            true => Boot::First { view: replication_settings(settings, first_node)?.first_view() },
            false => Boot::Later,
        };
        let opened = Opened::open(folder, boot).context(DiskSnafu)?;
        let fresh = opened.fresh;
        let (disk, image) = opened.start(disk_sender).context(DiskSnafu)?;
        let node = NodeId::new(settings.ip_address, image.generation);
        log::info!(member:% = node, fresh = fresh; "the disk is open");
        let replication = replication_settings(settings, node)?;
        let links = Rc::new(Links::new(executor.clone(), settings.spare_ports.first));
        let member = Member::new(Parts {
            replication: Replication::new(replication, image.state, clock::now()),
            links: links.clone(),
            disk,
            machine: Machine::start(progress_sender).context(ThreadSnafu)?,
        });
        Ok(OpenedMember { node, member, links, disk_events, progress })
    }
}

impl Server {
    fn build(settings: &Settings, executor: Rc<LocalExecutor<'static>>) -> Result<Server, ServerError> {
        let listeners = Listeners::bind(settings)?;
        let OpenedMember { node, member, links, disk_events, progress } =
            OpenedMember::open(settings, &executor)?;
        let feed_port = settings.spare_ports.first + 1;
        let (name, zone) = (settings.node_name.clone(), settings.area.clone());
        let delivery = Delivery::new(name.clone(), zone, feed_port, member.clone());
        let operator = OperatorView::new(name.clone(), node, member.clone(), delivery.clone());
        let operator_port = settings.listen_on.control_port.map_or(0, |address| address.port());
        let api = Rc::new(Api::new(operator.clone(), operator_port, ApiLimits::default()));
        let context =
            SingletonContext { executor: executor.clone(), holder: member.clone(), table: Rc::default() };
        let duties = Rc::new(Duties {
            member: member.clone(),
            delivery: delivery.clone(),
            table: context.table.clone(),
        });
        let (rollout, rollout_events) =
            Rollout::new(name, planner_settings(settings), context.clone(), duties.clone());
        let kept_index = KeptIndex::new(context.clone(), duties.clone());
        let discovery = discovery(settings, context, duties, &rollout_events);
        Ok(Server {
            executor,
            member,
            links,
            delivery,
            operator,
            api,
            discovery,
            kept_index,
            rollout,
            rollout_events,
            disk_events,
            progress,
            views: Rc::new(views(settings, node)?),
            listeners,
            leeway: settings.time_limits.leeway(),
        })
    }

    async fn run(self, stop: impl Future<Output = ()>) -> Result<(), ServerError> {
        self.publish_to_delivery();
        let Server { executor, member, delivery, listeners, .. } = self;
        let taker = member.clone();
        let on_message = Rc::new(move |envelope| taker.on_message(envelope));
        let mut tasks = vec![
            executor.spawn(self.links.serve(listeners.control, on_message)),
            executor.spawn(member.clone().run()),
            executor.spawn(serve_feed(delivery.clone(), listeners.feed, executor.clone())),
            executor.spawn(delivery.clone().follow()),
            executor.spawn(review(member.clone(), delivery.clone())),
            executor.spawn(exchange_views(self.views.clone())),
            executor.spawn(follow_views(self.views, member.clone())),
            executor.spawn(self.operator.run()),
            executor.spawn(serve_api(self.api, listeners.operator, executor.clone())),
            executor.spawn(self.rollout.run()),
            executor.spawn(self.kept_index.run()),
            executor.spawn(deliver_loads(member.clone(), delivery.clone())),
        ];
        tasks.extend(self.discovery.map(|discovery| executor.spawn(discovery.run())));
        let failure = async {
            let reason = member.clone().follow_machine(self.progress).await;
            StateSnafu { reason }.fail()
        };
        let disk_failure = async {
            member.clone().follow_disk(self.disk_events).await;
            DiskEndedSnafu.fail()
        };
        let stop = async {
            stop.await;
            leave(&member, self.leeway).await;
            Ok(())
        };
        let end = future::or(stop, future::or(failure, disk_failure)).await;
        // The tasks hold the executor that holds them: its ports would stay taken.
        for task in tasks {
            task.cancel().await;
        }
        end
    }

    /// Has the agreed state delivered whenever it changes.
    fn publish_to_delivery(&self) {
        let (delivery, events) = (self.delivery.clone(), self.rollout_events.clone());
        self.member.on_published(Box::new(move |published| {
            if let Some(configuration) = &published.configuration {
                delivery.set_configuration(configuration.clone());
            }
            let _ = events.try_send(Event::Named);
        }));
    }
}

/// Gives the member's places in the view to others, and returns once its process may end.
async fn leave(member: &Member, leeway: Duration) {
    let since = clock::now();
    member.terminate();
    loop {
        let departure = member.departure();
        let waited = clock::now().saturating_sub(since);
        if departure::may_end(waited, leeway, departure) {
            log::info!(departure:? = departure, waited_ms = waited.as_millis() as u64; "the member leaves");
            return;
        }
        Timer::after(DEPARTURE_INTERVAL).await;
    }
}

fn replication_settings(settings: &Settings, node: NodeId) -> Result<ReplicationSettings, ServerError> {
    Ok(ReplicationSettings {
        node,
        zone: settings.area.clone(),
        seeds: settings.seed_ips().into_iter().map(|ip| NodeId::new(ip, 0)).collect(),
        losses: settings.withstand.machine_losses,
        first_boot: settings.first_boot,
        seed: getrandom::u64().context(NoRandomSnafu)?,
    })
}

fn planner_settings(settings: &Settings) -> PlannerSettings {
    PlannerSettings {
        revision_term: settings.time_limits.revision_term(),
        lease_term: settings.time_limits.lease_term(),
    }
}

fn discovery(
    settings: &Settings,
    context: SingletonContext,
    duties: Rc<Duties>,
    rollout_events: &Sender<Event>,
) -> Option<Discovery> {
    let cloud = settings.cloud_api.as_ref()?;
    let events = rollout_events.clone();
    let on_list = move || {
        duties.deliver_fleet();
        let _ = events.try_send(Event::Listed);
    };
    Some(Discovery::new(cloud.address, cloud.rate_per_s, context, Box::new(on_list)))
}

async fn serve_feed(
    delivery: Rc<Delivery>,
    listener: Async<TcpListener>,
    executor: Rc<LocalExecutor<'static>>,
) {
    delivery.serve(listener, &executor).await;
}

async fn serve_api(
    api: Rc<Api<OperatorView>>,
    listener: Async<TcpListener>,
    executor: Rc<LocalExecutor<'static>>,
) {
    api.serve(&executor, listener).await;
}

fn views(settings: &Settings, node: NodeId) -> Result<Exchange, ServerError> {
    let seed = getrandom::u64().context(NoRandomSnafu)?;
    let me = Entry { id: node, role: Role::Control, zone: settings.area.clone(), age: 0 };
    let address = settings.peer_sampling_socket(settings.ip_address);
    Exchange::bind(address, View::new(me, settings.seed_ips(), seed), seed).context(ViewsSnafu { address })
}

async fn exchange_views(views: Rc<Exchange>) {
    views.run().await;
}

/// Tells the agreement where other members may be found, for ever.
async fn follow_views(views: Rc<Exchange>, member: Rc<Member>) {
    let mut known = Vec::new();
    loop {
        let mut found: Vec<NodeId> = views.control_nodes().into_iter().map(|node| node.id).collect();
        found.sort_unstable();
        if found != known {
            member.on_known(found.clone());
            known = found;
        }
        Timer::after(VIEWS_INTERVAL).await;
    }
}

/// Keeps the delivery in line with who is primary and who takes part, for ever.
async fn review(member: Rc<Member>, delivery: Rc<Delivery>) {
    loop {
        delivery.review();
        if member.duty().is_some() {
            delivery.set_group(member.live_members());
        }
        Timer::after(REVIEW_INTERVAL).await;
    }
}

/// Delivers how much work waits at replicas, while this member is primary, for ever.
async fn deliver_loads(member: Rc<Member>, delivery: Rc<Delivery>) {
    loop {
        if let Some(duty) = member.duty() {
            delivery.deliver_loads(duty.epoch);
        }
        Timer::after(LOADS_INTERVAL).await;
    }
}

async fn wait_for_stop(mut requests: SignalStream) {
    while requests.next().await != ProcessSignal::Stop {
        log::info!("a change of the settings takes effect at the next start");
    }
}
