//! Reloading of both configuration files on SIGHUP.

use crate::cli::SettingOverrides;
use crate::operator::{keys, OperatorConfig};
use crate::{config, environment_variable};
use hillstall_coordination::CoordinationHandle;
use hillstall_http1::client::HttpClient;
use hillstall_proxy_core::driver::Driver;
use hillstall_proxy_core::limits::Limits;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::signal::unix::Signal;

/// The target of the log records of a reload: the program's name, not the module's.
const LOG_TARGET: &str = "hillstall";

/// The parts of a running proxy that a reload changes.
pub struct Reloader {
    /// The sources of the operator's settings on the command line, read again on each reload.
    pub overrides: SettingOverrides,
    /// The operator's settings in force.
    pub operator: RefCell<OperatorConfig>,
    /// Takes a changed discovery address.
    pub driver: Rc<Driver<HttpClient>>,
    /// Applies changed tuning values to its connection pool.
    pub client: Rc<HttpClient>,
    /// Takes changed tuning values.
    pub limits: Rc<Limits>,
    /// Gets notified of each SIGHUP; absent if coordination is off.
    pub coordination: Option<Rc<CoordinationHandle>>,
}

impl Reloader {
    /// Reloads on each signal until the signal stream ends with the runtime.
    pub async fn run(self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            self.reload();
        }
    }

    /// Reads both files again. Each is applied as a whole or not at all: one invalid key leaves all settings
    /// of that file as they were.
    fn reload(&self) {
        if let Some(coordination) = &self.coordination {
            coordination.on_signal("SIGHUP");
        }
        match config::reload(environment_variable) {
            Ok(discovery) => self.driver.set_discovery(discovery),
            Err(error) => {
                tracing::error!(target: LOG_TARGET, "platform file not reloaded, old values kept: {error}")
            }
        }
        match OperatorConfig::read(&self.overrides.sources(), environment_variable) {
            Ok(operator) => self.apply(operator),
            Err(problems) => {
                for problem in problems {
                    tracing::error!(
                        target: LOG_TARGET,
                        "operator file not reloaded, old values kept: {problem}"
                    );
                }
            }
        }
    }

    /// Applies new operator settings, and warns of changed keys that need a restart.
    fn apply(&self, operator: OperatorConfig) {
        for key in self.operator.borrow().changes_needing_restart(&operator) {
            tracing::warn!(target: LOG_TARGET, "{key} has changed; it takes effect after a restart");
        }
        self.limits.set_tuning(keys::tuning(&operator));
        self.client.apply_tuning();
        self.operator.replace(operator);
    }
}
