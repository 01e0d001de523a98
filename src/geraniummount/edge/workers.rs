//! Thread pool for blocking jobs, which send requests to leaves.
//!
//! A thread is started if no thread is idle when a job arrives, and ends after `IDLE_TIMEOUT`
//! without a job. The number of threads therefore depends on the requests in flight and not on the
//! number of leaves that this VM owns (whose queues it holds).

use std::collections::VecDeque;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_THREADS: usize = 1024;
const STACK_BYTES: usize = 256 * 1024;

type Job = Box<dyn FnOnce() + Send>;

/// Thread pool. Clones share it.
#[derive(Clone, Default)]
pub struct Workers {
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    job_added: Condvar,
}

#[derive(Default)]
struct State {
    /// Jobs that no thread has taken yet.
    jobs: VecDeque<Job>,
    /// Number of threads that run no job, including those that were just started.
    idle: usize,
    /// Number of all threads.
    threads: usize,
}

impl Workers {
    /// Runs a job on a thread that runs no other job meanwhile. Returns `false` and drops the job
    /// if no thread is idle and no further one can be started.
    pub fn run(&self, job: impl FnOnce() + Send + 'static) -> bool {
        let mut state = self.shared.lock();
        if state.idle <= state.jobs.len() && !self.add_thread(&mut state) {
            return false;
        }
        state.jobs.push_back(Box::new(job));
        drop(state);
        self.shared.job_added.notify_one();
        true
    }

    /// Returns the number of threads.
    pub fn thread_count(&self) -> usize {
        self.shared.lock().threads
    }

    fn add_thread(&self, state: &mut State) -> bool {
        if state.threads >= MAX_THREADS {
            return false;
        }
        let shared = Arc::clone(&self.shared);
        let thread = thread::Builder::new()
            .name("worker".to_owned())
            .stack_size(STACK_BYTES);
        if let Err(error) = thread.spawn(move || shared.run_jobs()) {
            log::error!("leaf: can't start a worker thread: {error}; raise the thread limit");
            return false;
        }
        state.threads += 1;
        state.idle += 1;
        true
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run_jobs(&self) {
        while let Some(job) = self.next_job() {
            job();
            self.lock().idle += 1;
        }
    }

    /// Waits for a job. Returns `None` if the thread has to end because none came.
    fn next_job(&self) -> Option<Job> {
        let state = self.lock();
        let is_empty = |state: &mut State| state.jobs.is_empty();
        let waited = self
            .job_added
            .wait_timeout_while(state, IDLE_TIMEOUT, is_empty);
        let (mut state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        state.idle -= 1;
        let job = state.jobs.pop_front();
        if job.is_none() {
            state.threads -= 1;
        }
        job
    }
}
