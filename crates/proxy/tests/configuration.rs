//! How updates from the control plane affect requests: routes, keys, freshness, replicas that come and go.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rstest::rstest;
use support::{Bench, Part, header, ok, post, post_with, status};
use tulipridge_configuration::number::{Revision, WeightsRevision};
use tulipridge_configuration::{Configuration, Service, ServiceWeight};
use tulipridge_protocol::feed::{ModelRevision, ModelWeights, Position, ReplicaPhase, WeightsTable};
use tulipridge_protocol::number::{ChangeNumber, Epoch};

fn with_key(key: &str) -> String {
    post("/risky/", "t1").replace(support::KEY, key)
}

fn without_key(path: &str) -> String {
    let request = post(path, "t1");
    let line = request.lines().find(|line| line.starts_with("Authorization")).expect("a key");
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
    let bench = Bench::start(1);
    let answer = bench.run(bench.send_request(&post(path, "t1").replace(support::KEY, key)));
    assert_eq!(status(&answer), expected);
    assert_eq!(bench.arrivals(), usize::from(expected == "200"));
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
    let bench = Bench::start(1);
    let request = post_with("/stream/", "t1", &format!("Llm: m\r\n{headers}")).replace(support::KEY, key);
    bench.run(bench.send_request(&request));
    let sent = bench.replicas[0].requests.borrow()[0].clone();
    assert_eq!(header(&sent, "Customer").as_deref(), tenant);
    assert_eq!(header(&sent, "Priority").as_deref(), Some(priority));
    assert_eq!(header(&sent, "Cache-Salt").as_deref(), salt);
    assert_eq!(header(&sent, "Expect-Version").as_deref(), Some("4"));
    assert_eq!(header(&sent, "Authorization"), None);
    assert_eq!(sent.matches("Customer").count(), 1);
}

#[test]
fn a_public_route_with_an_unknown_key_names_no_tenant() {
    let bench = Bench::start(1);
    bench.run(bench.send_request(&post("/open/", "t1").replace(support::KEY, "unknown")));
    assert_eq!(header(&bench.replicas[0].requests.borrow()[0], "Customer"), None);
}

#[test]
fn nothing_is_admitted_before_a_configuration_is_known() {
    let bench = Bench::start(1);
    bench.age.set(None);
    let answer = bench.run(bench.send_request(&post("/nowhere/", "t1")));
    insta::assert_snapshot!(support::transcript(&answer));
}

#[rstest]
#[case(3000, "200", "200", "401", "404")]
#[case(3001, "503", "503", "503", "503")]
#[case(4501, "503", "503", "503", "503")]
fn a_key_is_refused_without_a_sound_way_to_the_control_plane(
    #[case] age_ms: u64,
    #[case] ready: &str,
    #[case] served: &str,
    #[case] unknown_key: &str,
    #[case] unknown_route: &str,
) {
    let bench = Bench::start(1);
    bench.age.set(Some(Duration::from_millis(age_ms)));
    bench.run(async {
        assert_eq!(status(&check_ready(&bench).await), ready);
        assert_eq!(status(&bench.send_request(&with_key("k1")).await), served);
        assert_eq!(status(&bench.send_request(&with_key("k9")).await), unknown_key);
        assert_eq!(status(&bench.send_request(&post("/nowhere/", "t1")).await), unknown_route);
    });
}

#[rstest]
#[case(4500, "200", "401", "404")]
#[case(4501, "503", "503", "503")]
fn nothing_is_admitted_by_a_configuration_that_may_be_outdated(
    #[case] age_ms: u64,
    #[case] served: &str,
    #[case] no_key: &str,
    #[case] unknown_route: &str,
) {
    let bench = Bench::start(1);
    bench.age.set(Some(Duration::from_millis(age_ms)));
    bench.run(async {
        assert_eq!(status(&bench.send_request(&without_key("/open/")).await), served);
        assert_eq!(status(&bench.send_request(&without_key("/risky/")).await), no_key);
        assert_eq!(status(&bench.send_request(&without_key("/nowhere/")).await), unknown_route);
    });
}

/// A request that waits for its replica while the way to the control plane is lost is sent to no further one.
#[test]
fn a_key_is_not_sent_again_once_the_way_to_the_control_plane_is_lost() {
    let bench = Bench::start(2);
    bench
        .next(&[Part::Wait, Part::Write(support::answer("503 Service Unavailable", "Not-Run: 1\r\n", ""))]);
    let answer = bench.run(async {
        let mut client = bench.connect().await;
        client.send(&with_key("k1")).await;
        bench.until(|| bench.arrivals() == 1).await;
        bench.age.set(Some(Duration::from_millis(3_001)));
        bench.release();
        client.answer().await
    });
    assert_eq!((status(&answer), bench.arrivals()), ("503", 1));
}

/// Readiness follows the requests that the configuration expects.
#[rstest]
#[case::with_keys(true, "503")]
#[case::without_keys(false, "200")]
fn readiness_without_a_way_to_the_control_plane_depends_on_keys(
    #[case] requires_key: bool,
    #[case] expected: &str,
) {
    let bench = Bench::start(1);
    bench.age.set(Some(Duration::from_millis(3_001)));
    bench.run(async {
        bench.proxy.set_configuration(changed(|configuration| configuration.requires_key = requires_key));
        assert_eq!(status(&check_ready(&bench).await), expected);
    });
}

/// The status and the requests that reached a replica which drains while the connection for the first one is
/// established; none if the connection was there before the list could change.
fn drain_while_connecting() -> Option<(String, usize)> {
    let bench = Bench::start(1);
    let is_sent = Rc::new(Cell::new(false));
    let sent = is_sent.clone();
    bench.proxy.queued_work.on_change(move |_| sent.set(true));
    let answer = bench.run(async {
        let mut client = bench.connect().await;
        client.send(&with_key("k1")).await;
        bench.until(|| bench.proxy.counters.connects.get() == 1).await;
        if is_sent.get() {
            return None;
        }
        bench.set_fleet(|lines| lines[0].phase = ReplicaPhase::Draining);
        Some(client.answer().await)
    });
    answer.map(|answer| (status(&answer).to_owned(), bench.arrivals()))
}

#[test]
fn a_replica_that_drains_while_its_connection_is_established_gets_nothing() {
    let outcome = (0..100).find_map(|_| drain_while_connecting());
    assert_eq!(outcome, Some(("503".to_owned(), 0)));
}

#[test]
fn newer_settings_change_how_old_a_configuration_may_be() {
    let bench = Bench::start(1);
    bench.age.set(Some(Duration::from_millis(2_000)));
    let mut limits = support::settings().time_limits;
    bench.run(async {
        assert_eq!(status(&bench.send_request(&with_key("k1")).await), "200");
        limits.withdraw_ms = 2_400;
        bench.proxy.set_time_limits(&limits);
        assert_eq!(status(&bench.send_request(&with_key("k1")).await), "503");
        assert_eq!(status(&bench.send_request(&without_key("/open/")).await), "503");
        limits.shut_tight = false;
        bench.proxy.set_time_limits(&limits);
        assert_eq!(status(&bench.send_request(&with_key("k1")).await), "503");
        assert_eq!(status(&bench.send_request(&without_key("/open/")).await), "200");
    });
}

#[test]
fn changes_of_configuration_and_settings_close_no_connection() {
    let bench = Bench::start(1);
    bench.run(async {
        let (mut busy, mut idle) = (bench.connect().await, bench.connect().await);
        idle.send(&with_key("k1")).await;
        assert_eq!(status(&idle.answer().await), "200");
        bench.next(&[Part::Wait, Part::Write(ok("after the change"))]);
        busy.send(&with_key("k1")).await;
        bench.until(|| bench.arrivals() == 2).await;
        bench.proxy.set_configuration(changed(|configuration| configuration.caps.idle_ms /= 2));
        bench.proxy.set_time_limits(&support::settings().time_limits);
        bench.release();
        assert!(busy.answer().await.contains("after the change"));
        for client in [&mut busy, &mut idle] {
            client.send(&with_key("k1")).await;
            assert_eq!(status(&client.answer().await), "200");
        }
    });
}

#[test]
fn of_newer_settings_the_time_limits_are_in_force_at_once() {
    let bench = Bench::start(1);
    let known = support::settings();
    let mut newest = known.clone();
    newest.time_limits.leeway_s = 3.0;
    newest.area = "zone-b".to_owned();
    let applied = tulipridge_proxy::run::reload(&bench.proxy, &known, newest);
    assert_eq!((applied.time_limits.leeway_s, applied.area.as_str()), (3.0, "zone-a"));
}

#[rstest]
#[case::less(0.0, 0, "503", 1)]
#[case::the_same(2.0, 100, "200", 2)]
fn newer_settings_change_how_much_is_sent_again(
    #[case] retry_ratio: f64,
    #[case] spare_tries: u64,
    #[case] expected: &str,
    #[case] arrivals: usize,
) {
    let bench = Bench::start(2);
    let not_run = support::answer("503 Service Unavailable", "Not-Run: 1\r\n", "");
    bench.next(&[Part::Write(not_run)]);
    let mut limits = support::settings().time_limits;
    (limits.retry_ratio, limits.spare_tries) = (retry_ratio, spare_tries);
    bench.proxy.set_time_limits(&limits);
    let answer = bench.run(bench.send_request(&post("/risky/", "t1")));
    assert_eq!((status(&answer), bench.arrivals()), (expected, arrivals));
}

async fn check_ready(bench: &Bench) -> String {
    bench.check("GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").await
}

#[test]
fn readiness_needs_a_replica() {
    let bench = Bench::start(1);
    bench.run(async {
        assert_eq!(status(&check_ready(&bench).await), "200");
        bench.set_fleet(|lines| lines[0].phase = ReplicaPhase::Draining);
        assert_eq!(status(&check_ready(&bench).await), "503");
        bench.set_fleet(|_| {});
        assert_eq!(status(&check_ready(&bench).await), "200");
        bench.proxy.stop(Duration::from_secs(8));
        assert_eq!(status(&check_ready(&bench).await), "503");
    });
}

fn changed(change: impl FnOnce(&mut Configuration)) -> Arc<Configuration> {
    let mut configuration = support::configuration();
    configuration.revision = Revision(2);
    change(&mut configuration);
    Arc::new(configuration)
}

#[test]
fn a_withdrawn_key_is_refused_at_once() {
    let bench = Bench::start(1);
    bench.run(async {
        assert_eq!(status(&bench.send_request(&with_key("k1")).await), "200");
        bench.proxy.set_configuration(changed(|configuration| configuration.tenants[0].api_keys.clear()));
        assert_eq!(status(&bench.send_request(&with_key("k1")).await), "401");
    });
    assert_eq!(bench.arrivals(), 1);
}

/// Whether keys are needed is not read off the tenants: after the last of them is removed, only public routes are
/// open. Without a list of tenants all are, whatever key is sent.
#[rstest]
#[case::last_tenant_removed(true, "/risky/", "401")]
#[case::last_tenant_removed_and_public(true, "/open/", "200")]
#[case::no_list_of_tenants(false, "/risky/", "200")]
fn a_configuration_without_tenants_says_whether_keys_are_needed(
    #[case] requires_key: bool,
    #[case] path: &str,
    #[case] expected: &str,
) {
    let bench = Bench::start(1);
    let answer = bench.run(async {
        bench.proxy.set_configuration(changed(|configuration| {
            configuration.requires_key = requires_key;
            configuration.tenants.clear();
        }));
        bench.send_request(&post(path, "t1")).await
    });
    assert_eq!(status(&answer), expected);
}

#[rstest]
#[case::key(changed(|configuration| configuration.tenants[0].api_keys.clear()))]
#[case::key_of_another(changed(|configuration| configuration.tenants[0].label = "new".to_owned()))]
#[case::route(changed(|configuration| drop(configuration.routes.remove(1))))]
#[case::service(changed(|configuration| {
    configuration.services.push(Service { label: "second".to_owned(), ..Service::default() });
    configuration.routes[1].service_weights = vec![ServiceWeight { service: "second".to_owned(), weight: 1.0 }];
}))]
fn a_request_that_waits_is_not_sent_again_under_what_was_taken_back(#[case] newest: Arc<Configuration>) {
    let bench = Bench::start(2);
    let not_run = support::answer("503 Service Unavailable", "Not-Run: 1\r\n", "");
    bench.next(&[Part::Wait, Part::Write(not_run)]);
    let answer = bench.run(async {
        let mut client = bench.connect().await;
        client.send(&post("/risky/", "t1")).await;
        bench.until(|| bench.arrivals() == 1).await;
        bench.proxy.set_configuration(newest);
        bench.release();
        client.answer().await
    });
    assert_eq!((status(&answer), bench.arrivals()), ("503", 1));
}

#[test]
fn a_request_that_waits_is_not_sent_again_by_an_outdated_configuration() {
    let bench = Bench::start(2);
    let not_run = support::answer("503 Service Unavailable", "Not-Run: 1\r\n", "");
    bench.next(&[Part::Wait, Part::Write(not_run)]);
    let answer = bench.run(async {
        let mut client = bench.connect().await;
        client.send(&post("/risky/", "t1")).await;
        bench.until(|| bench.arrivals() == 1).await;
        bench.age.set(Some(Duration::from_secs(5)));
        bench.release();
        client.answer().await
    });
    assert_eq!((status(&answer), bench.arrivals()), ("503", 1));
}

#[test]
fn a_new_route_and_its_service_are_in_force_at_once() {
    let bench = Bench::start(2);
    bench.run(async {
        assert_eq!(status(&bench.send_request(&post("/new/", "t1")).await), "404");
        bench.proxy.set_configuration(changed(|configuration| {
            configuration.services.push(Service { label: "second".to_owned(), ..Service::default() });
            let mut route = support::route("new", "/new/", tulipridge_configuration::RouteKind::Risky);
            route.service_weights = vec![ServiceWeight { service: "second".to_owned(), weight: 1.0 }];
            configuration.routes.push(route);
        }));
        bench.set_fleet(|lines| lines[1].service = "second".to_owned());
        assert_eq!(status(&bench.send_request(&post("/new/", "t2")).await), "200");
        assert_eq!(status(&bench.send_request(&post("/risky/", "t3")).await), "200");
    });
    assert_eq!(bench.replicas.iter().map(|replica| replica.count()).collect::<Vec<_>>(), [1, 1]);
}

#[rstest]
#[case::draining(|lines: &mut Vec<tulipridge_protocol::feed::Replica>| lines[0].phase = ReplicaPhase::Draining)]
#[case::loading(|lines: &mut Vec<tulipridge_protocol::feed::Replica>| lines[0].phase = ReplicaPhase::Loading)]
#[case::gone(|lines: &mut Vec<tulipridge_protocol::feed::Replica>| drop(lines.remove(0)))]
#[case::of_another_service(|lines: &mut Vec<tulipridge_protocol::feed::Replica>| lines[0].service = "second".to_owned())]
fn nothing_is_sent_to_a_replica_that_may_not_be_used(
    #[case] change: impl Fn(&mut Vec<tulipridge_protocol::feed::Replica>),
) {
    let bench = Bench::start(2);
    bench.run(async {
        for n in 0..8 {
            bench.send_request(&post("/risky/", &format!("a{n}"))).await;
        }
        let before = bench.replicas[0].count();
        bench.set_fleet(&change);
        for n in 0..8 {
            assert_eq!(status(&bench.send_request(&post("/risky/", &format!("b{n}"))).await), "200");
        }
        assert_eq!(bench.replicas[0].count(), before);
    });
}

#[test]
fn weights_below_the_least_are_not_used() {
    let bench = Bench::start(2);
    let lines: Vec<_> = bench.replicas.iter().map(|replica| support::replica_line(replica)).collect();
    let mut newer = lines.clone();
    newer[1].models = vec![ModelRevision { model: "m".to_owned(), revision: WeightsRevision(5) }];
    let named = |least: u64| WeightsTable {
        position: Position { epoch: Epoch(1), sequence: ChangeNumber(least) },
        models: vec![ModelWeights {
            model: "m".to_owned(),
            named: WeightsRevision(5),
            least: WeightsRevision(least),
            expired: WeightsRevision(0),
        }],
    };
    bench.run(async {
        bench.proxy.set_fleet(&newer, &named(4));
        for n in 0..16 {
            bench.send_request(&post("/risky/", &format!("a{n}"))).await;
        }
        let before = bench.replicas[0].count();
        assert!(before > 0);
        bench.proxy.set_fleet(&newer, &named(5));
        for n in 0..16 {
            let request = post_with("/risky/", &format!("b{n}"), "Llm: m\r\n");
            assert_eq!(status(&bench.send_request(&request).await), "200");
        }
        assert_eq!(bench.replicas[0].count(), before);
    });
    let last = bench.replicas[1].requests.borrow().last().cloned().expect("a request");
    assert_eq!(header(&last, "Expect-Version").as_deref(), Some("5"));
    assert_eq!(header(&last, "Cache-Salt").as_deref(), Some("m5-t-acme"));
}

#[test]
fn an_incarnation_whose_address_belongs_to_another_gets_no_more_requests() {
    let bench = Bench::start(2);
    let gone = "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nServer-Id: i-9\r\nContent-Length: 0\r\n\r\n";
    bench.next(&[Part::Write(gone.to_owned())]);
    bench.run(async {
        assert_eq!(status(&bench.send_request(&post("/risky/", "t0")).await), "200");
        for n in 1..9 {
            bench.send_request(&post("/risky/", &format!("t{n}"))).await;
        }
        // The list still has it, as it lags.
        bench.set_fleet(|lines| lines[0].capacity = 9);
        for n in 9..17 {
            bench.send_request(&post("/risky/", &format!("t{n}"))).await;
        }
    });
    let mut counts: Vec<_> = bench.replicas.iter().map(|replica| replica.count()).collect();
    counts.sort();
    assert_eq!(counts, [1, 17]);
}

#[test]
fn a_request_that_nobody_can_take_is_refused_soon() {
    let bench = Bench::start(1);
    bench.set_fleet(std::vec::Vec::clear);
    let answer = bench.run(bench.send_request(&post("/risky/", "t1")));
    assert_eq!(status(&answer), "503");
    assert!(header(&answer, "Retry-After").is_some(), "{answer}");
}

#[test]
fn a_shutdown_closes_connections_after_their_responses() {
    let bench = Bench::start(1);
    bench.run(async {
        let mut client = bench.connect().await;
        client.send(&post("/risky/", "t1")).await;
        assert_eq!(header(&client.answer().await, "Connection"), None);
        bench.proxy.stop(Duration::from_secs(8));
        client.send(&post("/risky/", "t2")).await;
        let last = client.answer().await;
        assert_eq!((status(&last), header(&last, "Connection").as_deref()), ("200", Some("close")));
        assert_eq!(client.answer().await, "(closed)");
        // New connections are taken for a while.
        let late = bench.send_request(&post("/risky/", "t3")).await;
        assert_eq!((status(&late), header(&late, "Connection").as_deref()), ("200", Some("close")));
    });
}

/// A request whose last byte comes when the process may end before its answer: it is not sent on, and its client
/// is told to go elsewhere.
#[test]
fn a_request_that_may_outlast_the_process_is_refused_unsent() {
    let bench = Bench::start(1);
    let request = post("/risky/", "t1");
    let (begin, rest) = request.split_at(request.len() - 1);
    bench.run(async {
        let mut client = bench.connect().await;
        client.send(begin).await;
        bench.until(|| bench.proxy.usage.open_clients() == 1).await;
        bench.proxy.stop(Duration::ZERO);
        client.send(rest).await;
        let answer = client.answer().await;
        assert_eq!((status(&answer), header(&answer, "Connection").as_deref()), ("503", Some("close")));
        assert!(header(&answer, "Retry-After").is_some(), "{answer}");
        assert_eq!(client.answer().await, "(closed)");
    });
    assert_eq!(bench.arrivals(), 0);
}

#[test]
fn idle_connections_are_closed_once_no_more_are_taken() {
    let bench = Bench::start(1);
    // Long before the idle timeout of clients' connections.
    let by = Instant::now() + Duration::from_secs(3);
    let end = bench.run(bench.proxy.alarms.by(by, async {
        let mut client = bench.connect().await;
        client.send(&post("/risky/", "t1")).await;
        assert_eq!(status(&client.answer().await), "200");
        bench.proxy.stop(Duration::ZERO);
        client.answer().await
    }));
    assert_eq!(end.as_deref(), Some("(closed)"));
}
