//! Tests that members converge after message loss, restarts and stale updates.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use proptest::prelude::*;
use quincevalve_membership::{
    Load, Member, MemberState, Membership, MembershipAction, MembershipSettings,
};
use quincevalve_names::{Incarnation, TimePoint};

const NODES: usize = 7;

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, node as u8], 1))
}

fn member(node: usize, incarnation: u64) -> Member {
    Member {
        name: format!("vm-{node}").as_str().into(),
        data_centre: "dc".into(),
        control: address(node),
        entry: address(node + 100),
        incarnation: Incarnation(incarnation),
        state: MemberState::Alive,
        load: Load::default(),
    }
}

struct Net {
    nodes: Vec<Option<Membership>>,
    starts: u64,
    now: TimePoint,
}

impl Net {
    fn new() -> Self {
        let mut net =
            Self { nodes: (0..NODES).map(|_| None).collect(), starts: 0, now: TimePoint::ZERO };
        (0..NODES).for_each(|it| net.start(it));
        net
    }

    fn start(&mut self, node: usize) {
        self.starts += 1;
        let settings = MembershipSettings::default();
        let mut core = Membership::new(member(node, self.starts), settings, self.starts);
        core.seed(&(0..NODES).map(address).collect::<Vec<_>>(), &[]);
        self.nodes[node] = Some(core);
    }

    /// Runs one round of every node. A message is lost if `lost` returns true.
    fn round(&mut self, mut lost: impl FnMut() -> bool) {
        self.now = self.now + Duration::from_secs(1);
        for node in 0..NODES {
            let Some(core) = &mut self.nodes[node] else { continue };
            for action in core.tick(self.now) {
                self.perform(node, action, &mut lost);
            }
        }
    }

    fn perform(&mut self, node: usize, action: MembershipAction, lost: &mut impl FnMut() -> bool) {
        match action {
            MembershipAction::Probe { name, to, message } => {
                let target = (0..NODES).find(|it| address(*it) == to);
                let answer = target.filter(|_| !lost()).and_then(|it| {
                    let now = self.now;
                    self.nodes[it].as_mut().map(|core| core.answer(now, &message))
                });
                let Some(core) = &mut self.nodes[node] else { return };
                match (answer, name) {
                    (Some(answer), _) => core.receive(self.now, &answer),
                    (None, Some(name)) => {
                        for action in core.probe_failed(&name) {
                            self.perform(node, action, lost);
                        }
                    }
                    (None, None) => {}
                }
            }
            MembershipAction::ProbeVia { name, target, .. } => {
                let is_running =
                    (0..NODES).any(|it| address(it) == target && self.nodes[it].is_some());
                let reached = is_running && !lost();
                if !reached && let Some(core) = &mut self.nodes[node] {
                    core.suspect(self.now, &name);
                }
            }
        }
    }

    fn alive(&self) -> Vec<String> {
        let alive = self.nodes.iter().flatten().map(|it| it.own().name.to_string());
        alive.collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        rng_seed: proptest::test_runner::RngSeed::Fixed(29),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Nodes stop, or restart with the same name and address, and messages are lost. After 40 rounds without faults,
    // every live node must consider exactly the live nodes alive.
    #[test]
    fn live_nodes_agree_on_members_after_faults_end(
        events in prop::collection::vec((0..NODES, 0..3_u8), 0..12),
        losses in prop::collection::vec(any::<bool>(), 64),
    ) {
        let mut net = Net::new();
        let mut turn = 0;
        for (node, kind) in events {
            match kind {
                0 => net.nodes[node] = None,
                1 => net.start(node),
                _ => {}
            }
            for _ in 0..3 {
                net.round(|| {
                    turn += 1;
                    losses[turn % losses.len()]
                });
            }
        }
        for _ in 0..40 {
            net.round(|| false);
        }
        let mut expected = net.alive();
        expected.sort();
        for core in net.nodes.iter().flatten() {
            let viewed = core.members().filter(|it| it.takes_work());
            let mut viewed: Vec<_> = viewed.map(|it| it.name.to_string()).collect();
            viewed.sort();
            prop_assert_eq!(&viewed, &expected, "{} has a different view", core.own().name);
        }
    }

    // Guards against new work for a VM that is being reclaimed: its peers receive that it is leaving, and then an older
    // update of the same incarnation that states that it is alive.
    #[test]
    fn does_not_revive_a_leaving_member(order in prop::collection::vec(any::<bool>(), 1..20)) {
        let mut core = Membership::new(member(0, 1), MembershipSettings::default(), 1);
        let leaving = Member { state: MemberState::Leaving, ..member(1, 5) };
        let alive = member(1, 5);
        let mut left = false;
        for is_leaving in order {
            left |= is_leaving;
            let update = if is_leaving { leaving.clone() } else { alive.clone() };
            let mut message = core.hello();
            message.sender = member(2, 1);
            message.updates = vec![update];
            core.receive(TimePoint::ZERO, &message);
            let states: HashMap<_, _> =
                core.members().map(|it| (it.name.to_string(), it.state)).collect();
            prop_assert_eq!(states["vm-1"] == MemberState::Leaving, left);
        }
    }
}
