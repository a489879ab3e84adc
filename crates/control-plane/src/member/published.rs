//! The part of the state that is delivered, and who is notified of its changes.

use std::cell::RefCell;

use crate::state_machine::Published;

/// Called when what is delivered has changed.
pub type PublishedListener = Box<dyn Fn(&Published)>;

/// The newest published state with its listener.
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

    /// Notifies the listener of the state as it is, and from now on of each change.
    pub(super) fn set_listener(&self, listener: PublishedListener) {
        listener(&self.current.borrow());
        *self.listener.borrow_mut() = Some(listener);
    }
}
