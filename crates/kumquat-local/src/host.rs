//! The `host` module provides the place where a process of a local deployment runs: the caller's runtime, or one of
//! its own that can be paused and ended as the system would pause and end a process.

use std::sync::{Arc, Condvar, Mutex, PoisonError};

use eyre::Result;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::oneshot;

/// A place for one process.
#[derive(Debug)]
pub struct Host {
    runtime: Option<Runtime>,
    pause: Option<Arc<Pause>>,
}

/// Holds the only worker of a runtime until it is released.
#[derive(Debug, Default)]
struct Pause {
    released: Mutex<bool>,
    changed: Condvar,
}

impl Pause {
    fn wait(&self) {
        let mut released = self.released.lock().unwrap_or_else(PoisonError::into_inner);
        while !*released {
            released = self
                .changed
                .wait(released)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn release(&self) {
        *self.released.lock().unwrap_or_else(PoisonError::into_inner) = true;
        self.changed.notify_all();
    }
}

impl Host {
    /// Creates a place in the caller's runtime, which can neither be paused nor ended.
    #[must_use]
    pub const fn shared() -> Self {
        Self {
            runtime: None,
            pause: None,
        }
    }

    /// Creates a place with a runtime of one worker.
    ///
    /// # Errors
    ///
    /// Returns an error if the system gives no thread.
    pub fn separate(name: &str) -> Result<Self> {
        // With one worker, a task that blocks stops all tasks, timers and connections of the process.
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name(name)
            .enable_all()
            .build()?;
        Ok(Self {
            runtime: Some(runtime),
            pause: None,
        })
    }

    /// Returns whether the place has a runtime of its own.
    #[must_use]
    pub const fn is_separate(&self) -> bool {
        self.runtime.is_some()
    }

    /// Runs a future in the process, so that all that it spawns belongs to the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the process ends before the future.
    pub async fn run<F>(&self, future: F) -> Result<F::Output>
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        match &self.runtime {
            Some(runtime) => Ok(runtime.spawn(future).await?),
            None => Ok(future.await),
        }
    }

    /// Stops the process without its knowledge until [`Host::resume`]; its clock and its connections go on.
    pub async fn pause(&mut self) {
        let Some(runtime) = self.runtime.as_ref().filter(|_| self.pause.is_none()) else {
            return;
        };
        let pause = Arc::new(Pause::default());
        let held = Arc::clone(&pause);
        let (entered, blocked) = oneshot::channel();
        runtime.spawn(async move {
            // The caller waits for this word, so it is still there.
            _ = entered.send(());
            held.wait();
        });
        self.pause = Some(pause);
        // A runtime that has ended is as good as paused.
        _ = blocked.await;
    }

    /// Lets a paused process go on.
    pub fn resume(&mut self) {
        if let Some(pause) = self.pause.take() {
            pause.release();
        }
    }

    /// Ends the process at once; the system closes its connections.
    pub fn end(&mut self) {
        // The worker of a paused process can end only after it is released; it runs no other task in between.
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
        self.resume();
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.end();
    }
}
