//! Tests the selection of a request's route and target, and the look-up of accounts by key.

mod support;

use std::collections::HashMap;

use quincevalve_forwarding::config::Target;
use support::{config, route};

fn selects_route(host: &str, path: &str, expected: Option<&str>) {
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

cases! { selects_route:
    selects_the_longest_matching_prefix => "a.example", "/seats/holds/7", Some("holds");
    selects_a_shorter_prefix_when_no_longer_one_matches => "a.example", "/seats/7", Some("seats");
    does_not_match_a_prefix_beyond_its_slash => "a.example", "/seatsholds/7", Some("all");
    does_not_mix_routes_of_different_hosts => "b.example", "/seats/holds/7", Some("other");
    returns_no_route_for_an_unknown_host => "c.example", "/seats/7", None;
    returns_no_route_when_no_prefix_matches => "b.example", "/cars/7", None;
}

#[test]
fn target_choice_follows_weights_and_is_deterministic() {
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
fn returns_no_target_when_all_weights_are_zero() {
    let mut closed = route("closed", "a.example", "/");
    closed.targets[0].weight = 0;
    assert_eq!(closed.target(7), None);
}

#[test]
fn finds_the_account_of_a_key() {
    let config = config(1, Vec::new());
    assert_eq!(config.account_of_key("key-1"), Some(&"desk".into()));
    assert_eq!(config.account_of_key("key-2"), None);
}
