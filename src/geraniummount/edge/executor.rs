//! Executor that runs futures which are not `Send` on a thread of its own.
//!
//! Connections to peers (the other VMs) consist of such futures. Jobs are closures that reach the
//! thread over a bounded channel; a job may spawn futures on the thread. The thread ends when the
//! channel is closed.

use std::io;
use std::thread;

use futures::StreamExt;
use futures::channel::mpsc;
use futures::future::LocalBoxFuture;
use futures::stream::FuturesUnordered;

/// Maximum number of jobs in the channel.
const MAX_QUEUED_JOBS: usize = 8192;

/// Spawns futures on the executor's thread.
pub type Spawner = mpsc::UnboundedSender<LocalBoxFuture<'static, ()>>;

type Job<S> = Box<dyn FnOnce(&S, &Spawner) + Send>;

/// Handle to the thread. All jobs have access to one state of type `S`, which stays on the thread.
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
    /// Starts the thread, which creates its state by calling `init`.
    pub fn start(name: &str, init: impl FnOnce() -> S + Send + 'static) -> io::Result<Executor<S>> {
        let (jobs, queue) = mpsc::channel(MAX_QUEUED_JOBS);
        let thread = thread::Builder::new().name(name.to_owned());
        thread.spawn(move || async_io::block_on(run_jobs(init(), queue)))?;
        Ok(Executor { jobs })
    }

    /// Queues a job for the thread. Returns `false` and drops the job if the channel is full or the
    /// thread has ended.
    pub fn run(&self, job: impl FnOnce(&S, &Spawner) + Send + 'static) -> bool {
        self.jobs.clone().try_send(Box::new(job)).is_ok()
    }

    /// Closes the channel of all clones. The thread drops futures that are not completed.
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
