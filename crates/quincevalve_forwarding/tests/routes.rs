//! Which route a request takes, and whose key it carries.

mod support;

use std::collections::HashMap;

use quincevalve_forwarding::config::Target;
use support::{config, route};

fn takes(host: &str, path: &str, expected: Option<&str>) {
    let config = config(
        1,
        vec![
            route("all", "a.example", "/"),
            route("seats", "a.example", "/seats/"),
            route("holds", "a.example", "/seats/holds/"),
            route("other", "b.example", "/seats/"),
        ],
    );
    assert_eq!(config.route(host, path).map(|it| &*it.name), expected);
}

cases! { takes:
    the_longest_prefix_wins => "a.example", "/seats/holds/7", Some("holds");
    a_shorter_prefix_takes_the_rest => "a.example", "/seats/7", Some("seats");
    a_prefix_ends_at_its_slash => "a.example", "/seatsholds/7", Some("all");
    hosts_are_apart => "b.example", "/seats/holds/7", Some("other");
    an_unknown_host_has_no_route => "c.example", "/seats/7", None;
    a_path_without_a_prefix_has_no_route => "b.example", "/cars/7", None;
}

#[test]
fn a_split_follows_its_weights_and_is_the_same_for_the_same_request() {
    let mut split = route("split", "a.example", "/");
    split.targets = vec![
        Target { service: "old".into(), weight: 90 },
        Target { service: "new".into(), weight: 10 },
    ];
    let mut counts: HashMap<&str, u32> = HashMap::new();
    for request in 0..10_000 {
        let first = split.target(request).unwrap();
        assert_eq!(split.target(request), Some(first));
        *counts.entry(first.service.as_str()).or_default() += 1;
    }
    assert!((800..1_200).contains(&counts["new"]), "{counts:?}");
}

#[test]
fn a_route_without_weight_has_no_target() {
    let mut closed = route("closed", "a.example", "/");
    closed.targets[0].weight = 0;
    assert_eq!(closed.target(7), None);
}

#[test]
fn a_key_names_its_account() {
    let config = config(1, Vec::new());
    assert_eq!(config.account_of_key("key-1"), Some(&"desk".into()));
    assert_eq!(config.account_of_key("key-2"), None);
}
