use std::{net::SocketAddr, time::Duration};

use http::HeaderName;
use indexmap::IndexMap;
use quincevalve_forwarding::{
    config::{Account, CallerLimits},
    quota::QuotaLimits,
    retry_window::RetryLimits,
};
use tokio::task::LocalSet;

use super::*;
use crate::{
    clock,
    mover::Mover,
    ports::{EngineApi, HeaderNames, MoveError, MovedRun},
    settings::{Bounds, Duties, NodeSettings},
};

#[derive(Clone)]
struct NoEngines;

impl EngineApi for NoEngines {
    async fn move_run(&self, _: SocketAddr, _: SocketAddr, _: &str) -> Result<MovedRun, MoveError> {
        std::future::pending().await
    }
}

fn any() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn headers() -> HeaderNames {
    let name = HeaderName::from_static;
    HeaderNames {
        attempt_id: name("x-attempt"),
        deadline_ms: name("x-deadline-ms"),
        key: name("x-key"),
        account: name("x-account"),
        prompt_parts: name("x-parts"),
        token_counts: name("x-tokens"),
        length_hint: name("x-hint"),
        expected_server: name("x-expected"),
        answering_server: name("x-answering"),
        seal: name("x-seal"),
        not_run: name("x-not-run"),
        urgency: name("x-urgency"),
        last_event: name("last-event-id"),
        moved_from: name("x-moved-from"),
        internal: Vec::new(),
    }
}

/// A VM that has the configuration of that version.
fn node(version: u64) -> Node {
    let settings = NodeSettings {
        name: format!("vm-{version}").as_str().into(),
        data_centre: "a".into(),
        ip: any().ip(),
        cpu: 250,
        front: any(),
        ready: any(),
        peer_port: 0,
        metrics: any(),
        bounds: Bounds {
            change_in_force: Duration::from_secs(2),
            key_removed: Duration::from_secs(5),
            keys_fail_closed: true,
            grace: Duration::from_secs(8),
        },
        retries: RetryLimits { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) },
        quotas: QuotaLimits::default(),
        duties: Duties {
            usage: false,
            scaling: false,
            usage_window: Duration::from_secs(5),
            lease: Duration::from_secs(3),
        },
    };
    let node = Node::new(settings, headers(), Mover::start(NoEngines));
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
        head_time: Duration::from_secs(3),
        idle_time: Duration::from_secs(15),
    };
    let accounts: IndexMap<_, _> = (0..800).map(account).collect();
    ForwardingConfig::new(version, Vec::new(), IndexMap::new(), accounts, limits)
}

fn run(test: impl FnOnce()) {
    let rt = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    LocalSet::new().block_on(&rt, async { test() });
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
        lacking.told_version.set(2);
        assert!(!is_wanted(&lacking, now), "the store is asked first");
        let later = now + STORE_TIME;
        assert!(is_wanted(&lacking, later));
        assert!(!is_wanted(&lacking, later + Duration::from_millis(10)), "it was just asked for");
        let parts = parts_above(&having, 1);
        assert!(parts.len() > 1, "one datagram holds it");
        for part in parts.iter().skip(1) {
            take_part(&lacking, part.clone(), any());
        }
        assert_eq!(lacking.config().map(|it| it.version), Some(1));
        assert!(is_wanted(&lacking, later + ASK_AGAIN));
        for part in parts {
            take_part(&lacking, part, any());
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
            take_part(&newer, part, any());
        }
        assert_eq!(newer.config().map(|it| it.version), Some(3));
    });
}
