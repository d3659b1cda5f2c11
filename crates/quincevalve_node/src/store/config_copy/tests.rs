use std::time::Duration;

use indexmap::IndexMap;
use quincevalve_forwarding::config::{Account, CallerLimits, CopyingEngine};

use super::*;
use crate::{
    clock,
    test_node::{any_address, node as bare_node, run},
};

/// Returns a VM that has the configuration of that version.
fn node(version: u64) -> Node {
    let node = bare_node(&format!("vm-{version}"));
    node.apply_config(config(version));
    node
}

/// Returns a configuration that takes several datagrams.
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

// The store rejects a VM while a key is removed: the VM knows of a newer configuration that it can't read and would
// reject all callers with keys for 4 s. It requests the configuration from another VM, and again after a lost chunk.
#[test]
fn fetches_the_configuration_from_another_vm_when_the_store_rejects_this_one() {
    run(|| {
        let (stale, current) = (node(1), node(2));
        let now = clock::now();
        assert!(!should_request(&stale, now), "no VM has a newer one");
        stale.reported_config_version.set(2);
        assert!(!should_request(&stale, now), "the store is read first");
        let later = now + PEER_REQUEST_DELAY;
        assert!(should_request(&stale, later));
        assert!(
            !should_request(&stale, later + Duration::from_millis(10)),
            "it was just requested"
        );
        let chunks = chunks_newer_than(&current, 1);
        assert!(chunks.len() > 1, "the configuration takes several datagrams");
        for chunk in chunks.iter().skip(1) {
            receive_chunk(&stale, chunk.clone(), any_address());
        }
        assert_eq!(stale.config().map(|it| it.version), Some(1));
        assert!(should_request(&stale, later + REQUEST_INTERVAL));
        for chunk in chunks {
            receive_chunk(&stale, chunk, any_address());
        }
        assert_eq!(stale.config().as_deref(), Some(&config(2)));
        assert!(!should_request(&stale, later + REQUEST_INTERVAL * 2));
    });
}

// A copy that arrives late must not replace a newer configuration: versions only grow.
#[test]
fn ignores_a_copy_of_an_older_configuration() {
    run(|| {
        let (newer, older) = (node(3), node(2));
        assert!(chunks_newer_than(&older, 3).is_empty(), "it has no newer configuration");
        for chunk in chunks_newer_than(&older, 1) {
            receive_chunk(&newer, chunk, any_address());
        }
        assert_eq!(newer.config().map(|it| it.version), Some(3));
    });
}

// Guards against a configuration that VMs of different versions can't exchange: without copying engines the encoding is
// the one before there were any, and settings of copies follow it.
#[test]
fn settings_of_copies_extend_the_encoding() {
    let mut config = config(3);
    let plain = encode(&config).unwrap();
    assert_eq!(plain, bincode::serialize(&config).unwrap());
    assert_eq!(decode(&plain).unwrap(), config);
    let copying =
        CopyingEngine { bytes_per_token: 10, link_mbps: 20, copy_ttl: Duration::from_secs(3) };
    config.run_copies.engines.insert("engines".into(), copying);
    config.run_copies.longest_pauses.insert("route".into(), Duration::from_millis(500));
    let extended = encode(&config).unwrap();
    assert!(extended.starts_with(&plain) && extended.len() > plain.len());
    assert_eq!(decode(&extended).unwrap(), config);
    // A VM of a version without these settings ignores what follows.
    assert_eq!(bincode::deserialize::<ForwardingConfig>(&extended).unwrap().version, 3);
}

// Guards against a process that aborts on a damaged copy: a length in it may exceed any memory.
#[test]
fn a_damaged_copy_is_an_error() {
    assert!(decode(&[0xff; 64]).is_err());
    let mut config = config(3);
    config.run_copies.longest_pauses.insert("route".into(), Duration::from_millis(500));
    let mut damaged = encode(&config).unwrap();
    damaged.extend([0xff; 64]);
    assert!(decode(&damaged).is_err());
}
