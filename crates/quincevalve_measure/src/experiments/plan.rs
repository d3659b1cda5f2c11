//! The plan: a day's cost, beside a fixed on-demand fleet and beside the cheapest place first.

use std::time::Duration;

use quincevalve_names::TimePoint;
use quincevalve_plan::{Desired, Offer, ProvisionAction, Provisioner, ProvisionerSettings};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::table::{Table, two};

const PLACES: usize = 11;
const SPOT: &str = "reclaimable";
const ON_DEMAND: &str = "on-demand";
const ON_DEMAND_MILLI: u64 = 1_000;
const STEP: Duration = Duration::from_secs(300);
const STEPS: u64 = 288;
/// Machines that the day's peak needs; at night a third of them.
const PEAK: f64 = 300.0;
/// How often in a day a place loses all its reclaimable machines, and for how long it has none.
const WAVES: usize = 6;
const DRY_STEPS: u64 = 12;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Ours,
    StaticOnDemand,
    CheapestFirst,
}

struct Day {
    cost: f64,
    short_machine_hours: f64,
    short_steps: u64,
    refused: u64,
}

pub(crate) fn run(seed: u64) -> Vec<Table> {
    let title =
        "A day: 11 places, peak 300 machines, 6 waves that empty a place and dry it for an hour";
    let columns = [
        "way",
        "cost of the day",
        "against on-demand",
        "short machine-hours",
        "short steps of 288",
        "refusals",
    ];
    let mut table = Table::new("plan_day", title, &columns);
    let fixed = simulate(Way::StaticOnDemand, seed);
    for (way, name) in [
        (Way::Ours, "ours"),
        (Way::StaticOnDemand, "naive: fixed on-demand fleet"),
        (Way::CheapestFirst, "naive: cheapest place first"),
    ] {
        let day = simulate(way, seed);
        table.push(vec![
            name.to_owned(),
            two(day.cost),
            two(day.cost / fixed.cost),
            two(day.short_machine_hours),
            day.short_steps.to_string(),
            day.refused.to_string(),
        ]);
    }
    vec![table]
}

fn offers(seed: u64) -> Vec<Offer> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut offers = Vec::new();
    for place in 0..PLACES {
        for (class, price) in [(SPOT, rng.random_range(250..420)), (ON_DEMAND, ON_DEMAND_MILLI)] {
            offers.push(Offer {
                data_centre: format!("dc-{place:02}").as_str().into(),
                vm_class: class.to_owned(),
                price_milli: price,
            });
        }
    }
    offers
}

/// The machines that the time of day needs.
fn needed(step: u64) -> u32 {
    let turn = step as f64 / STEPS as f64 * std::f64::consts::TAU;
    let level = 0.667 - 0.333 * turn.cos();
    (PEAK * level).ceil() as u32
}

fn simulate(way: Way, seed: u64) -> Day {
    let offers = offers(seed);
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 1);
    let waves: Vec<_> =
        (0..WAVES).map(|_| (rng.random_range(0..STEPS), rng.random_range(0..PLACES))).collect();
    let mut buyer = Provisioner::new(ProvisionerSettings::default(), offers.clone());
    let mut held = Desired::new();
    let mut bought = Desired::new();
    let mut day = Day { cost: 0.0, short_machine_hours: 0.0, short_steps: 0, refused: 0 };
    if way == Way::StaticOnDemand {
        // Enough on-demand machines for the peak after the loss of a place, all day.
        let each = (PEAK / (PLACES as f64 - 1.0)).ceil() as u32;
        for place in 0..PLACES {
            held.insert((format!("dc-{place:02}").as_str().into(), ON_DEMAND.to_owned()), each);
        }
    }
    for step in 0..STEPS {
        let now = TimePoint::from_millis(step * STEP.as_millis() as u64);
        for (_, place) in waves.iter().filter(|it| it.0 == step) {
            held.shift_remove(&(format!("dc-{place:02}").as_str().into(), SPOT.to_owned()));
        }
        let is_dry = |place: &str| {
            waves.iter().any(|(at, dry)| {
                format!("dc-{dry:02}") == place && (*at..*at + DRY_STEPS).contains(&step)
            })
        };
        count(&mut day, &held, &offers, needed(step));
        match way {
            Way::StaticOnDemand => {}
            Way::Ours => step_ours(&mut buyer, now, step, &mut held, &mut bought, is_dry, &mut day),
            Way::CheapestFirst => step_naive(&offers, step, &mut held, is_dry, &mut day),
        }
    }
    day
}

fn count(day: &mut Day, held: &Desired, offers: &[Offer], needed: u32) {
    let hours = STEP.as_secs_f64() / 3_600.0;
    let price = |key: &(quincevalve_names::DataCentreName, String)| {
        let offer = offers.iter().find(|it| it.data_centre == key.0 && it.vm_class == key.1);
        offer.map_or(0, |it| it.price_milli) as f64 / 1_000.0
    };
    day.cost += held.iter().map(|(key, it)| f64::from(*it) * price(key) * hours).sum::<f64>();
    let has: u32 = held.values().sum();
    if has < needed {
        day.short_steps += 1;
        day.short_machine_hours += f64::from(needed - has) * hours;
    }
}

fn step_ours(
    buyer: &mut Provisioner,
    now: TimePoint,
    step: u64,
    held: &mut Desired,
    bought: &mut Desired,
    is_dry: impl Fn(&str) -> bool,
    day: &mut Day,
) {
    // Demand a step ahead, since a machine takes that long to come up.
    let needed = needed((step + 1) % STEPS);
    // Several rounds: after a refusal another place is asked at once.
    for _ in 0..4 {
        let mut refused = false;
        for action in buyer.plan(now, needed, held, bought) {
            match action {
                ProvisionAction::Create { data_centre, vm_class, .. } => {
                    if vm_class == SPOT && is_dry(data_centre.as_str()) {
                        buyer.record_refusal(now, &data_centre, &vm_class);
                        day.refused += 1;
                        refused = true;
                        break;
                    }
                    buyer.record_grant(&data_centre, &vm_class);
                    let key = (data_centre, vm_class);
                    *held.entry(key.clone()).or_default() += 1;
                    *bought.entry(key).or_default() += 1;
                }
                ProvisionAction::Release { data_centre, vm_class } => {
                    if let Some(count) = held.get_mut(&(data_centre, vm_class)) {
                        *count = count.saturating_sub(1);
                    }
                }
            }
        }
        if !refused {
            return;
        }
    }
}

/// Naive: everything in the cheapest place, the same spare capacity, asked again there until it is given.
fn step_naive(
    offers: &[Offer],
    step: u64,
    held: &mut Desired,
    is_dry: impl Fn(&str) -> bool,
    day: &mut Day,
) {
    let Some(cheapest) = offers.iter().min_by_key(|it| it.price_milli) else { return };
    let key = (cheapest.data_centre.clone(), cheapest.vm_class.clone());
    if is_dry(cheapest.data_centre.as_str()) {
        day.refused += 1;
        return;
    }
    let wanted = (f64::from(needed((step + 1) % STEPS)) * 1.1).ceil() as u32;
    held.insert(key, wanted);
}
