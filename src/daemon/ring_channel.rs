//! Bounded rings that join the threads, with a wake-up for the receiver.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::Thread;

use rtrb::{Consumer, Producer, RingBuffer};
use tokio::sync::Notify;

/// How the receiver of a ring is woken.
#[derive(Debug, Clone)]
pub enum RingWaker {
    /// The receiver is a thread that parks.
    Thread(Thread),
    /// The receiver is a task that awaits a notification.
    Task(Arc<Notify>),
}

impl RingWaker {
    fn wake(&self) {
        match self {
            Self::Thread(thread) => thread.unpark(),
            Self::Task(notify) => notify.notify_one(),
        }
    }
}

/// The sending end of a ring; it may be shared by the tasks of one thread.
pub struct RingSender<T> {
    producer: Mutex<Producer<T>>,
    waker: RingWaker,
}

impl<T> fmt::Debug for RingSender<T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("RingSender").finish_non_exhaustive()
    }
}

impl<T> RingSender<T> {
    /// Sends an item.
    ///
    /// # Errors
    ///
    /// Gives the item back when the ring is full.
    pub fn try_send(&self, item: T) -> Result<(), T> {
        let mut producer = self.producer.lock().unwrap_or_else(PoisonError::into_inner);
        let pushed = producer.push(item).map_err(|rtrb::PushError::Full(item)| item);
        drop(producer);
        self.waker.wake();
        pushed
    }

    /// Sends an item that must not be lost, yielding to other tasks while the ring is full.
    pub async fn send(&self, item: T) {
        let mut item = item;
        while let Err(returned) = self.try_send(item) {
            item = returned;
            tokio::task::yield_now().await;
        }
    }

    /// Sends an item that must not be lost, yielding the thread while the ring is full.
    pub fn send_blocking(&self, item: T) {
        let mut item = item;
        while let Err(returned) = self.try_send(item) {
            item = returned;
            std::thread::yield_now();
        }
    }
}

/// Makes a ring of `capacity` items whose receiver is woken by `waker`.
pub fn channel<T>(capacity: usize, waker: RingWaker) -> (RingSender<T>, Consumer<T>) {
    let (producer, consumer) = RingBuffer::new(capacity);
    (RingSender { producer: Mutex::new(producer), waker }, consumer)
}

/// The receiving end of a ring whose receiver is a task.
pub struct TaskReceiver<T> {
    consumer: Consumer<T>,
    notify: Arc<Notify>,
}

impl<T> fmt::Debug for TaskReceiver<T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("TaskReceiver").finish_non_exhaustive()
    }
}

impl<T> TaskReceiver<T> {
    /// Makes a ring of `capacity` items whose receiver is a task.
    pub fn channel(capacity: usize) -> (RingSender<T>, Self) {
        let notify = Arc::new(Notify::new());
        let (sender, consumer) = channel(capacity, RingWaker::Task(notify.clone()));
        (sender, Self { consumer, notify })
    }

    /// Awaits the next item; `None` when the sender is gone.
    pub async fn receive(&mut self) -> Option<T> {
        loop {
            if let Ok(item) = self.consumer.pop() {
                return Some(item);
            }
            if self.consumer.is_abandoned() {
                return None;
            }
            self.notify.notified().await;
        }
    }
}
