//! The `harness` module provides the dispatch group and its baselines in virtual time, as the tuning of the group uses
//! them, so that both judge the same runs.

#![allow(
    dead_code,
    reason = "the harness is shared with an example that uses more of it"
)]

#[path = "../../../kumquat-coordination/examples/dispatch_tuning/baseline.rs"]
mod baseline;
#[path = "../../../kumquat-coordination/examples/dispatch_tuning/event.rs"]
pub mod event;
#[path = "../../../kumquat-coordination/examples/dispatch_tuning/model.rs"]
pub mod model;
#[path = "../../../kumquat-coordination/examples/dispatch_tuning/scenario.rs"]
pub mod scenario;
#[path = "../../../kumquat-coordination/examples/dispatch_tuning/sim.rs"]
pub mod sim;
