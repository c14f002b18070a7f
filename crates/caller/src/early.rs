//! Requests that start while an earlier request of their connection is in progress.
//!
//! Responses go out in the order of the requests, but a caller that sends requests ahead need not
//! wait for the sum of their durations. Only requests that may run more than once start early: if an
//! earlier response closes the connection, the caller sends all requests behind it again.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hyper::http::Response;
use payload::Payload;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// Maximum number of requests of a connection that are started early.
const MAX_EARLY_REQUESTS: usize = 8;

/// The requests of one connection.
#[derive(Default)]
pub(crate) struct EarlyRequests {
    tasks: Mutex<BTreeMap<u64, EarlyTask>>,
    /// Number of requests that hyper has passed on.
    started: AtomicU64,
    /// Number of requests whose responses are complete.
    finished: AtomicU64,
    /// Notified when the last early request is taken.
    emptied: Notify,
}

/// A request that was started early. Dropping it cancels the request.
pub(crate) struct EarlyTask(JoinHandle<Response<Payload>>);

impl EarlyTask {
    /// Waits for the response. Returns `None` if the task has panicked.
    pub(crate) async fn response(mut self) -> Option<Response<Payload>> {
        (&mut self.0).await.ok()
    }
}

impl Drop for EarlyTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl EarlyRequests {
    /// Whether the request with this number waits for an earlier one and may be started now.
    pub(crate) fn may_start(&self, number: u64) -> bool {
        number > self.finished.load(Ordering::Relaxed) + 1
            && self.tasks().len() < MAX_EARLY_REQUESTS
    }

    /// Adds a request that was started.
    pub(crate) fn insert(&self, number: u64, task: JoinHandle<Response<Payload>>) {
        self.tasks().insert(number, EarlyTask(task));
    }

    /// Takes the request with this number, if it was started early.
    pub(crate) fn take(&self, number: u64) -> Option<EarlyTask> {
        let mut tasks = self.tasks();
        let task = tasks.remove(&number);
        if tasks.is_empty() {
            self.emptied.notify_waiters();
        }
        task
    }

    /// Whether the next response may close the connection: no request behind it has been started.
    pub(crate) fn is_empty(&self) -> bool {
        self.tasks().is_empty()
    }

    /// Counts a request that hyper has passed on, and returns its number on the connection.
    pub(crate) fn start_next(&self) -> u64 {
        self.started.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Whether a request is in progress, so that others may be sent behind it.
    pub(crate) fn is_in_progress(&self) -> bool {
        self.finished.load(Ordering::Relaxed) < self.started.load(Ordering::Relaxed)
    }

    /// Waits until no early request is left.
    pub(crate) async fn wait_until_empty(&self) {
        loop {
            let emptied = self.emptied.notified();
            if self.is_empty() {
                return;
            }
            emptied.await;
        }
    }

    /// Returns a guard that marks a request as finished when it is dropped.
    pub(crate) fn finish_guard(self: &Arc<Self>) -> FinishGuard {
        FinishGuard(Arc::clone(self))
    }

    fn tasks(&self) -> MutexGuard<'_, BTreeMap<u64, EarlyTask>> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Marks a request as finished when it is dropped, at the end of the response.
pub(crate) struct FinishGuard(Arc<EarlyRequests>);

impl Drop for FinishGuard {
    fn drop(&mut self) {
        self.0.finished.fetch_add(1, Ordering::Relaxed);
    }
}
