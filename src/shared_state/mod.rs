//! Tables that controllers read and write: one writer for each table, with a stated lock order.

pub mod control_board;
