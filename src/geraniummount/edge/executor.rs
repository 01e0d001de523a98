//! A thread that drives futures which must stay on one thread.
//!
//! Peer connections live in such futures. Work enters as closures over a
//! bounded channel; the thread ends when the channel closes.

use std::io;
use std::thread;

use futures::StreamExt;
use futures::channel::mpsc;
use futures::future::LocalBoxFuture;
use futures::stream::FuturesUnordered;

/// Closures that wait at most.
const MAX_QUEUED_JOBS: usize = 8192;

/// Starts futures on the executor's own thread.
pub type Spawner = mpsc::UnboundedSender<LocalBoxFuture<'static, ()>>;

type Job<S> = Box<dyn FnOnce(&S, &Spawner) + Send>;

/// Handle of the thread; its jobs share a state of type `S`.
pub struct Executor<S> {
    jobs: mpsc::Sender<Job<S>>,
}

impl<S> Clone for Executor<S> {
    fn clone(&self) -> Executor<S> {
        Executor {
            jobs: self.jobs.clone(),
        }
    }
}

impl<S: 'static> Executor<S> {
    /// Starts the thread with the state that `init` makes on it.
    pub fn start(name: &str, init: impl FnOnce() -> S + Send + 'static) -> io::Result<Executor<S>> {
        let (jobs, queue) = mpsc::channel(MAX_QUEUED_JOBS);
        let thread = thread::Builder::new().name(name.to_owned());
        thread.spawn(move || async_io::block_on(run_jobs(init(), queue)))?;
        Ok(Executor { jobs })
    }

    /// Runs a job on the thread. Returns `false` and drops the job when too
    /// many wait or the thread has ended.
    pub fn run(&self, job: impl FnOnce(&S, &Spawner) + Send + 'static) -> bool {
        self.jobs.clone().try_send(Box::new(job)).is_ok()
    }

    /// Closes the channel for all clones; futures that still run are dropped.
    pub fn stop(&self) {
        self.jobs.clone().close_channel();
    }
}

async fn run_jobs<S>(state: S, mut jobs: mpsc::Receiver<Job<S>>) {
    let (spawner, mut spawned) = mpsc::unbounded();
    let mut running = FuturesUnordered::new();
    loop {
        futures::select_biased! {
            future = spawned.select_next_some() => running.push(future),
            () = running.select_next_some() => {}
            job = jobs.next() => match job {
                Some(job) => job(&state, &spawner),
                None => return,
            },
        }
    }
}
