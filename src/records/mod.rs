//! Claims, journals and outcomes at their holders, and how owners get a majority of them.

pub mod copies;
pub mod evidence;
pub mod journal;
pub mod ledger;
pub mod ledger_task;
pub mod record;
pub mod vote;
