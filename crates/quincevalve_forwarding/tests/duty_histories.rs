//! Searches short histories of VMs, calls and a store that returns from older copies for calls of two holders that the
//! platform couldn't tell apart, or that come in the wrong order.

use std::{collections::BTreeMap, time::Duration};

use quincevalve_forwarding::duty::{ClaimRead, DutyLease, LeaseStep, Takeover, Term, TermEnd};
use quincevalve_names::{FencingNumber, TimePoint};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Duration of a lease in units of time; a holder may act in the first eight tenths of it.
const TTL: u64 = 10;
/// Longest time that a call takes, in units.
const CALL_TIME: u64 = 2;
/// Number of VMs.
const VMS: usize = 3;
/// Times that may pass between two events: within the usable part of a lease, and to its end.
const WAITS: [u64; 2] = [3, 7];
const UNIT: Duration = Duration::from_secs(1);

/// How a call and its answer arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    Prompt,
    /// The call is executed, and its answer comes later.
    LateAnswer,
    /// The call is executed later, or never, and not answered.
    LateExecution,
}

const DELIVERIES: [Delivery; 3] = [Delivery::Prompt, Delivery::LateAnswer, Delivery::LateExecution];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Wait(u64),
    /// A VM reads the term, and is granted a lease.
    Begin(usize),
    /// The VM commits its takeover.
    Commit(usize, Delivery),
    /// A holder sends what its core says.
    Keep(usize, Delivery),
    /// A VM removes keys that name it although it holds no term.
    RemoveOwn(usize),
    /// A process is stopped, or killed, and started again.
    Stop(usize, Delivery),
    Kill(usize),
    /// A VM is suspended, or goes on.
    Freeze(usize),
    Wake(usize),
    /// The oldest call that is under way is executed.
    Execute,
    /// The oldest answer that is under way arrives.
    Deliver,
    /// Another client of the store is granted a lease and keeps it.
    OtherLease,
    /// The store returns from the copy with this number; its leases run anew, or end soon.
    Return(usize, bool),
}

impl Event {
    /// Returns whether the event is part of what happens without faults.
    const fn is_undisturbed(&self) -> bool {
        use Event::{Begin, Commit, Keep, RemoveOwn, Wait, Wake};
        match self {
            Wait(units) => *units == WAITS[0],
            Commit(_, delivery) | Keep(_, delivery) => matches!(delivery, Delivery::Prompt),
            Begin(_) | RemoveOwn(_) | Wake(_) => true,
            _ => false,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Key {
    Holder,
    Term,
    Claim(FencingNumber),
}

#[derive(Clone, Debug)]
struct Item {
    revision: u64,
    lease: u64,
    vm: usize,
    term: Term,
}

/// What a copy of the store contains.
#[derive(Clone, Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<Key, Item>,
    /// When each lease ends; `None` if another client keeps it.
    leases: BTreeMap<u64, Option<u64>>,
    last_lease: u64,
}

#[derive(Clone, Debug)]
enum Call {
    Takeover {
        vm: usize,
        takeover: Takeover,
        term_revision: u64,
        lease: u64,
    },
    ReadClaim(FencingNumber),
    Renew {
        lease: u64,
        sent_at: u64,
    },
    /// Removes the holder's key and a claim, if the claim has this revision.
    Remove(FencingNumber, u64),
}

#[derive(Clone, Debug)]
enum Answer {
    Taken(Takeover, u64),
    Claim(Option<ClaimRead>),
    Renewed(u64),
    LeaseEnded,
    Refused,
}

#[derive(Clone, Debug)]
struct Vm {
    duty: DutyLease,
    is_frozen: bool,
    /// A takeover whose lease was granted, with the term's revision.
    begun: Option<(Takeover, u64, u64)>,
    /// The newest call to the platform, and when it began.
    call: Option<(FencingNumber, u64)>,
    starts: u32,
}

#[derive(Clone, Debug)]
struct World {
    now: u64,
    era: u64,
    store: State,
    copies: Vec<State>,
    vms: Vec<Vm>,
    calls: Vec<Call>,
    /// Answers under way, with the VM, its start and the era.
    answers: Vec<(usize, u32, u64, Answer)>,
    /// Calls to the platform: time, VM and number.
    platform: Vec<(u64, usize, u64)>,
    broken: Option<String>,
}

fn at(units: u64) -> TimePoint {
    TimePoint::from_millis(1_000 * units)
}

fn name(vm: usize) -> String {
    format!("vm-{vm}")
}

impl State {
    fn write(&mut self, key: Key, item: Option<Item>) {
        self.revision += 1;
        match item {
            Some(item) => self.items.insert(key, Item { revision: self.revision, ..item }),
            None => self.items.remove(&key),
        };
    }

    fn revision_of(&self, key: Key) -> u64 {
        self.items.get(&key).map_or(0, |it| it.revision)
    }

    fn expire(&mut self, now: u64) {
        self.leases.retain(|_, until| until.is_none_or(|it| it > now));
        let lapsed: Vec<Key> = self
            .items
            .iter()
            .filter(|(_, it)| it.lease != 0 && !self.leases.contains_key(&it.lease))
            .map(|(key, _)| *key)
            .collect();
        for key in lapsed {
            self.write(key, None);
        }
    }

    fn grant(&mut self, until: Option<u64>) -> u64 {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, until);
        self.last_lease
    }

    fn execute(&mut self, call: Call, era: u64, now: u64) -> Answer {
        match call {
            Call::Takeover { vm, takeover, term_revision, lease } => {
                let is_met = !self.items.contains_key(&Key::Holder)
                    && self.revision_of(Key::Term) == term_revision
                    && self.leases.contains_key(&lease);
                if !is_met {
                    return Answer::Refused;
                }
                let term = takeover.term.clone();
                let claim = Key::Claim(term.number);
                for (key, lease) in [(Key::Holder, lease), (claim, lease), (Key::Term, 0)] {
                    self.write(key, Some(Item { revision: 0, lease, vm, term: term.clone() }));
                }
                Answer::Taken(takeover, lease)
            }
            Call::ReadClaim(number) => {
                let item = self.items.get(&Key::Claim(number));
                Answer::Claim(
                    item.map(|it| ClaimRead {
                        revision: in_era(era, it.revision),
                        lease: it.lease,
                    }),
                )
            }
            Call::Renew { lease, sent_at } => match self.leases.get_mut(&lease) {
                Some(until) => {
                    *until = until.map(|_| now + TTL);
                    Answer::Renewed(sent_at)
                }
                None => Answer::LeaseEnded,
            },
            Call::Remove(number, revision) => {
                if self.revision_of(Key::Claim(number)) == revision {
                    self.write(Key::Claim(number), None);
                    self.write(Key::Holder, None);
                }
                Answer::Refused
            }
        }
    }
}

const fn in_era(era: u64, revision: u64) -> u64 {
    era << 44 | revision
}

impl World {
    fn new() -> Self {
        let vm = |vm| Vm {
            duty: DutyLease::new(&name(vm), UNIT * TTL as u32, at(0), true),
            is_frozen: false,
            begun: None,
            call: None,
            starts: 0,
        };
        Self {
            now: 0,
            era: 1,
            store: State::default(),
            copies: vec![State::default()],
            vms: (0..VMS).map(vm).collect(),
            calls: Vec::new(),
            answers: Vec::new(),
            platform: Vec::new(),
            broken: None,
        }
    }

    fn is_held(&self, vm: usize) -> bool {
        self.vms[vm].duty.is_held(at(self.now))
    }

    /// Returns the events that may come next. VMs are alike, so one that hasn't done anything is the next by number.
    fn events(&self) -> Vec<Event> {
        let mut events: Vec<Event> = WAITS.map(Event::Wait).to_vec();
        let used = self.vms.iter().rposition(|it| it.starts > 0 || it.begun.is_some());
        let used = used.max(self.platform.iter().map(|it| it.1).max());
        let candidates = used.map_or(0, |it| it + 1).min(VMS - 1);
        for vm in 0..=candidates {
            let Vm { is_frozen, begun, .. } = &self.vms[vm];
            if *is_frozen {
                events.push(Event::Wake(vm));
                continue;
            }
            let names = self.store.items.get(&Key::Holder).is_some_and(|it| it.vm == vm);
            match begun {
                Some(_) => events.extend(DELIVERIES.map(|it| Event::Commit(vm, it))),
                None if self.is_held(vm) => {
                    events.extend(DELIVERIES.map(|it| Event::Keep(vm, it)));
                    events.push(Event::Stop(vm, Delivery::Prompt));
                    events.push(Event::Stop(vm, Delivery::LateExecution));
                    events.push(Event::Freeze(vm));
                }
                None if names => events.push(Event::RemoveOwn(vm)),
                None if !self.store.items.contains_key(&Key::Holder) => {
                    events.push(Event::Begin(vm));
                }
                None => {}
            }
            if used.is_some_and(|it| vm <= it) {
                events.push(Event::Kill(vm));
            }
        }
        if !self.calls.is_empty() {
            events.push(Event::Execute);
        }
        if !self.answers.is_empty() {
            events.push(Event::Deliver);
        }
        if !self.platform.is_empty() {
            events.push(Event::OtherLease);
            let copies = 0..self.copies.len();
            events
                .extend(copies.flat_map(|it| [Event::Return(it, false), Event::Return(it, true)]));
        }
        events
    }

    fn take(&mut self, event: Event) {
        let revision = (self.era, self.store.revision, self.store.last_lease);
        match event {
            Event::Wait(units) => {
                for _ in 0..units {
                    self.now += 1;
                    self.store.expire(self.now);
                    self.act();
                }
            }
            Event::Begin(vm) => self.begin(vm),
            Event::Commit(vm, delivery) => {
                if let Some((takeover, term_revision, lease)) = self.vms[vm].begun.take() {
                    if delivery == Delivery::LateExecution {
                        self.vms[vm].duty.abandon_takeover();
                    }
                    self.send(vm, Call::Takeover { vm, takeover, term_revision, lease }, delivery);
                }
            }
            Event::Keep(vm, delivery) => match self.vms[vm].duty.next_step(at(self.now)) {
                LeaseStep::Over(_) => {}
                LeaseStep::Renew(lease) => {
                    self.send(vm, Call::Renew { lease, sent_at: self.now }, delivery);
                }
                LeaseStep::ReadClaim => {
                    if let Some(number) = self.vms[vm].duty.held_number() {
                        self.send(vm, Call::ReadClaim(number), delivery);
                    }
                }
            },
            Event::RemoveOwn(vm) => self.remove_own(vm),
            Event::Stop(vm, delivery) => {
                if let Some((number, claim)) = self.vms[vm].duty.give_up(at(self.now)) {
                    let claim = claim & ((1 << 44) - 1);
                    self.send(vm, Call::Remove(number, claim), delivery);
                }
                self.restart(vm);
            }
            Event::Kill(vm) => self.restart(vm),
            Event::Freeze(vm) => self.vms[vm].is_frozen = true,
            Event::Wake(vm) => self.vms[vm].is_frozen = false,
            Event::Execute => {
                let call = self.calls.remove(0);
                self.store.execute(call, self.era, self.now);
            }
            Event::Deliver => {
                let (vm, starts, era, answer) = self.answers.remove(0);
                if self.vms[vm].starts == starts {
                    self.deliver(vm, era, answer);
                }
            }
            Event::OtherLease => {
                self.store.grant(None);
                self.store.revision += 1;
            }
            Event::Return(copy, ends_soon) => {
                self.store = self.copies[copy].clone();
                self.era += 1;
                let until = if ends_soon { self.now + 1 } else { self.now + TTL };
                for it in self.store.leases.values_mut().flatten() {
                    *it = until;
                }
            }
        }
        if revision != (self.era, self.store.revision, self.store.last_lease)
            && !matches!(event, Event::Return(..))
        {
            self.copies.push(self.store.clone());
        }
        self.act();
    }

    fn begin(&mut self, vm: usize) {
        let term = self.store.items.get(&Key::Term).map(|it| it.term.clone());
        let term_revision = self.store.revision_of(Key::Term);
        let duty = &mut self.vms[vm].duty;
        duty.record_era(self.era, at(self.now));
        let read_at = in_era(self.era, term_revision);
        let takeover = duty.begin_takeover(&term.unwrap_or_default(), read_at, at(self.now));
        if let Ok(takeover) = takeover {
            let lease = self.store.grant(Some(self.now + TTL));
            self.vms[vm].begun = Some((takeover, term_revision, lease));
        }
    }

    fn remove_own(&mut self, vm: usize) {
        self.vms[vm].duty.record_era(self.era, at(self.now));
        self.vms[vm].duty.abandon_takeover();
        if !self.vms[vm].duty.may_remove_own_keys(at(self.now)) {
            return;
        }
        let Some(term) = self.store.items.get(&Key::Term).filter(|it| it.vm == vm) else { return };
        let number = term.term.number;
        let claim = self.store.revision_of(Key::Claim(number));
        if claim != 0 {
            self.send(vm, Call::Remove(number, claim), Delivery::Prompt);
        }
    }

    fn restart(&mut self, vm: usize) {
        let starts = self.vms[vm].starts + 1;
        let duty = DutyLease::new(&name(vm), UNIT * TTL as u32, at(self.now), false);
        self.vms[vm] = Vm { duty, is_frozen: false, begun: None, call: None, starts };
    }

    fn send(&mut self, vm: usize, call: Call, delivery: Delivery) {
        if delivery == Delivery::LateExecution {
            self.calls.push(call);
            return;
        }
        let answer = self.store.execute(call, self.era, self.now);
        if delivery == Delivery::Prompt {
            self.deliver(vm, self.era, answer);
        } else {
            self.answers.push((vm, self.vms[vm].starts, self.era, answer));
        }
    }

    fn deliver(&mut self, vm: usize, era: u64, answer: Answer) {
        let now = at(self.now);
        let duty = &mut self.vms[vm].duty;
        duty.record_era(era, now);
        match answer {
            Answer::Taken(takeover, lease) => {
                duty.complete_takeover(takeover, lease, now);
            }
            Answer::Claim(read) => duty.record_claim(read),
            Answer::Renewed(sent_at) => duty.record_renewal(at(sent_at), now),
            Answer::LeaseEnded => duty.end(TermEnd::LeaseEnded),
            Answer::Refused => {}
        }
    }

    /// Lets all VMs that run act, and judges their calls, also those that began earlier and arrive now.
    fn act(&mut self) {
        for vm in 0..VMS {
            if self.vms[vm].is_frozen {
                continue;
            }
            let now = at(self.now);
            let Vm { duty, call, .. } = &mut self.vms[vm];
            if let Some(number) = duty.begin_call(now) {
                *call = Some((number, self.now));
            }
            let is_under_way = |(number, began): &(FencingNumber, u64)| {
                self.now <= began + CALL_TIME && duty.may_finish_call(*number, now)
            };
            let Some((number, _)) = call.filter(is_under_way) else { continue };
            duty.end_call(now);
            self.judge(vm, number.0);
            self.platform.push((self.now, vm, number.0));
        }
    }

    fn judge(&mut self, vm: usize, number: u64) {
        let calls = &self.platform;
        let newest = calls.iter().map(|it| it.2).max().unwrap_or_default();
        let is_shared = calls.iter().any(|it| it.2 == number && it.1 != vm);
        let own = calls.iter().rposition(|it| it.1 == vm);
        let returns_early =
            own.is_some_and(|it| it + 1 < calls.len() && self.now < calls[it].0 + TTL);
        let what = match () {
            () if number < newest => "acts under a lower number than one before",
            () if is_shared => "acts under the number of another VM",
            () if returns_early => "acts again within a lease after another has acted",
            () => return,
        };
        self.broken.get_or_insert_with(|| format!("at {} vm-{vm} {what}: {number:#x}", self.now));
    }
}

/// Plays all histories that go on from a world, and returns their number or the first that breaks a rule.
fn search(world: &World, depth: usize, history: &mut Vec<Event>) -> Result<u64, String> {
    if let Some(broken) = &world.broken {
        return Err(format!("{broken}\n{history:?}"));
    }
    if depth == 0 {
        return Ok(1);
    }
    let mut histories = 0;
    for event in world.events() {
        let mut next = world.clone();
        next.take(event);
        history.push(event);
        histories += search(&next, depth - 1, history)?;
        history.pop();
    }
    Ok(histories)
}

/// Number of events of the histories that are searched; `DUTY_EVENTS` overrides it.
fn depth() -> usize {
    std::env::var("DUTY_EVENTS").ok().and_then(|it| it.parse().ok()).unwrap_or(5)
}

/// Returns the number of random histories; `DUTY_SEEDS` overrides it.
fn seeds() -> u64 {
    std::env::var("DUTY_SEEDS").ok().and_then(|it| it.parse().ok()).unwrap_or(10_000)
}

#[test]
fn no_short_history_breaks_the_order_of_holders() {
    let mut first = World::new();
    first.take(Event::Begin(0));
    first.take(Event::Commit(0, Delivery::Prompt));
    match search(&first, depth(), &mut Vec::new()) {
        Ok(histories) => eprintln!("{histories} histories"),
        Err(broken) => panic!("{broken}"),
    }
}

#[test]
fn no_random_history_breaks_the_order_of_holders() {
    let (mut acting, mut units) = (0, 0);
    for seed in 0..seeds() {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut world = World::new();
        let mut history = Vec::new();
        for _ in 0..40 {
            let mut events = world.events();
            if rng.random::<f64>() < 0.8 {
                events.retain(Event::is_undisturbed);
            }
            let event = events[rng.random_range(0..events.len())];
            history.push(event);
            world.take(event);
            assert!(world.broken.is_none(), "seed {seed}: {:?}\n{history:?}", world.broken);
        }
        let mut times: Vec<u64> = world.platform.iter().map(|it| it.0).collect();
        times.dedup();
        acting += times.len() as u64;
        units += world.now;
    }
    eprintln!("{acting} of {units} units with a holder that acts");
    assert!(acting * 5 > units, "only {acting} of {units}");
}
