//! Room of an upstream: how many requests it runs and lets wait, and whether it falls over when it
//! has to reject too many.

use std::{
    cell::Cell,
    collections::VecDeque,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Window over which rejections are counted.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);

/// Room of an upstream.
#[derive(Clone, Debug)]
pub struct Room {
    slots: Arc<Semaphore>,
    /// Requests that run or wait.
    admitted: Rc<Cell<usize>>,
    max_admitted: usize,
    /// Rejections in a second above which the upstream falls over; `None` if it never does.
    max_rejections: Option<usize>,
    rejections: VecDeque<Instant>,
    /// Whether the upstream is falling over, which takes a moment.
    is_falling: bool,
}

/// A request was rejected for want of room.
#[derive(Clone, Copy, Debug)]
pub struct Rejection {
    /// Whether the upstream falls over because of it.
    pub falls: bool,
}

impl Room {
    /// Creates the room for requests that run in `slots` and for others that wait.
    pub fn new(slots: usize, waiting: usize, max_rejections: Option<usize>) -> Self {
        Self {
            slots: Arc::new(Semaphore::new(slots)),
            admitted: Rc::default(),
            max_admitted: slots + waiting,
            max_rejections,
            rejections: VecDeque::new(),
            is_falling: false,
        }
    }

    /// Admits a request, or counts its rejection.
    pub fn admit(&mut self) -> Result<Place, Rejection> {
        if self.admitted.get() < self.max_admitted {
            self.admitted.set(self.admitted.get() + 1);
            let (slots, admitted) = (self.slots.clone(), self.admitted.clone());
            return Ok(Place { slots, admitted });
        }
        let now = Instant::now();
        self.rejections.push_back(now);
        self.rejections.retain(|at| now.duration_since(*at) < REJECTION_WINDOW);
        let is_over = self.max_rejections.is_some_and(|max| self.rejections.len() > max);
        let falls = is_over && !self.is_falling;
        self.is_falling |= falls;
        Err(Rejection { falls })
    }

    /// Forgets the rejections of before a restart.
    pub fn restart(&mut self) {
        self.rejections.clear();
        self.is_falling = false;
    }
}

/// Place of an admitted request, which is free again when dropped.
#[derive(Debug)]
pub struct Place {
    slots: Arc<Semaphore>,
    admitted: Rc<Cell<usize>>,
}

impl Place {
    /// Waits for a slot; `None` if the room was replaced.
    pub async fn slot(&self) -> Option<OwnedSemaphorePermit> {
        self.slots.clone().acquire_owned().await.ok()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.admitted.set(self.admitted.get() - 1);
    }
}
