//! Complete members in the test process: configuration on the feed, recovery after a stop, the status of every
//! member, and errors that prevent a start.

use std::cell::RefCell;
use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use futures_lite::future;
use rstest::rstest;
use serde_json::{Value, json};
use tulipridge_configuration::number::Revision;
use tulipridge_control_plane::http_client::{Call, HttpClient, Response};
use tulipridge_control_plane::member::compaction::COMPACT_AFTER_COMMANDS;
use tulipridge_control_plane::server::run_until;
use tulipridge_http1::{Http1Limits, within};
use tulipridge_protocol::feed::SubscriberRole;
use tulipridge_runtime::settings::Settings;
use tulipridge_subscription::{FeedStore, Subscriber, SubscriberIdentity, clock};

/// The last byte of the first member's address on the loopback network. Each member has an address that no other
/// program uses, so that free ports stay free.
const FIRST_ADDRESS: u8 = 77;
/// The last byte of the next member's address.
static NEXT_ADDRESS: AtomicU8 = AtomicU8::new(FIRST_ADDRESS);
/// Number of consecutive spare ports that a member listens on.
const SPARE_PORTS: u16 = 4;
/// Timeout of a test.
const TEST_TIMEOUT: Duration = Duration::from_secs(9);
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

const REVISION: u64 = 3;
const CONFIGURATION: &str = r#"{"revision":3,"routes":[{"label":"r","hostname":"a.example","pathStart":"/r/","sort":"harmless","timeLimitMs":1000,"backend":"chat"}],"backends":[{"label":"chat"}],"note":"kept"}"#;

/// A machine with the data folder and the ports of its member.
struct Machine {
    folder: PathBuf,
    operator: SocketAddr,
    seeds: Vec<SocketAddr>,
    first_spare: u16,
}

impl Machine {
    fn new() -> Machine {
        Machine::group(1).remove(0)
    }

    /// The machines of one deployment, which use the same ports.
    fn group(count: u8) -> Vec<Machine> {
        let first = NEXT_ADDRESS.fetch_add(count, Ordering::Relaxed);
        let addresses: Vec<Ipv4Addr> =
            (first..first + count).map(|byte| Ipv4Addr::new(127, 0, 0, byte)).collect();
        let operator_port = free_ports(&addresses, 1);
        let first_spare = free_ports(&addresses, SPARE_PORTS);
        let seeds: Vec<SocketAddr> =
            addresses.iter().map(|address| SocketAddr::from((*address, operator_port))).collect();
        let machine = |operator: &SocketAddr| {
            let folder = format!("member-process-{}-{}", std::process::id(), operator.ip());
            let folder = std::env::temp_dir().join(folder);
            Machine { folder, operator: *operator, seeds: seeds.clone(), first_spare }
        };
        seeds.iter().map(machine).collect()
    }

    fn settings(&self, first_boot: bool) -> Settings {
        let (folder, operator, seeds) = (self.folder.display(), self.operator, &self.seeds);
        let (address, first) = (operator.ip(), self.first_spare);
        let last = first + SPARE_PORTS - 1;
        let text = format!(
            "nodeName: middle-1\nipAddress: {address}\narea: a\nsparePorts: [{first}, {last}]\n\
             listenOn: {{controlPort: '{operator}'}}\nseedNodes: {seeds:?}\n\
             firstBoot: {first_boot}\ndataFolder: {folder}\nwithstand: {{machineLosses: 0}}\n"
        );
        Settings::parse(&text).expect("valid settings")
    }

    /// Calls the operator's API until it responds with 200.
    async fn call(&self, call: Call<'_>) -> Response {
        loop {
            if let Some(response) = self.call_once(call).await {
                return response;
            }
        }
    }

    /// Makes a call and returns the response if its status is 200.
    async fn call_once(&self, call: Call<'_>) -> Option<Response> {
        future::yield_now().await;
        let mut client = HttpClient::new(self.operator, Http1Limits::default());
        client.call(call, CALL_TIMEOUT).await.ok().filter(|response| response.status == 200)
    }

    /// Waits until the member's status contains this text.
    async fn wait_for_status(&self, text: &str) {
        loop {
            let status = self.call(Call::get("/status")).await;
            if String::from_utf8_lossy(&status.body).contains(text) {
                return;
            }
        }
    }

    /// Subscribes to the feed until it has served this revision.
    async fn subscribe(&self, revision: u64) {
        let feed = SocketAddr::from((self.operator.ip(), self.first_spare + 1));
        let store = Rc::new(RefCell::new(FeedStore::new()));
        let identity = SubscriberIdentity {
            name: "edge-1".to_owned(),
            zone: "a".to_owned(),
            role: SubscriberRole::Agent,
        };
        let subscriber = Subscriber::new(identity, store.clone());
        let is_served = || {
            let is_fresh = subscriber.age(clock::now()).is_some();
            is_fresh && store.borrow().known_positions().configuration == Revision(revision)
        };
        let served = async {
            while !is_served() {
                future::yield_now().await;
            }
        };
        future::or(served, subscriber.clone().run(move |_| Some(feed))).await;
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn listen(address: IpAddr, port: u16) -> TcpListener {
    TcpListener::bind((address, port)).expect("the port is free")
}

/// The first of `count` consecutive ports that are free at all of these addresses.
fn free_ports(addresses: &[Ipv4Addr], count: u16) -> u16 {
    let is_free_at = |address: &Ipv4Addr, port| {
        TcpListener::bind((*address, port)).is_ok() && UdpSocket::bind((*address, port)).is_ok()
    };
    let is_free = |port| addresses.iter().all(|address| is_free_at(address, port));
    loop {
        let first = listen(addresses[0].into(), 0).local_addr().expect("the listener is bound").port();
        let last = first.checked_add(count - 1);
        if last.is_some_and(|last| (first..=last).all(is_free)) {
            return first;
        }
    }
}

/// Runs a member until the given work is done, then stops it as a signal would.
async fn run_during(settings: Settings, work: impl Future<Output = ()>) {
    let (done, stop) = async_channel::bounded::<()>(1);
    let stop = async move {
        let _ = stop.recv().await;
    };
    let work = async {
        work.await;
        drop(done);
    };
    let (result, ()) = future::zip(run_until(&settings, stop), work).await;
    result.expect("the member shuts down without an error");
}

#[test]
fn a_configuration_is_served_and_recovered_after_a_stop() {
    let machine = Machine::new();
    let incarnations = async {
        run_during(machine.settings(true), async {
            let headers = [("If-Match", "0")];
            let body = CONFIGURATION.as_bytes();
            let put = Call { method: "PUT", target: "/settings", headers: &headers, body };
            let response = machine.call(put).await;
            assert_eq!(response.body, br#"{"revision":3}"#);
            machine.subscribe(REVISION).await;
        })
        .await;
        run_during(machine.settings(false), async {
            let response = machine.call(Call::get("/settings")).await;
            assert_eq!(response.body, CONFIGURATION.as_bytes(), "unknown fields are kept too");
            machine.subscribe(REVISION).await;
        })
        .await;
    };
    async_io::block_on(within(TEST_TIMEOUT, incarnations)).expect("both incarnations end in time");
}

/// A patch of one route, based on the previous revision.
fn route_patch(revision: u64) -> String {
    format!(
        r#"{{"revision":{revision},"upsert":{{"routes":[{{"label":"r","hostname":"a.example","pathStart":"/r/{revision}/","timeLimitMs":1000,"backend":"chat"}}]}}}}"#
    )
}

async fn send_patch(machine: &Machine, revision: u64) {
    let (if_match, body) = ((revision - 1).to_string(), route_patch(revision));
    let headers = [("If-Match", if_match.as_str())];
    let patch = Call { method: "PATCH", target: "/settings", headers: &headers, body: body.as_bytes() };
    let response = machine.call(patch).await;
    assert_eq!(response.body, format!(r#"{{"revision":{revision}}}"#).as_bytes());
}

/// There are enough changes that some are in a snapshot of the state, and only the newest ones are in the log.
#[test]
fn many_changes_are_recovered_and_recognized_after_a_stop() {
    let changes = REVISION + 1..=REVISION + COMPACT_AFTER_COMMANDS as u64 + 6;
    let machine = Machine::new();
    let incarnations = async {
        run_during(machine.settings(true), async {
            let put =
                Call { method: "PUT", target: "/settings", headers: &[], body: CONFIGURATION.as_bytes() };
            machine.call(put).await;
            for revision in changes.clone() {
                send_patch(&machine, revision).await;
            }
        })
        .await;
        run_during(machine.settings(false), async {
            let response = machine.call(Call::get("/settings")).await;
            let document: Value = serde_json::from_slice(&response.body).expect("the document is JSON");
            assert_eq!(document["revision"], json!(changes.end()));
            assert_eq!(document["routes"][0]["pathStart"], json!(format!("/r/{}/", changes.end())));
            assert_eq!(document["note"], json!("kept"));
            for revision in changes.clone() {
                send_patch(&machine, revision).await;
            }
            assert_eq!(machine.call(Call::get("/settings")).await.body, response.body);
        })
        .await;
    };
    async_io::block_on(within(TEST_TIMEOUT, incarnations)).expect("both incarnations end in time");
}

#[test]
fn all_members_report_target_revisions_and_singleton_roles() {
    let machines = Machine::group(2);
    let body = br#"{"llm":"m","revision":2}"#;
    let set_target_revision = Call { method: "POST", target: "/version-put", headers: &[], body };
    let work = async {
        let mut primary = None;
        while primary.is_none() {
            for machine in &machines {
                if machine.call_once(set_target_revision).await.is_some() {
                    primary = Some(machine.operator.ip());
                }
            }
        }
        let holder = format!(r#""rollout":"{}/0""#, primary.expect("a member has accepted the change"));
        for machine in &machines {
            machine.wait_for_status(r#""weights":{"m":2}"#).await;
            machine.wait_for_status(&holder).await;
        }
    };
    let settings = [machines[0].settings(true), machines[1].settings(true)];
    let members = async {
        let first = run_until(&settings[0], future::pending());
        let second = run_until(&settings[1], future::pending());
        let (first, second) = future::zip(first, second).await;
        panic!("a member has ended: {first:?}, {second:?}")
    };
    async_io::block_on(within(TEST_TIMEOUT, future::or(work, members)))
        .expect("all members report it in time");
}

/// A fault of a machine or its settings that prevents a start.
#[derive(Clone, Copy)]
enum Fault {
    NoDataFolder,
    NoControlPort,
    PortInUse,
    ForeignFile,
}

#[rstest]
#[case::no_data_folder(Fault::NoDataFolder, "the settings have no dataFolder")]
#[case::no_control_port(Fault::NoControlPort, "the settings have no listenOn.controlPort")]
#[case::port_in_use(Fault::PortInUse, "failed to listen on")]
#[case::foreign_file(Fault::ForeignFile, "log-000001 is not a file of a log")]
fn a_member_that_cannot_start_reports_the_reason(#[case] fault: Fault, #[case] reason: &str) {
    let machine = Machine::new();
    let mut settings = machine.settings(true);
    let mut occupant = None;
    match fault {
        Fault::NoDataFolder => settings.data_folder = None,
        Fault::NoControlPort => settings.listen_on.control_port = None,
        Fault::PortInUse => occupant = Some(listen(machine.operator.ip(), machine.first_spare)),
        Fault::ForeignFile => {
            std::fs::create_dir(&machine.folder).expect("the folder does not exist yet");
            std::fs::write(machine.folder.join("log-000001"), "a note").expect("the folder exists");
        }
    }
    let result = within(TEST_TIMEOUT, run_until(&settings, future::pending()));
    let error =
        async_io::block_on(result).expect("the member ends in time").expect_err("the member cannot start");
    assert!(error.to_string().contains(reason), "{error}");
    drop(occupant);
}
