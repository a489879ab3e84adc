//! Requests that may share cached prefixes: the cache salt sent to replicas, and the KV transfers of these requests.

mod support;

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;

use support::{Harness, header, post_with};
use tulipridge_configuration::number::WeightsRevision;
use tulipridge_prefix_cache_index::{CacheUpdate, Index, Liveness};
use tulipridge_protocol::feed::ModelRevision;

const STORE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9);
const PROMPT: &str = "Llm: m\r\nPrompt-Start: 5c1e07a2:800,e4402b7d:250\r\n";

/// Adds an empty cache store to which the proxy can save prefixes.
fn set_store(harness: &Harness) {
    let mut index = Index::default();
    index.apply(&CacheUpdate {
        source: STORE,
        boot: 1,
        next_token: 1,
        liveness: Liveness::Alive,
        replace: true,
        added: Vec::new(),
        removed: Vec::new(),
    });
    let mut planner = harness.proxy.transfer_planner.borrow_mut();
    planner.set_index(Rc::new(RefCell::new(index)));
    planner.set_stores(vec![STORE]);
}

/// Sends three requests to a replica that is listed with these models, and returns them as the replica received them.
fn sent_requests(models: &[ModelRevision]) -> Vec<String> {
    let harness = Harness::start(1);
    set_store(&harness);
    harness.set_fleet(|entries| entries[0].models = models.to_vec());
    harness.run(async {
        for n in 0..3 {
            harness.send_request(&post_with("/stream/", &format!("t{n}"), PROMPT)).await;
        }
    });
    harness.replicas[0].requests.borrow().clone()
}

#[test]
fn requests_to_one_revision_share_a_salt_and_are_saved_under_it() {
    let sent = sent_requests(&[ModelRevision { model: "m".to_owned(), revision: WeightsRevision(4) }]);
    assert_eq!(sent.len(), 3);
    for request in &sent {
        assert_eq!(header(request, "Cache-Salt").as_deref(), Some("m4-t-acme"));
        assert_eq!(header(request, "Expect-Version").as_deref(), Some("4"));
    }
    assert_eq!(header(&sent[0], "Kv-Save"), Some(STORE.to_string()));
}

#[test]
fn requests_to_an_unknown_revision_share_no_cached_prefix() {
    let other = ModelRevision { model: "other".to_owned(), revision: WeightsRevision(4) };
    for models in [Vec::new(), vec![other]] {
        let sent = sent_requests(&models);
        assert_eq!(sent.len(), 3);
        let mut salts: Vec<_> = sent.iter().map(|request| header(request, "Cache-Salt")).collect();
        salts.sort();
        salts.dedup();
        assert!(salts.len() == 3 && salts.iter().all(Option::is_some), "{salts:?}");
        for request in &sent {
            assert_eq!(header(request, "Expect-Version"), None);
            assert_eq!(header(request, "Kv-Fetch"), None);
            assert_eq!(header(request, "Kv-Save"), None);
        }
    }
}
