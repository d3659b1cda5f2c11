use std::time::Duration;

use indexmap::IndexMap;
use quincevalve_forwarding::config::{Account, CallerLimits};

use super::*;
use crate::{
    clock,
    test_node::{any_address, node as bare_node, run},
};

/// A VM that has the configuration of that version.
fn node(version: u64) -> Node {
    let node = bare_node(&format!("vm-{version}"));
    node.apply_config(config(version));
    node
}

/// A configuration that takes several datagrams.
fn config(version: u64) -> ForwardingConfig {
    let account = |at: usize| {
        let keys = vec![format!("key-{at}-of-version-{version}").as_str().into()];
        (format!("account-{at}").as_str().into(), Account { keys, ..Account::default() })
    };
    let limits = CallerLimits {
        head_bytes: 16 << 10,
        body_bytes: 1_000,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let accounts: IndexMap<_, _> = (0..800).map(account).collect();
    ForwardingConfig::new(version, Vec::new(), IndexMap::new(), accounts, limits)
}

// All callers with keys are refused for four seconds: the store turns a VM away while a key is taken away, so it knows
// of a newer configuration and can't read it. Another VM has it, and passes it on; a part that is lost comes with
// the next question.
#[test]
fn a_vm_that_the_store_turns_away_gets_the_configuration_from_another() {
    run(|| {
        let (lacking, having) = (node(1), node(2));
        let now = clock::now();
        assert!(!is_wanted(&lacking, now), "nobody has a newer one");
        lacking.reported_config_version.set(2);
        assert!(!is_wanted(&lacking, now), "the store is asked first");
        let later = now + STORE_TIME;
        assert!(is_wanted(&lacking, later));
        assert!(!is_wanted(&lacking, later + Duration::from_millis(10)), "it was just asked for");
        let parts = parts_above(&having, 1);
        assert!(parts.len() > 1, "one datagram holds it");
        for part in parts.iter().skip(1) {
            take_part(&lacking, part.clone(), any_address());
        }
        assert_eq!(lacking.config().map(|it| it.version), Some(1));
        assert!(is_wanted(&lacking, later + ASK_AGAIN));
        for part in parts {
            take_part(&lacking, part, any_address());
        }
        assert_eq!(lacking.config().as_deref(), Some(&config(2)));
        assert!(!is_wanted(&lacking, later + ASK_AGAIN * 2));
    });
}

// A VM goes back to an older configuration: a copy comes late. Versions only grow.
#[test]
fn an_older_copy_changes_nothing() {
    run(|| {
        let (newer, older) = (node(3), node(2));
        assert!(parts_above(&older, 3).is_empty(), "it has nothing newer to give");
        for part in parts_above(&older, 1) {
            take_part(&newer, part, any_address());
        }
        assert_eq!(newer.config().map(|it| it.version), Some(3));
    });
}
