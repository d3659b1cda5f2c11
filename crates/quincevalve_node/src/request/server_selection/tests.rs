use std::sync::Arc;

use quincevalve_forwarding::{placement::Prompt, servers::ServerEntry};

use super::*;
use crate::test_node;

fn entry(start: ServerStart) -> ServerEntry {
    ServerEntry {
        start,
        service: "engines".into(),
        address: test_node::any_address(),
        data_centre: "a".into(),
        version: "v2".into(),
        slots: 1,
        is_cold: false,
        draining: false,
        reclaimable: false,
        leaves_in: None,
    }
}

// Guards against a request that is refused during a roll-out because one version has no server, although the servers of
// the other are only busy.
#[test]
fn a_request_may_wait_for_the_version_that_has_servers() {
    test_node::run(|| {
        let node = test_node::node("vm-1");
        let start = ServerStart(1);
        let now = clock::now();
        let name: BackendServerName = "server-1".into();
        node.servers.borrow_mut().apply_entry(&name, entry(start), now);
        let work = Work { prefill: 100, memory: 200, output: 100, urgency: 0 };
        node.servers
            .borrow_mut()
            .get_mut(&name, start)
            .expect("a known server")
            .load
            .add_request(work, now);
        let prompt = Prompt { input: 100, max_output: 100, expected_output: None, shared: None };
        let engine = Engine { slots: 1, kv_tokens: 100_000, supports_migration: false };
        let service = "engines".into();
        let request = PlacementRequest {
            service: &service,
            prompt: Some((prompt, engine)),
            urgency: 0,
            latency_budget: Duration::from_secs(1),
            data_centre: &node.settings.data_centre,
            tried: &[],
            scope: None,
            version: None,
            barred: &[],
        };
        let new = Arc::new(VersionScope::Only("v2".into()));
        let old = Arc::new(VersionScope::Except(vec!["v2".into()]));
        for choice in [
            VersionChoice::WithFallback(new.clone(), old.clone()),
            VersionChoice::WithFallback(old, new),
        ] {
            let error = pick(&node, &request, &choice).expect_err("no free slot");
            assert!(matches!(error, PlacementError::Busy { .. }), "{choice:?}: {error:?}");
        }
    });
}
