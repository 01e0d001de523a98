//! Queries: arrivals, outcomes and ends.

use super::*;

impl World {
    pub(super) fn arrive(&mut self) {
        if self.now >= self.ends() {
            return;
        }
        let gap = -self.random.random::<f64>().max(1e-12).ln() * self.gap;
        self.schedule(Duration::from_secs_f64(gap), Event::Arrive);
        let live: Vec<usize> = (0..self.vms.len())
            .filter(|&vm| self.is_asked(vm))
            .collect();
        let vm = live[self.random.random_range(0..live.len())];
        let workload = &self.run.workload;
        let extra_percent = match self.run.policy {
            Policy::NoHedge => 0,
            _ => workload.extra_percent,
        };
        let query = Query {
            request: String::new(),
            service: SERVICE.to_owned(),
            body: Arc::from(&b"{}"[..]),
            deadline: self.now + workload.deadline,
            prefer: workload.prefer,
            extra_percent,
        };
        let view = Arc::clone(&self.vms[vm].view);
        let fan_out = FanOut::new(query, self.layout.clone(), view, self.now);
        let index = self.queries.len();
        self.queries.push(SimQuery {
            vm,
            arrived: self.now,
            measured: self.now >= self.start + WARM_UP,
            fan_out,
            woken: None,
            done: false,
        });
        let now = self.now;
        self.with_query(index, |fan_out, traffic| fan_out.start(traffic, now));
    }

    pub(super) fn with_query(
        &mut self,
        index: usize,
        step: impl FnOnce(&mut FanOut, &mut Traffic) -> Vec<Action>,
    ) {
        let query = &mut self.queries[index];
        if !self.vms[query.vm].alive {
            return self.lose(index);
        }
        let traffic = &mut self.vms[query.vm].traffic;
        let actions = step(&mut query.fan_out, traffic);
        for action in actions {
            match action {
                Action::Send(part) => self.send(index, part),
                Action::Cancel { attempt, leaf } => self.cancel(index, attempt, &leaf),
                Action::Finish(result) => self.finish(index, result),
            }
        }
        let query = &mut self.queries[index];
        let Some(wake) = query.fan_out.next_wake() else {
            return;
        };
        if query.woken.is_none_or(|woken| wake < woken) {
            query.woken = Some(wake);
            let delay = wake.saturating_duration_since(self.now);
            self.schedule(delay, Event::WakeQuery(index));
        }
    }

    pub(super) fn wake_query(&mut self, index: usize) {
        self.queries[index].woken = None;
        let now = self.now;
        self.with_query(index, |fan_out, traffic| fan_out.tick(traffic, now));
    }

    pub(super) fn outcome(&mut self, index: usize, outcome: Outcome) {
        if let Err(failure) = &outcome.result
            && failure.verdict == Verdict::NotRun
            && self.ran.contains(&outcome.attempt)
        {
            self.broken("an attempt ran that is told not run");
        }
        let now = self.now;
        self.with_query(index, |fan_out, traffic| {
            fan_out.on_outcome(outcome, traffic, now)
        });
    }

    pub(super) fn lose(&mut self, index: usize) {
        let query = &mut self.queries[index];
        if !query.done && query.measured {
            self.figures.lost += 1;
        }
        query.done = true;
    }

    pub(super) fn broken(&mut self, promise: &str) {
        if self.figures.broken.len() < 5 {
            self.figures.broken.push(promise.to_owned());
        }
    }

    pub(super) fn finish(
        &mut self,
        index: usize,
        result: Result<geraniummount::core::answer::Answer, Failure>,
    ) {
        let query = &mut self.queries[index];
        if query.done {
            return self.broken("a query was answered twice");
        }
        query.done = true;
        let elapsed = self.now - query.arrived;
        let first = query.fan_out.counters().first_attempts;
        if !query.measured {
            return;
        }
        let since_loss = self
            .lost_at
            .and_then(|at| query.arrived.checked_duration_since(at));
        let figures = &mut self.figures;
        let all = self.layout.shards.len() as u64;
        figures.queries += 1;
        figures.shards_asked += all;
        if elapsed > self.run.workload.deadline {
            figures.late += 1;
        }
        match result {
            Ok(answer) => {
                let included = answer.coverage.included.len();
                figures.shards_included += included as u64;
                let told = included + answer.coverage.missing.len();
                let honest = told as u64 == all && answer.results.len() == included;
                match included as u64 == all {
                    true => figures.whole += 1,
                    false => figures.partial += 1,
                }
                let total = elapsed + self.run.workload.deployment.to_clients * 2;
                let micros = total.as_micros() as u64;
                figures.latency.record(micros).expect("it resizes itself");
                if let Some(since) = since_loss {
                    figures
                        .after_loss
                        .count(since, all - included as u64, micros);
                }
                if !honest || answer.snapshot != SNAPSHOT {
                    self.broken("an answer's coverage or snapshot is not true");
                }
            }
            Err(failure) => {
                match failure.verdict {
                    Verdict::NotRun => figures.refused += 1,
                    _ => figures.failed += 1,
                }
                if first == 0 {
                    figures.slowest_refusal = figures.slowest_refusal.max(elapsed);
                }
            }
        }
    }
}
