//! A rollout of model weights over loopback connections: the calls that a replica receives, and the deliveries to
//! proxies.

mod rollout_stand_ins;

use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use insta::assert_snapshot;
use rollout_stand_ins::{LEASE, Output, PrimaryStatus};
use tulipridge_configuration::number::WeightsRevision;
use tulipridge_control_plane::fleet::FleetTable;
use tulipridge_control_plane::rollout::{PlannerSettings, Rollout};
use tulipridge_control_plane::singleton::SingletonContext;
use tulipridge_http1::within;
use tulipridge_protocol::feed::{ModelRevision, Replica, ReplicaPhase};
use tulipridge_runtime::settings::RevisionTerm;

const TEST_TIMEOUT: Duration = Duration::from_secs(8);

fn replica(address: SocketAddr) -> Replica {
    Replica {
        id: "i-1".to_owned(),
        service: "chat".to_owned(),
        address: address.to_string(),
        zone: "a".to_owned(),
        capacity: 8,
        phase: ReplicaPhase::Ready,
        warm_left_ms: 0,
        models: vec![ModelRevision { model: "m".to_owned(), revision: WeightsRevision(1) }],
    }
}

/// Accepts a connection, reads one call and responds to it. Returns the call.
async fn respond(listener: &Async<TcpListener>, status: &str, body: &str) -> String {
    let (mut stream, _) = listener.accept().await.expect("a call arrives");
    let call = read_call(&mut stream).await;
    let response = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(response.as_bytes()).await.expect("the response is read");
    call
}

async fn read_call(stream: &mut Async<TcpStream>) -> String {
    let mut call = vec![0; 4096];
    let count = stream.read(&mut call).await.expect("a call arrives");
    String::from_utf8_lossy(&call[..count]).replace("\r\n", "\n")
}

#[test]
fn a_replica_is_commanded_to_load_and_polled_until_it_has() {
    let executor = Rc::new(LocalExecutor::new());
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port is free");
    let address = listener.get_ref().local_addr().expect("the listener is bound");
    let table = Rc::new(RefCell::new(FleetTable::default()));
    table.borrow_mut().replace(LEASE.tenure, vec![replica(address)]);
    let context = SingletonContext {
        executor: executor.clone(),
        lease_status: Rc::new(PrimaryStatus),
        table: table.clone(),
    };
    let output = Rc::new(Output::default());
    let settings = PlannerSettings {
        revision_term: RevisionTerm::new(Duration::from_secs(12)),
        lease_term: Duration::ZERO,
    };
    let (rollout, _events) = Rollout::new("middle-1".to_owned(), settings, context, output.clone());
    let loaded = async {
        let command = respond(&listener, "202 Accepted", "").await;
        let phase = table.borrow().replicas(LEASE.tenure).expect("the table has a list")[0].phase;
        assert_eq!(phase, ReplicaPhase::Loading, "a replica receives no requests while it loads");
        let loading = r#"{"llms":[{"label":"m","revision":1}],"loaded":true}"#;
        let report = respond(&listener, "200 OK", loading).await;
        let loaded_report = r#"{"llms":[{"label":"m","revision":2}],"loaded":false}"#;
        respond(&listener, "200 OK", loaded_report).await;
        while output.weights.borrow().iter().all(|weights| weights.minimum < WeightsRevision(2)) {
            future::yield_now().await;
        }
        format!("{command}\n\n{report}")
    };
    let rollout_run = async {
        rollout.run().await;
        String::new()
    };
    let run = executor.run(future::or(loaded, rollout_run));
    let calls = async_io::block_on(within(TEST_TIMEOUT, run)).expect("the load ends in time");
    let calls = calls.replace(&address.to_string(), "ADDRESS");
    assert_snapshot!(calls.trim_end(), @r#"
    POST /order HTTP/1.1
    Host: ADDRESS
    Meant-Server: i-1
    Content-Type: application/json
    Content-Length: 94

    {"orderKind":"revision","llm":"m","revision":2,"method":"hold","owner":"middle-1","fenceNo":9}

    GET /report HTTP/1.1
    Host: ADDRESS
    "#);
    let delivered = table.borrow().replicas(LEASE.tenure).expect("the table has a list");
    assert_eq!(delivered[0].phase, ReplicaPhase::Ready);
    assert_eq!(
        delivered[0].models[0].revision,
        WeightsRevision(2),
        "the new revision is delivered before the list shows it"
    );
    assert_eq!(output.corrections.get(), 2, "one when the replica begins to load, one when it has loaded");
}

#[test]
fn a_new_primary_polls_loading_replicas_within_the_lease_term() {
    let executor = Rc::new(LocalExecutor::new());
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port is free");
    let listed = replica(listener.get_ref().local_addr().expect("the listener is bound"));
    let table = Rc::new(RefCell::new(FleetTable::default()));
    table.borrow_mut().replace(LEASE.tenure, vec![listed.clone()]);
    table.borrow_mut().inherit(&[Replica { phase: ReplicaPhase::Loading, ..listed }]);
    let context = SingletonContext {
        executor: executor.clone(),
        lease_status: Rc::new(PrimaryStatus),
        table: table.clone(),
    };
    let settings = PlannerSettings {
        revision_term: RevisionTerm::new(Duration::from_secs(60)),
        lease_term: Duration::from_secs(30),
    };
    let (rollout, _events) =
        Rollout::new("middle-1".to_owned(), settings, context, Rc::new(Output::default()));
    let phase = || table.borrow().replicas(LEASE.tenure).expect("the table has a list")[0].phase;
    let loaded = async {
        let loading = r#"{"llms":[{"label":"m","revision":1}],"loaded":true}"#;
        let report = respond(&listener, "200 OK", loading).await;
        assert!(report.starts_with("GET /report"), "{report}");
        assert_eq!(phase(), ReplicaPhase::Loading);
        let loaded_report = r#"{"llms":[{"label":"m","revision":2}],"loaded":false}"#;
        respond(&listener, "200 OK", loaded_report).await;
        while phase() == ReplicaPhase::Loading {
            future::yield_now().await;
        }
    };
    let run = executor.run(future::or(loaded, rollout.run()));
    async_io::block_on(within(TEST_TIMEOUT, run)).expect("the replica is ready in time");
}

#[test]
fn a_target_announced_before_the_start_is_assumed_to_be_older() {
    let executor = Rc::new(LocalExecutor::new());
    let table = Rc::new(RefCell::new(FleetTable::default()));
    let context =
        SingletonContext { executor: executor.clone(), lease_status: Rc::new(PrimaryStatus), table };
    let output = Rc::new(Output::default());
    // With the assumed age, the deadline is near; if the age were counted from the start, the withdrawal would come
    // after 4 s.
    let term = RevisionTerm::new(Duration::from_secs(6));
    let settings = PlannerSettings { revision_term: term, lease_term: Duration::ZERO };
    let (rollout, _events) = Rollout::new("middle-1".to_owned(), settings, context, output.clone());
    let withdrawn = async {
        while output.weights.borrow().iter().all(|weights| weights.expired_below < WeightsRevision(2)) {
            future::yield_now().await;
        }
    };
    let run = executor.run(future::or(withdrawn, rollout.run()));
    async_io::block_on(within(Duration::from_secs(2), run))
        .expect("the age of the target is counted from the start");
}
