//! State that the tasks of a daemon share. Each table has one kind of writer, and the locks have a
//! fixed order.

pub mod keeper_state;
