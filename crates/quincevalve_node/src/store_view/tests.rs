use super::*;

fn own(key: &str, bytes: usize) -> Passed {
    Passed::Own { key: key.to_owned(), value: vec![0; bytes] }
}

// All VMs hear late of servers that leave: what the holder of the duties keeps for its successor filled the
// datagrams. Only entries of VMs and of the holder are passed on.
#[test]
fn only_what_others_need_is_passed_on() {
    assert!(own("peers/vm-1", 100).concerns_others());
    assert!(own(HOLDER_KEY, 5).concerns_others());
    assert!(Passed::OwnRemoved(HOLDER_KEY.to_owned()).concerns_others());
    assert!(Passed::Config(7).concerns_others());
    assert!(Passed::ServerRemoved("i-1".into()).concerns_others());
    for key in ["duty/term", "duty/usage", "duty/counts"] {
        assert!(!own(key, 100).concerns_others(), "{key}");
    }
}

#[test]
fn a_change_weighs_at_least_what_it_takes_in_a_datagram() {
    let entry = ServerEntry {
        start: quincevalve_forwarding::servers::ServerStart(1),
        service: "model".into(),
        address: "10.1.0.1:80".parse().unwrap(),
        data_centre: "north".into(),
        slots: 4,
        draining: true,
        reclaimable: true,
        leaves_in: Some(std::time::Duration::from_secs(2)),
    };
    let server = Passed::Server("i-0123456789".into(), entry);
    for change in [server, own("peers/vm-1", 200), Passed::ServerRemoved("i-1".into())] {
        let encoded = bincode::serialize(&change).unwrap();
        assert!(change.bytes() >= encoded.len(), "{change:?}: {}", encoded.len());
    }
}
