//! An invalid call is never confirmed, also where later versions of its items have overtaken it.

#[allow(dead_code, reason = "each test uses its part of the cluster")]
mod cluster;

use cluster::{Cluster, Mutant, accept_first_call, change};
use fennelscale_messages::store::{Change, StoreRequest, StoreResponse};

const MEMBERS: usize = 6;
/// A maintenance contract, and a work order that names one.
const CONTRACT: &str = r#"{"name":"nights","revision":"00000001","timeZone":"Europe/Ljubljana","hours":[{"days":["mon"],"from":"23:00","to":"04:30"}],"exceptions":[],"places":["ljubljana"],"approvedBy":"director"}"#;
const ORDER: &str = r#"{"name":"order","contract":"CONTRACT","nodes":["backend:b-1"],"length":"600s","backBefore":"60s","mostOut":{"zone":2},"state":"planned"}"#;

fn response(cluster: &mut Cluster, at: usize, changes: Vec<Change>) -> Option<StoreResponse> {
    let id = cluster.call(at, StoreRequest::Change(changes));
    cluster.run(4000.0);
    cluster.response(id)
}

/// Routes 1 and 2 at version 10, with no earlier versions.
fn cluster_with_two_routes(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed, MEMBERS, Mutant::None);
    accept_first_call(&mut cluster);
    let routes = vec![change(1, 10, 1, 1), change(2, 10, 2, 2)];
    assert_eq!(response(&mut cluster, 0, routes), Some(StoreResponse::Done));
    cluster
}

fn with_service(change: Change, service: &str) -> Change {
    let body = change.body.map(|body| body.replace(r#""service":"s""#, &format!(r#""service":"{service}""#)));
    Change { body, ..change }
}

fn tenant(name: &str, revision: u64, key: &str) -> Change {
    let body = format!(r#"{{"apiKeys":["{key}"]}}"#);
    Change { name: format!("t:{name}"), revision, host: String::new(), body: Some(body) }
}

fn is_invalid(response: &Option<StoreResponse>) -> bool {
    matches!(response, Some(StoreResponse::Invalid(_)))
}

/// Guards against CONFIG (an invalid change was acknowledged): a route with an unknown service was confirmed where its
/// version was lower than the one in force.
#[test]
fn an_overtaken_route_with_an_unknown_service_is_rejected() {
    let mut cluster = cluster_with_two_routes(1);
    let overtaken = with_service(change(1, 5, 1, 3), "nowhere");
    assert!(is_invalid(&response(&mut cluster, 1, vec![overtaken.clone()])));
    // Also when it is repeated, and beside a change that would come into force.
    assert!(is_invalid(&response(&mut cluster, 2, vec![overtaken.clone()])));
    assert!(is_invalid(&response(&mut cluster, 3, vec![change(2, 11, 2, 3), overtaken])));
    let entry = cluster.item(0, "r:2").and_then(|item| item.chosen).expect("the route is there");
    assert_eq!(entry.revision, 10, "nothing of an invalid call comes into force");
    cluster.recover_and_verify();
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Guards against CONFIG (an invalid change was acknowledged): two items of one call that share a path or a key were
/// confirmed where the version of one of them was overtaken.
#[test]
fn a_call_whose_items_share_a_path_or_a_key_is_rejected_although_one_is_overtaken() {
    let mut cluster = cluster_with_two_routes(2);
    for changes in [
        vec![change(1, 5, 7, 3), change(2, 5, 7, 4)],
        vec![change(1, 6, 7, 3), change(2, 11, 7, 4)],
        vec![change(2, 11, 7, 4), change(1, 6, 7, 3)],
    ] {
        assert!(is_invalid(&response(&mut cluster, 1, changes)));
    }
    let tenants = vec![tenant("a", 10, "key-a"), tenant("b", 10, "key-b")];
    assert_eq!(response(&mut cluster, 2, tenants), Some(StoreResponse::Done));
    let sharing = vec![tenant("a", 5, "key-c"), tenant("b", 11, "key-c")];
    assert!(is_invalid(&response(&mut cluster, 3, sharing)));
    cluster.recover_and_verify();
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Guards against CONFIG (an invalid change was acknowledged): a change that the items in force exclude was confirmed where
/// a later version had overtaken it, since it may have been valid once.
#[test]
fn an_overtaken_change_that_is_invalid_beside_other_items_is_rejected() {
    let mut cluster = cluster_with_two_routes(3);
    // Another route has the path.
    assert!(is_invalid(&response(&mut cluster, 1, vec![change(1, 5, 2, 3)])));
    // Also beside a change that would come into force.
    assert!(is_invalid(&response(&mut cluster, 2, vec![change(3, 11, 3, 3), change(1, 5, 2, 3)])));
    assert!(cluster.item(0, "r:3").is_none_or(|item| item.chosen.is_none()));
    // Another tenant has the key.
    let tenants = vec![tenant("a", 10, "key-a"), tenant("b", 10, "key-b")];
    assert_eq!(response(&mut cluster, 2, tenants), Some(StoreResponse::Done));
    assert!(is_invalid(&response(&mut cluster, 3, vec![tenant("a", 5, "key-b")])));
    // The service is gone.
    let gone = Change { name: "s:gone".into(), ..cluster::service() };
    assert_eq!(response(&mut cluster, 2, vec![gone.clone()]), Some(StoreResponse::Done));
    let removed = Change { revision: 2, body: None, ..gone };
    assert_eq!(response(&mut cluster, 2, vec![removed]), Some(StoreResponse::Done));
    let overtaken = with_service(change(1, 6, 1, 3), "gone");
    assert!(is_invalid(&response(&mut cluster, 3, vec![overtaken])));
    cluster.recover_and_verify();
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Guards against rejections that are too strict: what the items in force allow is confirmed without effect, and what was
/// confirmed once stays confirmed, whatever has changed since.
#[test]
fn an_overtaken_change_that_is_valid_beside_other_items_is_confirmed_without_effect() {
    let mut cluster = cluster_with_two_routes(4);
    let overtaken = vec![change(1, 5, 7, 3)];
    assert_eq!(response(&mut cluster, 1, overtaken.clone()), Some(StoreResponse::Done));
    // Its own path is no other item's.
    assert_eq!(response(&mut cluster, 1, vec![change(1, 6, 1, 3)]), Some(StoreResponse::Done));
    // The service comes with the call.
    let new_service = Change { name: "s:new".into(), ..cluster::service() };
    let with_its_service = vec![with_service(change(1, 7, 1, 3), "new"), new_service];
    assert_eq!(response(&mut cluster, 4, with_its_service), Some(StoreResponse::Done));
    // Two routes exchange their paths.
    let exchange = vec![change(1, 8, 2, 3), change(2, 8, 1, 3)];
    assert_eq!(response(&mut cluster, 3, exchange), Some(StoreResponse::Done));
    // Another route gets the path of a change that was confirmed; the change is sent again.
    assert_eq!(response(&mut cluster, 2, vec![change(2, 11, 7, 4)]), Some(StoreResponse::Done));
    assert_eq!(response(&mut cluster, 3, overtaken), Some(StoreResponse::Done));
    let entry = cluster.item(0, "r:1").and_then(|item| item.chosen).expect("the route is there");
    assert_eq!(entry.revision, 10);
    cluster.recover_and_verify();
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Guards against CONFIG (an invalid change was acknowledged): an overtaken work order without its contract was confirmed.
#[test]
fn an_overtaken_work_order_without_its_contract_is_rejected() {
    let mut cluster = cluster_with_two_routes(5);
    let contract =
        Change { name: "c:nights".into(), revision: 1, host: String::new(), body: Some(CONTRACT.into()) };
    let order = |revision: u64, contract: &str| Change {
        name: "w:order".into(),
        revision,
        host: String::new(),
        body: Some(ORDER.replace("CONTRACT", contract)),
    };
    assert_eq!(response(&mut cluster, 1, vec![contract, order(10, "nights")]), Some(StoreResponse::Done));
    assert!(is_invalid(&response(&mut cluster, 2, vec![order(5, "nowhere")])));
    assert_eq!(response(&mut cluster, 3, vec![order(6, "nights")]), Some(StoreResponse::Done));
    cluster.recover_and_verify();
    assert_eq!(cluster.violations, Vec::<String>::new());
}
