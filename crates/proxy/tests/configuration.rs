//! The effect of control-plane updates on requests: routes, API keys, configuration age, and replicas added and removed.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rstest::rstest;
use support::{Harness, Step, header, ok, post, post_with, status};
use tulipridge_configuration::number::{Revision, WeightsRevision};
use tulipridge_configuration::{Configuration, Service, ServiceWeight};
use tulipridge_protocol::feed::{ModelRevision, ModelWeights, Position, ReplicaPhase, WeightsTable};
use tulipridge_protocol::number::{ChangeNumber, Epoch};

fn request_with_key(key: &str) -> String {
    post("/risky/", "t1").replace(support::KEY, key)
}

fn request_without_key(path: &str) -> String {
    let request = post(path, "t1");
    let line =
        request.lines().find(|line| line.starts_with("Authorization")).expect("an Authorization header");
    request.replace(&format!("{line}\r\n"), "")
}

#[rstest]
#[case("/risky/", "k1", "200")]
#[case("/risky/", "k2", "200")]
#[case("/risky/", "unknown", "401")]
#[case("/open/", "unknown", "200")]
#[case("/nowhere/", "k1", "404")]
#[case("/risky", "k1", "404")]
fn a_request_needs_a_route_and_a_key(#[case] path: &str, #[case] key: &str, #[case] expected: &str) {
    let harness = Harness::start(1);
    let response = harness.run(harness.send_request(&post(path, "t1").replace(support::KEY, key)));
    assert_eq!(status(&response), expected);
    assert_eq!(harness.arrivals(), usize::from(expected == "200"));
}

#[rstest]
#[case::isolated("k1", "", Some("acme"), "3", Some("m4-t-acme"))]
#[case::shared("k2", "", Some("other"), "1", Some("m4"))]
#[case::forged(
    "k2",
    "Customer: acme\r\nCache-Salt: m4-t-acme\r\nPriority: 0\r\n",
    Some("other"),
    "1",
    Some("m4")
)]
fn a_replica_is_sent_the_tenant(
    #[case] key: &str,
    #[case] headers: &str,
    #[case] tenant: Option<&str>,
    #[case] priority: &str,
    #[case] salt: Option<&str>,
) {
    let harness = Harness::start(1);
    let request = post_with("/stream/", "t1", &format!("Llm: m\r\n{headers}")).replace(support::KEY, key);
    harness.run(harness.send_request(&request));
    let sent = harness.replicas[0].requests.borrow()[0].clone();
    assert_eq!(header(&sent, "Customer").as_deref(), tenant);
    assert_eq!(header(&sent, "Priority").as_deref(), Some(priority));
    assert_eq!(header(&sent, "Cache-Salt").as_deref(), salt);
    assert_eq!(header(&sent, "Expect-Version").as_deref(), Some("4"));
    assert_eq!(header(&sent, "Authorization"), None);
    assert_eq!(sent.matches("Customer").count(), 1);
}

#[test]
fn a_public_route_with_an_unknown_key_sends_no_tenant() {
    let harness = Harness::start(1);
    harness.run(harness.send_request(&post("/open/", "t1").replace(support::KEY, "unknown")));
    assert_eq!(header(&harness.replicas[0].requests.borrow()[0], "Customer"), None);
}

#[test]
fn nothing_is_admitted_before_a_configuration_is_known() {
    let harness = Harness::start(1);
    harness.configuration_age.set(None);
    let response = harness.run(harness.send_request(&post("/nowhere/", "t1")));
    insta::assert_snapshot!(support::normalized(&response));
}

#[rstest]
#[case(3000, "200", "200", "401", "404")]
#[case(3001, "503", "503", "503", "503")]
#[case(4501, "503", "503", "503", "503")]
fn requests_with_keys_need_a_fresh_configuration(
    #[case] age_ms: u64,
    #[case] ready: &str,
    #[case] served: &str,
    #[case] unknown_key: &str,
    #[case] unknown_route: &str,
) {
    let harness = Harness::start(1);
    harness.configuration_age.set(Some(Duration::from_millis(age_ms)));
    harness.run(async {
        assert_eq!(status(&check_ready(&harness).await), ready);
        assert_eq!(status(&harness.send_request(&request_with_key("k1")).await), served);
        assert_eq!(status(&harness.send_request(&request_with_key("k9")).await), unknown_key);
        assert_eq!(status(&harness.send_request(&post("/nowhere/", "t1")).await), unknown_route);
    });
}

#[rstest]
#[case(4500, "200", "401", "404")]
#[case(4501, "503", "503", "503")]
fn nothing_is_admitted_by_a_stale_configuration(
    #[case] age_ms: u64,
    #[case] served: &str,
    #[case] no_key: &str,
    #[case] unknown_route: &str,
) {
    let harness = Harness::start(1);
    harness.configuration_age.set(Some(Duration::from_millis(age_ms)));
    harness.run(async {
        assert_eq!(status(&harness.send_request(&request_without_key("/open/")).await), served);
        assert_eq!(status(&harness.send_request(&request_without_key("/risky/")).await), no_key);
        assert_eq!(status(&harness.send_request(&request_without_key("/nowhere/")).await), unknown_route);
    });
}

/// A request with a key is not retried if the configuration becomes too old for keys while the first attempt runs.
#[test]
fn a_request_with_a_key_is_not_retried_without_control_plane() {
    let harness = Harness::start(2);
    harness.script_next_request(&[
        Step::Wait,
        Step::Write(support::response("503 Service Unavailable", "Not-Run: 1\r\n", "")),
    ]);
    let response = harness.run(async {
        let mut client = harness.connect().await;
        client.send(&request_with_key("k1")).await;
        harness.wait_until(|| harness.arrivals() == 1).await;
        harness.configuration_age.set(Some(Duration::from_millis(3_001)));
        harness.release();
        client.read_response().await
    });
    assert_eq!((status(&response), harness.arrivals()), ("503", 1));
}

/// A gateway whose configuration is too old for keys is ready only if its configuration requires none.
#[rstest]
#[case::with_keys(true, "503")]
#[case::without_keys(false, "200")]
fn readiness_without_a_control_plane_depends_on_keys(#[case] requires_key: bool, #[case] expected: &str) {
    let harness = Harness::start(1);
    harness.configuration_age.set(Some(Duration::from_millis(3_001)));
    harness.run(async {
        harness.proxy.set_configuration(changed_configuration(|configuration| {
            configuration.requires_key = requires_key;
        }));
        assert_eq!(status(&check_ready(&harness).await), expected);
    });
}

/// Drains the only replica while the first connection to it is being established. Returns the status and the number
/// of requests that reached the replica, or `None` if the connection was established before the list changed.
fn drain_during_connect() -> Option<(String, usize)> {
    let harness = Harness::start(1);
    let is_sent = Rc::new(Cell::new(false));
    let sent = is_sent.clone();
    harness.proxy.queued_work.on_change(move |_| sent.set(true));
    let response = harness.run(async {
        let mut client = harness.connect().await;
        client.send(&request_with_key("k1")).await;
        harness.wait_until(|| harness.proxy.counters.connects.get() == 1).await;
        if is_sent.get() {
            return None;
        }
        harness.set_fleet(|entries| entries[0].phase = ReplicaPhase::Draining);
        Some(client.read_response().await)
    });
    response.map(|response| (status(&response).to_owned(), harness.arrivals()))
}

#[test]
fn a_replica_that_drains_during_connect_gets_no_request() {
    let outcome = (0..100).find_map(|_| drain_during_connect());
    assert_eq!(outcome, Some(("503".to_owned(), 0)));
}

#[test]
fn reloaded_settings_change_the_maximum_configuration_age() {
    let harness = Harness::start(1);
    harness.configuration_age.set(Some(Duration::from_millis(2_000)));
    let mut limits = support::settings().time_limits;
    harness.run(async {
        assert_eq!(status(&harness.send_request(&request_with_key("k1")).await), "200");
        limits.withdraw_ms = 2_400;
        harness.proxy.set_time_limits(&limits);
        assert_eq!(status(&harness.send_request(&request_with_key("k1")).await), "503");
        assert_eq!(status(&harness.send_request(&request_without_key("/open/")).await), "503");
        limits.shut_tight = false;
        harness.proxy.set_time_limits(&limits);
        assert_eq!(status(&harness.send_request(&request_with_key("k1")).await), "503");
        assert_eq!(status(&harness.send_request(&request_without_key("/open/")).await), "200");
    });
}

#[test]
fn changes_of_configuration_and_settings_close_no_connection() {
    let harness = Harness::start(1);
    harness.run(async {
        let (mut busy, mut idle) = (harness.connect().await, harness.connect().await);
        idle.send(&request_with_key("k1")).await;
        assert_eq!(status(&idle.read_response().await), "200");
        harness.script_next_request(&[Step::Wait, Step::Write(ok("after the change"))]);
        busy.send(&request_with_key("k1")).await;
        harness.wait_until(|| harness.arrivals() == 2).await;
        harness
            .proxy
            .set_configuration(changed_configuration(|configuration| configuration.caps.idle_ms /= 2));
        harness.proxy.set_time_limits(&support::settings().time_limits);
        harness.release();
        assert!(busy.read_response().await.contains("after the change"));
        for client in [&mut busy, &mut idle] {
            client.send(&request_with_key("k1")).await;
            assert_eq!(status(&client.read_response().await), "200");
        }
    });
}

#[test]
fn reloaded_time_limits_take_effect_immediately() {
    let harness = Harness::start(1);
    let current = support::settings();
    let mut newest = current.clone();
    newest.time_limits.leeway_s = 3.0;
    newest.area = "zone-b".to_owned();
    let applied = tulipridge_proxy::run::reload(&harness.proxy, &current, newest);
    assert_eq!((applied.time_limits.leeway_s, applied.area.as_str()), (3.0, "zone-a"));
}

#[rstest]
#[case::no_budget(0.0, 0, "503", 1)]
#[case::unchanged_budget(2.0, 100, "200", 2)]
fn reloaded_settings_change_the_retry_budget(
    #[case] retry_ratio: f64,
    #[case] spare_tries: u64,
    #[case] expected: &str,
    #[case] arrivals: usize,
) {
    let harness = Harness::start(2);
    let not_run = support::response("503 Service Unavailable", "Not-Run: 1\r\n", "");
    harness.script_next_request(&[Step::Write(not_run)]);
    let mut limits = support::settings().time_limits;
    (limits.retry_ratio, limits.spare_tries) = (retry_ratio, spare_tries);
    harness.proxy.set_time_limits(&limits);
    let response = harness.run(harness.send_request(&post("/risky/", "t1")));
    assert_eq!((status(&response), harness.arrivals()), (expected, arrivals));
}

async fn check_ready(harness: &Harness) -> String {
    harness.send_readiness_request("GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").await
}

#[test]
fn readiness_needs_a_replica() {
    let harness = Harness::start(1);
    harness.run(async {
        assert_eq!(status(&check_ready(&harness).await), "200");
        harness.set_fleet(|entries| entries[0].phase = ReplicaPhase::Draining);
        assert_eq!(status(&check_ready(&harness).await), "503");
        harness.set_fleet(|_| {});
        assert_eq!(status(&check_ready(&harness).await), "200");
        harness.proxy.stop(Duration::from_secs(8));
        assert_eq!(status(&check_ready(&harness).await), "503");
    });
}

fn changed_configuration(change: impl FnOnce(&mut Configuration)) -> Arc<Configuration> {
    let mut configuration = support::configuration();
    configuration.revision = Revision(2);
    change(&mut configuration);
    Arc::new(configuration)
}

#[test]
fn a_removed_key_is_rejected_immediately() {
    let harness = Harness::start(1);
    harness.run(async {
        assert_eq!(status(&harness.send_request(&request_with_key("k1")).await), "200");
        harness.proxy.set_configuration(changed_configuration(|configuration| {
            configuration.tenants[0].api_keys.clear();
        }));
        assert_eq!(status(&harness.send_request(&request_with_key("k1")).await), "401");
    });
    assert_eq!(harness.arrivals(), 1);
}

/// `requires_key` decides whether keys are required, not the list of tenants: after the last tenant is removed, only
/// public routes are open. Without a list of tenants all routes are open to any key.
#[rstest]
#[case::last_tenant_removed(true, "/risky/", "401")]
#[case::last_tenant_removed_and_public(true, "/open/", "200")]
#[case::no_list_of_tenants(false, "/risky/", "200")]
fn a_configuration_without_tenants_states_if_keys_are_required(
    #[case] requires_key: bool,
    #[case] path: &str,
    #[case] expected: &str,
) {
    let harness = Harness::start(1);
    let response = harness.run(async {
        harness.proxy.set_configuration(changed_configuration(|configuration| {
            configuration.requires_key = requires_key;
            configuration.tenants.clear();
        }));
        harness.send_request(&post(path, "t1")).await
    });
    assert_eq!(status(&response), expected);
}

#[rstest]
#[case::key_removed(changed_configuration(|configuration| configuration.tenants[0].api_keys.clear()))]
#[case::key_of_another_tenant(changed_configuration(|configuration| configuration.tenants[0].label = "new".to_owned()))]
#[case::route_removed(changed_configuration(|configuration| drop(configuration.routes.remove(1))))]
#[case::service_changed(changed_configuration(|configuration| {
    configuration.services.push(Service { label: "second".to_owned(), ..Service::default() });
    configuration.routes[1].service_weights = vec![ServiceWeight { service: "second".to_owned(), weight: 1.0 }];
}))]
fn a_pending_request_is_not_retried_after_its_access_is_removed(#[case] newest: Arc<Configuration>) {
    let harness = Harness::start(2);
    let not_run = support::response("503 Service Unavailable", "Not-Run: 1\r\n", "");
    harness.script_next_request(&[Step::Wait, Step::Write(not_run)]);
    let response = harness.run(async {
        let mut client = harness.connect().await;
        client.send(&post("/risky/", "t1")).await;
        harness.wait_until(|| harness.arrivals() == 1).await;
        harness.proxy.set_configuration(newest);
        harness.release();
        client.read_response().await
    });
    assert_eq!((status(&response), harness.arrivals()), ("503", 1));
}

#[test]
fn a_pending_request_is_not_retried_on_a_stale_configuration() {
    let harness = Harness::start(2);
    let not_run = support::response("503 Service Unavailable", "Not-Run: 1\r\n", "");
    harness.script_next_request(&[Step::Wait, Step::Write(not_run)]);
    let response = harness.run(async {
        let mut client = harness.connect().await;
        client.send(&post("/risky/", "t1")).await;
        harness.wait_until(|| harness.arrivals() == 1).await;
        harness.configuration_age.set(Some(Duration::from_secs(5)));
        harness.release();
        client.read_response().await
    });
    assert_eq!((status(&response), harness.arrivals()), ("503", 1));
}

#[test]
fn a_new_route_and_its_service_take_effect_immediately() {
    let harness = Harness::start(2);
    harness.run(async {
        assert_eq!(status(&harness.send_request(&post("/new/", "t1")).await), "404");
        harness.proxy.set_configuration(changed_configuration(|configuration| {
            configuration.services.push(Service { label: "second".to_owned(), ..Service::default() });
            let mut route =
                support::route("new", "/new/", tulipridge_configuration::RouteKind::NonIdempotent);
            route.service_weights = vec![ServiceWeight { service: "second".to_owned(), weight: 1.0 }];
            configuration.routes.push(route);
        }));
        harness.set_fleet(|entries| entries[1].service = "second".to_owned());
        assert_eq!(status(&harness.send_request(&post("/new/", "t2")).await), "200");
        assert_eq!(status(&harness.send_request(&post("/risky/", "t3")).await), "200");
    });
    assert_eq!(harness.replicas.iter().map(|replica| replica.request_count()).collect::<Vec<_>>(), [1, 1]);
}

#[rstest]
#[case::draining(|entries: &mut Vec<tulipridge_protocol::feed::Replica>| entries[0].phase = ReplicaPhase::Draining)]
#[case::loading(|entries: &mut Vec<tulipridge_protocol::feed::Replica>| entries[0].phase = ReplicaPhase::Loading)]
#[case::removed(|entries: &mut Vec<tulipridge_protocol::feed::Replica>| drop(entries.remove(0)))]
#[case::of_another_service(|entries: &mut Vec<tulipridge_protocol::feed::Replica>| entries[0].service = "second".to_owned())]
fn nothing_is_sent_to_an_unusable_replica(
    #[case] change: impl Fn(&mut Vec<tulipridge_protocol::feed::Replica>),
) {
    let harness = Harness::start(2);
    harness.run(async {
        for n in 0..8 {
            harness.send_request(&post("/risky/", &format!("a{n}"))).await;
        }
        let before = harness.replicas[0].request_count();
        harness.set_fleet(&change);
        for n in 0..8 {
            assert_eq!(status(&harness.send_request(&post("/risky/", &format!("b{n}"))).await), "200");
        }
        assert_eq!(harness.replicas[0].request_count(), before);
    });
}

#[test]
fn weights_below_the_minimum_revision_are_not_used() {
    let harness = Harness::start(2);
    let entries: Vec<_> = harness.replicas.iter().map(|replica| support::replica_entry(replica)).collect();
    let mut newer = entries.clone();
    newer[1].models = vec![ModelRevision { model: "m".to_owned(), revision: WeightsRevision(5) }];
    let weights_table = |least: u64| WeightsTable {
        position: Position { epoch: Epoch(1), sequence: ChangeNumber(least) },
        models: vec![ModelWeights {
            model: "m".to_owned(),
            target: WeightsRevision(5),
            minimum: WeightsRevision(least),
            expired_below: WeightsRevision(0),
        }],
    };
    harness.run(async {
        harness.proxy.set_fleet(&newer, &weights_table(4));
        for n in 0..16 {
            harness.send_request(&post("/risky/", &format!("a{n}"))).await;
        }
        let before = harness.replicas[0].request_count();
        assert!(before > 0);
        harness.proxy.set_fleet(&newer, &weights_table(5));
        for n in 0..16 {
            let request = post_with("/risky/", &format!("b{n}"), "Llm: m\r\n");
            assert_eq!(status(&harness.send_request(&request).await), "200");
        }
        assert_eq!(harness.replicas[0].request_count(), before);
    });
    let last = harness.replicas[1].requests.borrow().last().cloned().expect("a request");
    assert_eq!(header(&last, "Expect-Version").as_deref(), Some("5"));
    assert_eq!(header(&last, "Cache-Salt").as_deref(), Some("m5-t-acme"));
}

#[test]
fn a_replica_whose_address_was_reassigned_gets_no_more_requests() {
    let harness = Harness::start(2);
    let misdirected = "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nServer-Id: i-9\r\nContent-Length: 0\r\n\r\n";
    harness.script_next_request(&[Step::Write(misdirected.to_owned())]);
    harness.run(async {
        assert_eq!(status(&harness.send_request(&post("/risky/", "t0")).await), "200");
        for n in 1..9 {
            harness.send_request(&post("/risky/", &format!("t{n}"))).await;
        }
        // The list is outdated and still has the replica.
        harness.set_fleet(|entries| entries[0].capacity = 9);
        for n in 9..17 {
            harness.send_request(&post("/risky/", &format!("t{n}"))).await;
        }
    });
    let mut counts: Vec<_> = harness.replicas.iter().map(|replica| replica.request_count()).collect();
    counts.sort();
    assert_eq!(counts, [1, 17]);
}

#[test]
fn a_request_without_a_usable_replica_is_refused() {
    let harness = Harness::start(1);
    harness.set_fleet(std::vec::Vec::clear);
    let response = harness.run(harness.send_request(&post("/risky/", "t1")));
    assert_eq!(status(&response), "503");
    assert!(header(&response, "Retry-After").is_some(), "{response}");
}

#[test]
fn a_shutdown_closes_connections_after_their_responses() {
    let harness = Harness::start(1);
    harness.run(async {
        let mut client = harness.connect().await;
        client.send(&post("/risky/", "t1")).await;
        assert_eq!(header(&client.read_response().await, "Connection"), None);
        harness.proxy.stop(Duration::from_secs(8));
        client.send(&post("/risky/", "t2")).await;
        let last = client.read_response().await;
        assert_eq!((status(&last), header(&last, "Connection").as_deref()), ("200", Some("close")));
        assert_eq!(client.read_response().await, "(closed)");
        // New connections are still accepted in the first stage of the shutdown.
        let late = harness.send_request(&post("/risky/", "t3")).await;
        assert_eq!((status(&late), header(&late, "Connection").as_deref()), ("200", Some("close")));
    });
}

/// A request that is complete only when the process may end before its response is not forwarded, and its client is
/// told to retry on another connection.
#[test]
fn a_request_that_may_outlast_the_process_is_refused_unsent() {
    let harness = Harness::start(1);
    let request = post("/risky/", "t1");
    let (begin, rest) = request.split_at(request.len() - 1);
    harness.run(async {
        let mut client = harness.connect().await;
        client.send(begin).await;
        harness.wait_until(|| harness.proxy.usage.open_clients() == 1).await;
        harness.proxy.stop(Duration::ZERO);
        client.send(rest).await;
        let response = client.read_response().await;
        assert_eq!((status(&response), header(&response, "Connection").as_deref()), ("503", Some("close")));
        assert!(header(&response, "Retry-After").is_some(), "{response}");
        assert_eq!(client.read_response().await, "(closed)");
    });
    assert_eq!(harness.arrivals(), 0);
}

#[test]
fn idle_client_connections_are_closed_at_shutdown() {
    let harness = Harness::start(1);
    // Well before the idle timeout of client connections.
    let timeout_at = Instant::now() + Duration::from_secs(3);
    let end = harness.run(harness.proxy.timers.timeout_at(timeout_at, async {
        let mut client = harness.connect().await;
        client.send(&post("/risky/", "t1")).await;
        assert_eq!(status(&client.read_response().await), "200");
        harness.proxy.stop(Duration::ZERO);
        client.read_response().await
    }));
    assert_eq!(end.as_deref(), Some("(closed)"));
}
