//! VMs that divide quotas and exchange messages in virtual time, with delay and loss.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use geraniummount::core::boot_time::BootTime;
use geraniummount::core::quota::{Action, Counter, Decision, Message, Quotas, Setup, Source};
use geraniummount::core::tenant::Quota;
use geraniummount::core::tolerance::Tolerance;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

pub const DOMAINS: usize = 3;

pub const WINDOW: Duration = Duration::from_secs(5);

pub const TOLERANCE: Tolerance = Tolerance {
    share: 0.1,
    requests: 20.0,
};

/// Time of a message within a domain and between two, in microseconds.
const NEAR_US: u64 = 100;
const FAR_US: u64 = 3_900;

/// Time after which a caller leaves a VM that does not answer, in microseconds.
const CALLER_US: u64 = 1_000_000;

/// What a message, a timer or a request does when it is due.
#[derive(Clone, Debug)]
enum Event {
    Deliver {
        from: usize,
        to: usize,
        id: u64,
        message: Message,
    },
    Wake(usize),
    List(usize),
}

pub struct Vm {
    pub name: String,
    pub domain: usize,
    pub quotas: Quotas,
    pub is_up: bool,
    pub frozen_until: u64,
    /// Cut off from all other VMs.
    pub is_cut: bool,
    /// Number of the process.
    pub process: u64,
    /// When the timer that is set is due.
    wake_at: u64,
}

/// A request that got a token, or did not.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub tenant: usize,
    pub sent_us: u64,
    pub is_admitted: bool,
}

pub struct Fleet {
    pub now: u64,
    pub vms: Vec<Vm>,
    pub quotas: Vec<(String, Quota)>,
    /// Domains that are cut off from the others.
    pub cut_domains: Vec<usize>,
    pub loss: f64,
    /// Longest additional delay of a message, in microseconds.
    pub max_delay_us: u64,
    pub rng: SmallRng,
    pub outcomes: Vec<Outcome>,
    pub messages: u64,
    /// Requests that wait: VM, process, ticket, tenant and time of sending.
    waiting: Vec<(usize, u64, u64, usize, u64)>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    pending: Vec<Option<Event>>,
}

impl Fleet {
    /// Starts VMs of which all others know, as after a first start.
    pub fn start(per_domain: usize, quotas: &[(&str, f64)], seed: u64) -> Fleet {
        let quotas = quotas
            .iter()
            .map(|(name, rate)| (name.to_string(), quota(*rate)));
        let mut fleet = Fleet {
            now: 1_000_000_000,
            vms: Vec::new(),
            quotas: quotas.collect(),
            cut_domains: Vec::new(),
            loss: 0.01,
            max_delay_us: 300,
            rng: SmallRng::seed_from_u64(seed),
            outcomes: Vec::new(),
            messages: 0,
            waiting: Vec::new(),
            events: BinaryHeap::new(),
            pending: Vec::new(),
        };
        for index in 0..per_domain * DOMAINS {
            fleet.add(index % DOMAINS, true);
        }
        fleet
    }

    fn boot(&self) -> BootTime {
        BootTime::new(Duration::from_micros(self.now))
    }

    /// Adds a VM, and lets all others learn of it within two seconds.
    pub fn add(&mut self, domain: usize, is_first_start: bool) {
        let index = self.vms.len();
        let name = format!("vm-{index:03}");
        let quotas = self.process(&name, domain, is_first_start);
        self.vms.push(Vm {
            name,
            domain,
            quotas,
            is_up: true,
            frozen_until: 0,
            is_cut: false,
            process: 0,
            wake_at: u64::MAX,
        });
        // The VM reads the list, without itself, before it registers.
        let before = self.list(index);
        let now = self.boot();
        self.vms[index].quotas.set_tenants(&self.quotas, now);
        self.vms[index].quotas.set_vms(&before, now);
        for vm in 0..=index {
            let delay = self.rng.random_range(10_000..2_000_000);
            self.push(self.now + delay, Event::List(vm));
        }
        self.apply(index);
    }

    fn process(&mut self, name: &str, domain: usize, is_first_start: bool) -> Quotas {
        let setup = Setup {
            name: name.to_string(),
            domain: format!("domain-{domain}"),
            is_first_start,
            window: WINDOW,
            tolerance: TOLERANCE,
            seed: self.rng.random(),
        };
        Quotas::new(setup, self.boot())
    }

    /// Returns the first `count` VMs with their domains.
    fn list(&self, count: usize) -> Vec<(String, String)> {
        let vms = self.vms[..count].iter();
        vms.map(|vm| (vm.name.clone(), format!("domain-{}", vm.domain)))
            .collect()
    }

    pub fn kill(&mut self, vm: usize) {
        self.vms[vm].is_up = false;
        self.waiting.retain(|waiting| waiting.0 != vm);
    }

    pub fn restart(&mut self, vm: usize) {
        self.kill(vm);
        let (name, domain) = (self.vms[vm].name.clone(), self.vms[vm].domain);
        self.vms[vm].quotas = self.process(&name, domain, false);
        self.vms[vm].process += 1;
        self.vms[vm].is_up = true;
        self.vms[vm].frozen_until = 0;
        self.vms[vm].wake_at = u64::MAX;
        let (list, now) = (self.list(self.vms.len()), self.boot());
        self.vms[vm].quotas.set_tenants(&self.quotas, now);
        self.vms[vm].quotas.set_vms(&list, now);
        self.apply(vm);
    }

    pub fn stop(&mut self, vm: usize) {
        let now = self.boot();
        self.vms[vm].quotas.stop(now);
        self.apply(vm);
    }

    /// Changes the quota of a tenant at all VMs.
    pub fn set_rate(&mut self, tenant: usize, rate: f64) {
        self.quotas[tenant].1 = quota(rate);
        let now = self.boot();
        for vm in 0..self.vms.len() {
            self.vms[vm].quotas.set_tenants(&self.quotas, now);
            self.apply(vm);
        }
    }

    /// Returns a VM of a domain that counts.
    pub fn counter(&self, domain: usize) -> Option<usize> {
        let now = self.boot();
        let counts =
            |vm: &Vm| vm.is_up && vm.domain == domain && vm.quotas.counting(now) == Counter::Own;
        self.vms.iter().position(counts)
    }

    pub fn is_running(&self, vm: usize) -> bool {
        self.vms[vm].is_up && self.vms[vm].frozen_until <= self.now
    }

    /// Sends a request of a tenant to a VM.
    pub fn request(&mut self, tenant: usize, vm: usize) {
        let (name, now) = (self.quotas[tenant].0.clone(), self.boot());
        if !self.is_running(vm) {
            return self.record(tenant, self.now, false);
        }
        match self.vms[vm].quotas.request(&name, now) {
            Decision::Admitted(_) => self.record(tenant, self.now, true),
            Decision::Waiting(ticket) => {
                let process = self.vms[vm].process;
                self.waiting.push((vm, process, ticket, tenant, self.now));
            }
            Decision::OverQuota { .. } | Decision::Unknown { .. } => {
                self.record(tenant, self.now, false);
            }
        }
        self.apply(vm);
    }

    fn record(&mut self, tenant: usize, sent_us: u64, is_admitted: bool) {
        self.outcomes.push(Outcome {
            tenant,
            sent_us,
            is_admitted,
        });
    }

    fn push(&mut self, at: u64, event: Event) {
        if let Event::Wake(vm) = event {
            self.vms[vm].wake_at = at;
        }
        self.events.push(Reverse((at, self.pending.len() as u64)));
        self.pending.push(Some(event));
    }

    /// Lets the time pass.
    pub fn run_until(&mut self, end: u64) {
        while let Some(Reverse((at, number))) = self.events.peek().copied() {
            if at > end {
                break;
            }
            self.events.pop();
            self.now = self.now.max(at);
            if let Some(event) = self.pending[number as usize].take() {
                self.handle(event);
            }
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        let vm = match event {
            Event::Deliver { to, .. } => to,
            Event::Wake(vm) | Event::List(vm) => vm,
        };
        if !self.vms[vm].is_up {
            return;
        }
        let thaw = self.vms[vm].frozen_until;
        if thaw > self.now {
            return self.push(thaw, event);
        }
        let now = self.boot();
        match event {
            Event::Deliver {
                from, id, message, ..
            } => {
                let name = self.vms[from].name.clone();
                let quotas = &mut self.vms[vm].quotas;
                quotas.on_message(&name, id, message, now);
            }
            Event::Wake(_) => {
                self.vms[vm].wake_at = u64::MAX;
                self.vms[vm].quotas.tick(now);
            }
            Event::List(_) => {
                let list = self.list(self.vms.len());
                self.vms[vm].quotas.set_vms(&list, now);
            }
        }
        self.apply(vm);
    }

    /// Carries out the actions of a VM, and sets its timer.
    pub fn apply(&mut self, vm: usize) {
        for action in self.vms[vm].quotas.take_actions() {
            match action {
                Action::Send { to, id, message } => self.send(vm, &to, id, message),
                Action::Decide(ticket, decision) => self.decide(vm, ticket, decision),
                Action::Report(_) => {}
            }
        }
        if let Some(next) = self.vms[vm].quotas.next_wake() {
            let wait = next.saturating_duration_since(self.boot());
            let at = self.now + (wait.as_micros() as u64).max(100);
            if at < self.vms[vm].wake_at {
                self.push(at, Event::Wake(vm));
            }
        }
    }

    fn send(&mut self, from: usize, to: &str, id: u64, message: Message) {
        self.messages += 1;
        let to = self.vms.iter().position(|vm| vm.name == *to).unwrap();
        let (near, far) = (self.vms[from].domain, self.vms[to].domain);
        let is_cut = |domain| near != far && self.cut_domains.contains(&domain);
        let are_apart = self.vms[from].is_cut || self.vms[to].is_cut;
        if are_apart || is_cut(near) || is_cut(far) || self.rng.random_bool(self.loss) {
            return;
        }
        let time = if near == far { NEAR_US } else { FAR_US };
        let at = self.now + time + self.rng.random_range(0..=self.max_delay_us);
        let event = Event::Deliver {
            from,
            to,
            id,
            message,
        };
        self.push(at, event);
    }

    fn decide(&mut self, vm: usize, ticket: u64, decision: Decision) {
        let process = self.vms[vm].process;
        let is_it = |waiting: &(usize, u64, u64, usize, u64)| {
            (waiting.0, waiting.1, waiting.2) == (vm, process, ticket)
        };
        let Some(index) = self.waiting.iter().position(is_it) else {
            return;
        };
        let (.., tenant, sent_us) = self.waiting.swap_remove(index);
        let is_in_time = self.now - sent_us < CALLER_US;
        let is_admitted = matches!(
            decision,
            Decision::Admitted(Source::Own | Source::Granted | Source::Spare)
        );
        self.record(tenant, sent_us, is_admitted && is_in_time);
    }
}

fn quota(rate: f64) -> Quota {
    Quota {
        per_second: rate,
        burst: rate,
    }
}
