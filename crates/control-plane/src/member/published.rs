//! The published part of the state and the listener for its changes.

use std::cell::RefCell;

use crate::state_machine::Published;

/// Called when the published state has changed.
pub type PublishedListener = Box<dyn Fn(&Published)>;

/// The current published state and its listener.
#[derive(Default)]
pub(super) struct PublishedState {
    current: RefCell<Published>,
    listener: RefCell<Option<PublishedListener>>,
}

impl PublishedState {
    /// Replaces the state and notifies the listener.
    pub(super) fn set(&self, published: Published) {
        *self.current.borrow_mut() = published;
        if let Some(listener) = &*self.listener.borrow() {
            listener(&self.current.borrow());
        }
    }

    pub(super) fn get(&self) -> Published {
        self.current.borrow().clone()
    }

    /// Sets the listener and notifies it of the current state.
    pub(super) fn set_listener(&self, listener: PublishedListener) {
        listener(&self.current.borrow());
        *self.listener.borrow_mut() = Some(listener);
    }
}
