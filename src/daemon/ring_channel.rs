//! Bounded ring channels between two threads, which wake the receiver on each item.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::Thread;

use rtrb::{Consumer, Producer, RingBuffer};
use tokio::sync::Notify;

/// How the receiver of a ring is woken when an item is sent.
#[derive(Debug, Clone)]
pub enum RingWaker {
    /// Unparks the receiving thread.
    Thread(Thread),
    /// Notifies the receiving task.
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

/// The sending end of a ring; the tasks of one thread may share it.
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
    /// Sends an item without waiting.
    ///
    /// # Errors
    ///
    /// Returns the item when the ring is full.
    pub fn try_send(&self, item: T) -> Result<(), T> {
        let mut producer = self.producer.lock().unwrap_or_else(PoisonError::into_inner);
        let pushed = producer.push(item).map_err(|rtrb::PushError::Full(item)| item);
        drop(producer);
        self.waker.wake();
        pushed
    }

    /// Sends an item that must not be lost, yielding to other tasks until the ring has room.
    pub async fn send(&self, item: T) {
        let mut item = item;
        while let Err(returned) = self.try_send(item) {
            item = returned;
            tokio::task::yield_now().await;
        }
    }

    /// Sends an item that must not be lost, yielding the thread until the ring has room.
    pub fn send_blocking(&self, item: T) {
        let mut item = item;
        while let Err(returned) = self.try_send(item) {
            item = returned;
            std::thread::yield_now();
        }
    }
}

/// Creates a ring of `capacity` items whose receiver is woken by `waker`.
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
    /// Creates a ring of `capacity` items whose receiver is a task.
    pub fn channel(capacity: usize) -> (RingSender<T>, Self) {
        let notify = Arc::new(Notify::new());
        let (sender, consumer) = channel(capacity, RingWaker::Task(notify.clone()));
        (sender, Self { consumer, notify })
    }

    /// Waits for the next item; `None` once the ring is empty and its sender dropped.
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
