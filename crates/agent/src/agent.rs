//! The agent's parts and how they work together.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use snafu::Snafu;
use tulipridge_peer_sampling::{Exchange, View};
use tulipridge_protocol::feed::{ControlNode, SubscriberRole};
use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::peer_sampling::{Entry, Role};
use tulipridge_runtime::clock;
use tulipridge_runtime::settings::{Settings, SettingsError};
use tulipridge_runtime::signals::{ProcessSignal, SignalError, SignalStream};
use tulipridge_subscription::{Attempt, FeedStore, Identity, Publisher, Subscriber, Tolerance};

use crate::choice::HomeChoice;
use crate::shutdown::Shutdown;

/// Time between looks for a better home.
const REVIEW_EVERY: Duration = Duration::from_secs(1);
/// Time between looks whether the proxy is still there, while the agent ends.
const SHUTDOWN_POLL: Duration = Duration::from_millis(50);
/// Pause before a port that is taken is tried again, as where an earlier process is just ending.
const BIND_PAUSE: Duration = Duration::from_millis(100);
/// Earlier configurations kept for the proxy, which is rarely behind.
const REMEMBERED_CONFIGURATIONS: usize = 2;
/// Proxies beside this agent.
const GATEWAYS: u32 = 1;

/// Why an agent can't run.
#[derive(Debug, Snafu)]
pub enum AgentError {
    /// Signals can't be awaited.
    #[snafu(transparent)]
    Signals {
        /// Why.
        source: SignalError,
    },
}

/// The agent of one machine.
pub struct Agent {
    settings: Settings,
    choice: RefCell<HomeChoice>,
    /// How fresh the state was when the home was chosen.
    fresh_at_choice: Cell<Option<Duration>>,
    views: RefCell<Option<Rc<Exchange>>>,
    store: Rc<RefCell<FeedStore>>,
    subscriber: Rc<Subscriber>,
    publisher: Rc<Publisher>,
}

impl Agent {
    /// An agent that does nothing before it is started.
    #[must_use]
    pub fn new(settings: Settings) -> Rc<Self> {
        let store = Rc::new(RefCell::new(FeedStore::remembering(REMEMBERED_CONFIGURATIONS)));
        let identity = Identity {
            name: settings.node_name.clone(),
            zone: settings.area.clone(),
            role: SubscriberRole::Agent,
        };
        let subscriber =
            Subscriber::with_tolerance(identity, Rc::clone(&store), Tolerance::SEVERAL_PUBLISHERS);
        subscriber.set_gateways(GATEWAYS);
        let publisher = publish(&store, &subscriber);
        pass_waiting_on(&publisher, &subscriber);
        let choice =
            HomeChoice::new(settings.node_name.clone(), settings.area.clone(), settings.seed_ips());
        Rc::new(Agent {
            settings,
            choice: RefCell::new(choice),
            fresh_at_choice: Cell::new(None),
            views: RefCell::new(None),
            store,
            subscriber,
            publisher,
        })
    }

    /// Starts the agent's tasks.
    pub fn start(self: &Rc<Self>, executor: &'static LocalExecutor<'static>) {
        executor.spawn(Rc::clone(self).follow_home()).detach();
        executor.spawn(Rc::clone(self).review_home()).detach();
        executor.spawn(Rc::clone(self).exchange_views()).detach();
        executor.spawn(Rc::clone(self).serve_proxy(executor)).detach();
    }

    /// Does what the platform asks for, until the agent is to end.
    pub async fn attend(&self, mut requests: SignalStream) {
        while requests.next().await == ProcessSignal::Reload {
            self.reload(Settings::load());
        }
        log::info!("stopping");
        self.until_proxy_is_done().await;
    }

    /// Takes over what may change while the agent runs: the seeds.
    pub fn reload(&self, outcome: Result<Settings, SettingsError>) {
        let settings = match outcome {
            Ok(settings) => settings,
            Err(error) => {
                log::error!(error:% = error; "the settings stay as they were");
                return;
            }
        };
        let seeds = settings.seed_ips();
        log::info!(seeds = seeds.len(); "the settings were read again");
        if let Some(views) = &*self.views.borrow() {
            views.set_seeds(seeds.clone());
        }
        self.choice.borrow_mut().set_seeds(seeds);
    }

    /// How fresh the agent's state is.
    pub fn age(&self) -> Option<Duration> {
        self.subscriber.age(clock::now())
    }

    /// The home that is connected.
    pub fn home(&self) -> Option<SocketAddr> {
        self.subscriber.connected_to()
    }

    async fn follow_home(self: Rc<Self>) {
        let subscriber = Rc::clone(&self.subscriber);
        subscriber.run(move |attempt| self.choose(&attempt)).await;
    }

    fn choose(&self, attempt: &Attempt) -> Option<SocketAddr> {
        let now = clock::now();
        self.note_failure(attempt, now);
        self.fresh_at_choice.set(self.subscriber.fresh_as_of());
        let home = self.choice.borrow_mut().choose(&self.known(), now)?;
        Some(self.settings.feed_socket(home))
    }

    fn note_failure(&self, attempt: &Attempt, now: Duration) {
        let Some(ended) = &attempt.last else { return };
        if matches!(ended.reason, tulipridge_subscription::EndReason::Reselected) {
            return;
        }
        if let Some(member) = ipv4(ended.address) {
            let was_fresh = self.subscriber.fresh_as_of() > self.fresh_at_choice.get();
            self.choice.borrow_mut().failed(member, was_fresh, now);
        }
    }

    /// Members of the control plane, as the feed and the partial view name them.
    fn known(&self) -> Vec<ControlNode> {
        let mut known = self.views.borrow().as_ref().map(|views| views.control_nodes()).unwrap_or_default();
        known.extend(self.store.borrow().group().control.iter().cloned());
        known
    }

    /// Changes to a better home once one is known.
    async fn review_home(self: Rc<Self>) {
        loop {
            Timer::after(REVIEW_EVERY).await;
            let Some(current) = self.home().and_then(ipv4) else { continue };
            if self.choice.borrow().prefers_another(current, &self.known(), clock::now()) {
                self.subscriber.reselect();
            }
        }
    }

    async fn exchange_views(self: Rc<Self>) {
        let address = self.settings.peer_sampling_socket(self.settings.ip_address);
        // A process that starts again is another incarnation.
        let id = NodeId::new(self.settings.ip_address, fastrand::u64(1..));
        let me = Entry { id, role: Role::Agent, zone: self.settings.area.clone(), age: 0 };
        let views = until_bound(address, || {
            let view = View::new(me.clone(), self.settings.seed_ips(), fastrand::u64(..));
            Exchange::bind(address, view, fastrand::u64(..))
        })
        .await;
        let views = Rc::new(views);
        *self.views.borrow_mut() = Some(Rc::clone(&views));
        views.run().await;
    }

    async fn serve_proxy(self: Rc<Self>, executor: &LocalExecutor<'static>) {
        let address = self.settings.loopback_feed();
        let listener = until_bound(address, || Async::<TcpListener>::bind(address)).await;
        Rc::clone(&self.publisher).serve(listener, executor).await;
    }

    async fn until_proxy_is_done(&self) {
        let mut shutdown = Shutdown::new(clock::now(), self.settings.time_limits.leeway());
        while !shutdown.is_over(clock::now(), self.proxy_connected()) {
            Timer::after(SHUTDOWN_POLL).await;
        }
    }

    fn proxy_connected(&self) -> bool {
        self.publisher.subscribers().iter().any(|subscriber| subscriber.role == SubscriberRole::Proxy)
    }
}

/// Runs the agent until the platform ends it.
pub fn run(settings: Settings) -> Result<(), AgentError> {
    // One executor on one thread, which lives as long as the program.
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::default());
    let requests = SignalStream::new()?;
    let agent = Agent::new(settings);
    agent.start(executor);
    async_io::block_on(executor.run(agent.attend(requests)));
    Ok(())
}

/// Tells the home of the work that waits at replicas, as the proxy tells it.
fn pass_waiting_on(publisher: &Rc<Publisher>, subscriber: &Rc<Subscriber>) {
    let (told, subscriber) = (Rc::downgrade(publisher), Rc::clone(subscriber));
    publisher.on_waiting(move || {
        if let Some(publisher) = told.upgrade() {
            subscriber.set_waiting(publisher.waiting());
        }
    });
}

/// A publisher that passes on what the subscriber receives, with the subscriber's freshness.
fn publish(store: &Rc<RefCell<FeedStore>>, subscriber: &Rc<Subscriber>) -> Rc<Publisher> {
    let source = Rc::clone(subscriber);
    let publisher = Publisher::new(Rc::clone(store), Rc::new(move || source.age(clock::now())));
    let notified = Rc::clone(&publisher);
    subscriber.on_change(Box::new(move |_| notified.notify()));
    publisher
}

/// Tries to bind until it succeeds; only the first failure is logged.
async fn until_bound<T>(address: SocketAddr, bind: impl Fn() -> std::io::Result<T>) -> T {
    let mut logged = false;
    loop {
        match bind() {
            Ok(bound) => return bound,
            Err(error) if !logged => {
                log::warn!(address:% = address, error:% = error; "a port is not free yet");
                logged = true;
            }
            Err(_) => {}
        }
        Timer::after(BIND_PAUSE).await;
    }
}

fn ipv4(address: SocketAddr) -> Option<Ipv4Addr> {
    match address {
        SocketAddr::V4(address) => Some(*address.ip()),
        SocketAddr::V6(_) => None,
    }
}
