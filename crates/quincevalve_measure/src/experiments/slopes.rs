//! Slopes: what control costs a node as the fleet grows, and how fast a change is in force.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use quincevalve_inventory::{
    BackendServer, DataCentre, Fencing, Inventory, Model, Region as InventoryRegion, Serves,
};
use quincevalve_ledger::{
    Claim, ClaimKey, ReadOutcome, Slot, SlotAction, SlotEvent, SlotSettings, SwapOutcome, Ticket,
};
use quincevalve_names::{HomeTag, RequestId, TimePoint};
use quincevalve_ports::store::KeyVersion;
use quincevalve_routing::{PredictedFirstToken, Router, ServerSpec, Target};
use stats_alloc::Region;

use crate::{
    ALLOCATOR,
    fleet::{Fleet, FleetSetup},
    table::{Table, two},
};

/// Fleet sizes: today's, between, and the target's.
const SIZES: [(u32, u32); 4] = [(8, 4), (40, 4), (160, 8), (360, 11)];
const SETTLE: Duration = Duration::from_secs(40);
const LENGTH: Duration = Duration::from_secs(120);
/// Configuration changes in a day at the target.
const CHANGES_A_DAY: f64 = 1_400.0;
const DAY_S: f64 = 86_400.0;

pub(crate) fn run(seed: u64) -> Vec<Table> {
    vec![control(seed), changes(seed), waves(seed), state(), inventory_size()]
}

fn setup(nodes: u32, data_centres: u32, loss: f64) -> FleetSetup {
    let content = serde_json::to_vec(&inventory(910)).map_or(0, |it| it.len());
    FleetSetup { nodes, data_centres, loss, content, outage: false }
}

/// Bytes, messages, processor time and memory of membership and distribution on one node.
fn control(seed: u64) -> Table {
    let title = "Control on one node: gossip at one round a second, and 1,400 changes a day";
    let columns = [
        "nodes",
        "messages/s",
        "gossip KB/s",
        "busiest KB/s",
        "with changes KB/s",
        "core %",
        "state KB",
    ];
    let mut table = Table::new("slopes_control", title, &columns).with_plot(0, 2, 6);
    for (nodes, data_centres) in SIZES {
        let region = Region::new(ALLOCATOR);
        let mut fleet = Fleet::new(setup(nodes, data_centres, 0.0), seed);
        fleet.run(SETTLE);
        let held = region.change();
        let held = held.bytes_allocated as f64 - held.bytes_deallocated as f64;
        fleet.reset_usage();
        fleet.run(LENGTH);
        let (mean, most) = fleet.usage();
        let seconds = LENGTH.as_secs_f64();
        let gossip = mean.bytes as f64 / 1_000.0 / seconds;
        fleet.reset_usage();
        fleet.change();
        let (with_change, _) = fleet.usage();
        // Gossip during the change is counted above already; what a change adds is its content.
        let change_bytes = with_change.bytes as f64;
        let changes = change_bytes * CHANGES_A_DAY / DAY_S / 1_000.0;
        table.push(vec![
            nodes.to_string(),
            two(mean.messages as f64 / seconds),
            two(gossip),
            two(most.bytes as f64 / 1_000.0 / seconds),
            two(gossip + changes),
            two(mean.busy.as_secs_f64() / seconds * 100.0),
            two(held / 1_000.0 / f64::from(nodes)),
        ]);
    }
    table
}

const CHANGES: u32 = 20;

/// How long until a change is in force on every node.
fn changes(seed: u64) -> Table {
    let title = "Seconds until a change is in force on every node, 20 changes";
    let columns = ["nodes", "trouble", "median s", "worst s", "not within 120 s"];
    let mut table = Table::new("slopes_change", title, &columns);
    for (nodes, data_centres) in [(8, 4), (360, 11)] {
        for (trouble, loss, outage) in [
            ("none", 0.0, false),
            ("5% of messages lost", 0.05, false),
            ("store down after one relay read it", 0.0, true),
            ("store down so, and 5% lost", 0.05, true),
        ] {
            let setup = FleetSetup { outage, ..setup(nodes, data_centres, loss) };
            let mut fleet = Fleet::new(setup, seed);
            fleet.run(SETTLE);
            let mut times = Vec::new();
            let mut failed = 0;
            for _ in 0..CHANGES {
                match fleet.change() {
                    Some(time) => times.push(time),
                    None => failed += 1,
                }
                fleet.run(Duration::from_millis(3_700));
            }
            times.sort_unstable();
            let at = |it: usize| times.get(it).copied().unwrap_or_default().as_secs_f64();
            table.push(vec![
                nodes.to_string(),
                trouble.to_owned(),
                two(at(times.len() / 2)),
                two(at(times.len().saturating_sub(1))),
                failed.to_string(),
            ]);
        }
    }
    table
}

/// How long until the survivors agree after many nodes went at once.
fn waves(seed: u64) -> Table {
    let title = "Share of survivors with the right members after 46% went without notice";
    let columns = ["nodes", "before", "after 5 s", "after 10 s", "after 20 s", "after 40 s"];
    let mut table = Table::new("slopes_wave", title, &columns);
    for (nodes, data_centres) in SIZES {
        let mut fleet = Fleet::new(setup(nodes, data_centres, 0.0), seed);
        fleet.run(SETTLE);
        let mut row = vec![nodes.to_string()];
        row.push(two(fleet.agreement()));
        fleet.kill(0.46);
        for step in [5, 5, 10, 20] {
            fleet.run(Duration::from_secs(step));
            row.push(two(fleet.agreement()));
        }
        table.push(row);
    }
    table
}

/// Memory of the other kinds of state, each from two sizes.
fn state() -> Table {
    let title = "Memory by kind of state, from the difference of two sizes";
    let columns = ["state", "per", "bytes", "ns to add one"];
    let mut table = Table::new("slopes_state", title, &columns);
    let (bytes, time) = slope(1_000, 11_000, ledger);
    table.push(vec!["ledger".to_owned(), "kept claim".to_owned(), two(bytes), two(time)]);
    let (bytes, time) = slope(100, 1_100, router);
    table.push(vec!["router".to_owned(), "server".to_owned(), two(bytes), two(time)]);
    table
}

/// Bytes and time for each unit between two sizes of the same thing.
fn slope<T>(small: u32, large: u32, build: impl Fn(u32) -> T) -> (f64, f64) {
    let measure = |count: u32| {
        let region = Region::new(ALLOCATOR);
        let began = Instant::now();
        let built = build(count);
        let time = began.elapsed();
        let change = region.change();
        let held = change.bytes_allocated as f64 - change.bytes_deallocated as f64;
        drop(built);
        (held, time.as_nanos() as f64)
    };
    let (small_bytes, small_time) = measure(small);
    let (large_bytes, large_time) = measure(large);
    let count = f64::from(large - small);
    ((large_bytes - small_bytes) / count, (large_time - small_time) / count)
}

/// A slot that has granted so many claims.
fn ledger(claims: u32) -> Slot {
    let settings = SlotSettings { write_interval: Duration::ZERO, ..SlotSettings::default() };
    let mut slot = Slot::new(settings, "owner");
    let mut version = 0;
    for number in 0..claims {
        let claim = Claim {
            key: ClaimKey(u128::from(number)),
            request: RequestId::new(HomeTag(1), u128::from(number)),
            fingerprint: 1,
            at: 1,
        };
        let now = TimePoint(u64::from(number) + 1);
        let deadline = TimePoint(u64::MAX);
        let mut actions = Vec::new();
        let event = SlotEvent::Claim { ticket: Ticket(u64::from(number)), claim, deadline };
        slot.handle(now, event, &mut actions);
        while let Some(action) = actions.pop() {
            version += 1;
            let written = SwapOutcome::Written(KeyVersion(version));
            let event = match action {
                SlotAction::ReadHead => SlotEvent::HeadRead(ReadOutcome::Found(None)),
                SlotAction::SwapHead { .. } => SlotEvent::HeadSwapped(written),
                SlotAction::WriteSegment(..) => SlotEvent::SegmentWritten(written),
                _ => continue,
            };
            slot.handle(now, event, &mut actions);
        }
    }
    slot
}

fn router(servers: u32) -> Router<PredictedFirstToken> {
    let mut router = Router::new(PredictedFirstToken, 1);
    for server in 0..servers {
        router.upsert(ServerSpec {
            name: format!("server-{server}").as_str().into(),
            data_centre: format!("data-centre-{}", server % 11).as_str().into(),
            target: Target::Model("model".into()),
            slots: 40,
            prefill_tokens_per_s: 8_000,
            token_time: Duration::from_millis(40),
            reclaimable: true,
            drained: false,
        });
    }
    router
}

/// The size of an inventory as it is stored and passed on.
fn inventory_size() -> Table {
    let title = "The inventory as JSON (the store's limit is 1,048,576 bytes)";
    let columns = ["backend servers", "bytes", "bytes/server", "ms to read and check"];
    let mut table = Table::new("slopes_inventory", title, &columns);
    for servers in [16, 100, 910, 3_600] {
        let text = serde_json::to_string(&inventory(servers)).unwrap_or_default();
        let began = Instant::now();
        let read = quincevalve_inventory::read_inventory(
            "inventory",
            &text,
            quincevalve_inventory::Format::Json,
        );
        let time = began.elapsed();
        let checked =
            if read.is_ok() { two(time.as_secs_f64() * 1_000.0) } else { "refused".to_owned() };
        table.push(vec![
            servers.to_string(),
            text.len().to_string(),
            two(text.len() as f64 / f64::from(servers)),
            checked,
        ]);
    }
    table
}

fn inventory(servers: u32) -> Inventory {
    let mut inventory = Inventory::default();
    for region in 0..3 {
        let name = format!("region-{region}");
        inventory.region.insert(name.as_str().into(), InventoryRegion::default());
    }
    let mut prices = IndexMap::new();
    for number in 0..11 {
        let name: quincevalve_names::DataCentreName =
            format!("data-centre-{number}").as_str().into();
        let region = format!("region-{}", number % 3).as_str().into();
        inventory.data_centre.insert(name.clone(), DataCentre { region });
        prices.insert(name, 300);
    }
    let model = Model { version: Some("2026-11".to_owned()), max_output_tokens: 4_096 };
    inventory.model.insert("language-model".into(), model);
    let class = quincevalve_inventory::VmClass {
        tenure: quincevalve_inventory::Tenure::Reclaimable,
        price_milli: prices,
    };
    inventory.vm_class.insert("reclaimable-gpu".to_owned(), class);
    for number in 0..servers {
        let server = BackendServer {
            data_centre: format!("data-centre-{}", number % 11).as_str().into(),
            address: ([10, (number % 11) as u8, (number >> 8) as u8, number as u8], 8_000).into(),
            serves: Serves::Model("language-model".into()),
            vm_class: "reclaimable-gpu".to_owned(),
            slots: 40,
            prefill_tokens_per_s: 8_000,
            token_us: 40_000,
            fencing: Fencing::Checked,
            drain: false,
        };
        inventory.backend_server.insert(format!("worker-{number:04}").as_str().into(), server);
    }
    inventory
}
