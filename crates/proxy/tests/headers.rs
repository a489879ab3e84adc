//! Which headers of requests and responses the proxy forwards, drops and adds.

use std::time::Duration;

use tulipridge_configuration::number::WeightsRevision;
use tulipridge_http1::codec::Head;
use tulipridge_proxy::headers::{
    Additions, Framing, LocalResponse, Persistence, write_request_head, write_response_head,
};
use tulipridge_proxy::kv_cache::KvTransfer;

fn head(text: &str) -> Head {
    let mut lines = text.lines();
    let mut parts = lines.next().expect("a start line").splitn(3, ' ').map(str::to_owned);
    let start = std::array::from_fn(|_| parts.next().unwrap_or_default());
    let headers = lines.map(|line| {
        let (name, value) = line.split_once(": ").expect("a header");
        (name.to_owned(), value.to_owned())
    });
    Head { start, headers: headers.collect() }
}

fn text(bytes: Vec<u8>) -> String {
    let text = String::from_utf8(bytes).expect("UTF-8");
    assert_eq!(text.matches('\n').count(), text.matches("\r\n").count());
    text.replace("\r\n", "\n")
}

fn request(client: &str, body: usize, additions: &Additions<'_>) -> String {
    let mut out = Vec::new();
    write_request_head(&head(client), body, additions, &mut out);
    text(out)
}

const BASE_ADDITIONS: Additions<'_> = Additions {
    replica: "i-1",
    tenant: None,
    time_left: Duration::from_millis(5500),
    priority: 5,
    revision: None,
    salt: None,
    last_event_id: None,
    kv: KvTransfer { fetch: None, save: None, unread_tokens: 0 },
};

#[test]
fn a_request_keeps_end_to_end_headers() {
    let client = "POST /a/b?c=d%20e&f HTTP/1.1\n\
                  Host: shop.example\n\
                  ATTEMPT-ID: 9c41d07b\n\
                  Llm: m\n\
                  Token-Count: 1460,80\n\
                  Prompt-Start: 5c1e07a2:800,e4402b7d:250\n\
                  Time-Left-Ms: 8000\n\
                  Authorization: Token secret\n\
                  Last-Event-Id: 12\n\
                  Content-Type: application/json\n\
                  X-Own: kept, as it is\n\
                  Content-Length: 17";
    let additions = Additions {
        tenant: Some("acme"),
        priority: 3,
        revision: Some(WeightsRevision(4)),
        salt: Some("m4-t-acme"),
        ..BASE_ADDITIONS
    };
    insta::assert_snapshot!(request(client, 17, &additions));
}

#[test]
fn a_request_loses_headers_reserved_for_the_proxy() {
    let client = "POST / HTTP/1.1\n\
                  Host: shop.example\n\
                  customer: somebody-else\n\
                  Meant-Server: i-9\n\
                  Priority: 0\n\
                  Expect-Version: 1\n\
                  Cache-Salt: theirs\n\
                  Kv-Fetch: 10.0.0.1:80\n\
                  Kv-Save: 10.0.0.1:80\n\
                  Expect: 100-continue\n\
                  AUTHORIZATION: Token secret\n\
                  Content-Length: 1";
    insta::assert_snapshot!(request(client, 1, &BASE_ADDITIONS));
}

#[test]
fn a_request_loses_hop_by_hop_headers() {
    let client = "POST / HTTP/1.1\n\
                  Host: shop.example\n\
                  Connection: keep-alive, X-Hop\n\
                  Keep-Alive: timeout=5\n\
                  Proxy-Authorization: secret\n\
                  Proxy-Connection: keep-alive\n\
                  TE: trailers\n\
                  Trailer: X-End\n\
                  Transfer-Encoding: chunked\n\
                  Upgrade: h2c\n\
                  x-hop: dropped\n\
                  X-Kept: yes";
    insta::assert_snapshot!(request(client, 0, &BASE_ADDITIONS));
}

#[test]
fn a_request_without_a_body_gets_no_length() {
    insta::assert_snapshot!(request("GET /a HTTP/1.1\nHost: shop.example", 0, &BASE_ADDITIONS));
}

#[test]
fn a_resumed_request_names_the_last_forwarded_event() {
    let client = "POST / HTTP/1.1\nHost: shop.example\nLast-Event-Id: 7\nContent-Length: 0";
    let additions = Additions { last_event_id: Some("31"), ..BASE_ADDITIONS };
    insta::assert_snapshot!(request(client, 0, &additions));
}

fn response(framing: Framing, persistence: Persistence) -> String {
    let replica = "HTTP/1.1 200 Fine\n\
                   Attempt-Id: 9c41d07b\n\
                   Server-Seal: 3e1b.07\n\
                   Versions: 4\n\
                   Server-Load: 3,0,8\n\
                   Content-Type: text/event-stream\n\
                   Content-Length: 5\n\
                   Connection: close\n\
                   Keep-Alive: timeout=3";
    let mut out = Vec::new();
    write_response_head(&head(replica), framing, persistence, &mut out);
    text(out)
}

#[test]
fn a_response_keeps_end_to_end_headers() {
    let keep_alive = Persistence::KeepAlive(Duration::from_secs(14));
    insta::assert_snapshot!(response(Framing::Length(5), keep_alive));
}

#[test]
fn a_chunked_response_has_no_length() {
    insta::assert_snapshot!(response(Framing::Chunked, Persistence::Close));
}

#[test]
fn a_response_without_a_body_keeps_its_stated_length() {
    insta::assert_snapshot!(response(Framing::None, Persistence::Close));
}

#[test]
fn a_response_header_with_a_line_end_in_its_value_is_dropped() {
    let mut replica = head("HTTP/1.1 200 Fine\nServer-Seal: 3e1b.07\nX-Note: plain\tenough");
    replica.start[2] = "Fi\nne".to_owned();
    replica.headers.push(("X-Noise".to_owned(), "a\nContent-Length: 0".to_owned()));
    let mut out = Vec::new();
    write_response_head(&replica, Framing::Length(5), Persistence::Close, &mut out);
    insta::assert_snapshot!(text(out), @"
    HTTP/1.1 200 OK
    Server-Seal: 3e1b.07
    X-Note: plain	enough
    Content-Length: 5
    Connection: close
    ");
}

#[test]
fn a_refusal_states_retry_after() {
    let mut out = Vec::new();
    LocalResponse::refusal(Duration::from_millis(350)).write(Some("t1"), Persistence::Close, &mut out);
    insta::assert_snapshot!(text(out));
}
