//! Reloads the seeds from the settings file while the controller runs.

use std::sync::Arc;

use lynxstair::types::Span;
use lynxstair_config::settings_reload::ReloadTrigger;

use crate::controller::Controller;
use crate::peer_links::add_peers;

/// Interval between checks of the file.
const CHECK_INTERVAL: Span = Span::from_millis(1_000);

/// Checks the file periodically; never returns. Must be called in a coroutine of its own.
pub fn run(controller: &Arc<Controller>) {
    loop {
        reload(controller, ReloadTrigger::Periodic);
        controller.alarms.sleep_until(controller.alarms.now() + CHECK_INTERVAL);
    }
}

/// Checks the file now and connects to new seeds. An isolated controller reads the file even if it is
/// unchanged.
pub fn reload(controller: &Arc<Controller>, trigger: ReloadTrigger) {
    let now = controller.alarms.now();
    let is_isolated = controller.state().peers.peer_set.poll_isolated(now);
    let mut reload = controller.reload.lock().unwrap_or_else(|e| e.into_inner());
    reload.reload_seeds(trigger.or_isolated(is_isolated), |seeds| {
        add_peers(controller, now, &mut controller.state(), seeds)
    });
}
