//! Most new connections go to one VM of several.

mod support;

use std::{rc::Rc, time::Duration};

use quincevalve_forwarding::config::{Quota, QuotaUnit};
use quincevalve_names::ClientAccountName;
use support::{
    Arrival, Reply, Setup, Vm, World, exchange, metric, queue_setup, request, run, sealed,
    sealed_with,
};
use tokio::{task::spawn_local, time::sleep};

const VMS: i64 = 8;
const SERVERS: usize = 4;
/// Requests per second to all VMs together.
const RATE: u32 = 40;
/// Time for which requests are counted.
const COUNTED: Duration = Duration::from_secs(2);
/// Time in which shares must have followed the connections.
const CONTACT: Duration = Duration::from_secs(3);
/// Of ten new connections, the number that go to the first VM.
const SKEWED: usize = 9;
/// Minimum served fraction, of that before.
const MIN_FRACTION: f64 = 0.95;

struct Vms {
    world: World,
    others: Vec<Vm>,
}

impl Vms {
    async fn start(setup: Setup, script: impl Fn(usize, &Arrival) -> Reply + 'static) -> Rc<Self> {
        let world = World::start_with(SERVERS, setup, script).await;
        let mut others = Vec::new();
        for at in 1..VMS {
            let name = format!("vm-{}", at + 1);
            others.push(Vm::start(&name, world.store.for_another_vm()).await);
        }
        for metrics in others.iter().map(|it| it.metrics).chain([world.metrics]) {
            while metric(metrics, "quincevalve_vms").await != Some(VMS) {
                sleep(Duration::from_millis(5)).await;
            }
        }
        Rc::new(Self { world, others })
    }

    /// Sends requests on new connections for a time, and returns the fraction that is served. `skewed` of ten go to the
    /// first VM, the others to all in turn.
    async fn served_fraction(&self, route: &str, key: &str, skewed: usize, time: Duration) -> f64 {
        let count = (time.as_secs_f64() * f64::from(RATE)) as usize;
        let mut callers = Vec::new();
        for at in 0..count {
            let others = self.others.iter().map(|it| it.front);
            let front = if at % 10 < skewed {
                self.world.front
            } else {
                others.cycle().nth(at / 2).unwrap_or(self.world.front)
            };
            let text = request(route, &format!("id-{skewed}-{at}"), "x-tokens: 100,10\r\n");
            let text = text.replace("key-1", key);
            callers.push(spawn_local(async move { exchange(front, &text).await }));
            sleep(Duration::from_secs(1) / RATE).await;
        }
        let mut served = 0;
        for caller in callers {
            let answer = caller.await.expect("an answer");
            served += usize::from(answer.starts_with("HTTP/1.1 200"));
        }
        served as f64 / count as f64
    }

    async fn assert_served_as_before(&self, route: &str, key: &str) {
        let before = self.served_fraction(route, key, 1, COUNTED).await;
        self.served_fraction(route, key, SKEWED, CONTACT).await;
        let skewed = self.served_fraction(route, key, SKEWED, COUNTED).await;
        assert!(skewed >= MIN_FRACTION * before, "served {skewed:.2}, before {before:.2}");
        self.served_fraction(route, key, 1, CONTACT).await;
        let after = self.served_fraction(route, key, 1, COUNTED).await;
        assert!(after >= MIN_FRACTION * before, "served {after:.2} after it, before {before:.2}");
    }
}

fn answer(_: usize, arrival: &Arrival) -> Reply {
    Reply::Send(sealed(arrival, "200 OK", "done"))
}

/// Answers with a limit of 20 requests a second for each server, twice of what all VMs together send.
fn answer_with_limit(_: usize, arrival: &Arrival) -> Reply {
    Reply::Send(sealed_with(arrival, "200 OK", "x-limit: 20\r\n", "done"))
}

/// Returns a setup in which the limited account uses half of its quota.
fn setup_with_quota() -> Setup {
    let mut setup = Setup::default();
    let per_second = f64::from(RATE) * 110.0 * 2.0;
    let unit = QuotaUnit::Tokens { default_tokens: 200 };
    let quota = Quota { per_second, burst: per_second, unit };
    setup.config.accounts[&ClientAccountName::from("limited")].quota = Some(quota);
    setup
}

macro_rules! served_as_before {
    ($($name:ident: $setup:expr, $script:expr, $route:expr, $key:expr;)+) => {
        $(
            // Guards against a VM that refuses its callers because it gets most new connections, while the shares of
            // the others aren't used.
            #[test]
            fn $name() {
                run(async {
                    let vms = Vms::start($setup, $script).await;
                    vms.assert_served_as_before($route, $key).await;
                });
            }
        )+
    };
}

served_as_before! {
    callers_of_one_vm_are_served: Setup::default(), answer, "/once/7", "key-1";
    callers_of_an_account_with_a_quota_are_served:
        setup_with_quota(), answer, "/once/7", "key-limited";
    callers_are_served_by_servers_with_limits:
        Setup::default(), answer_with_limit, "/once/7", "key-1";
    callers_are_served_from_the_queue: queue_setup(), answer, "/bulk/7", "key-1";
}
