//! Reloading of both configuration files on SIGHUP.

use crate::cli::SettingOverrides;
use crate::operator::{keys, OperatorConfig};
use crate::{config, environment};
use hillstall_coordination::CoordinationHandle;
use hillstall_http1::client::HttpClient;
use hillstall_proxy_core::driver::Driver;
use hillstall_proxy_core::limits::Limits;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::signal::unix::Signal;

/// The target of the log records of a reload.
const LOG_TARGET: &str = "hillstall";

/// The parts of a running proxy that a reload changes.
pub struct Reloader {
    /// Where the operator's settings come from.
    pub overrides: SettingOverrides,
    /// The operator's settings in force.
    pub operator: RefCell<OperatorConfig>,
    /// Takes a changed discovery address.
    pub driver: Rc<Driver<HttpClient>>,
    /// The client side, which follows the limits.
    pub client: Rc<HttpClient>,
    /// Takes changed tuning values.
    pub limits: Rc<Limits>,
    /// The coordination runtime, where it is on.
    pub coordination: Option<Rc<CoordinationHandle>>,
}

impl Reloader {
    /// Reloads on each signal, for ever.
    pub async fn run(self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            self.reload();
        }
    }

    /// Reads both files again. Each is taken as a whole: one invalid key leaves its old settings in force.
    fn reload(&self) {
        if let Some(coordination) = &self.coordination {
            coordination.on_signal("SIGHUP");
        }
        match config::reload(environment) {
            Ok(discovery) => self.driver.set_discovery(discovery),
            Err(error) => tracing::error!(target: LOG_TARGET, "not reloaded: {error}"),
        }
        match OperatorConfig::read(&self.overrides.sources(), environment) {
            Ok(operator) => self.apply(operator),
            Err(problems) => {
                for problem in problems {
                    tracing::error!(target: LOG_TARGET, "not reloaded: {problem}");
                }
            }
        }
    }

    /// Puts new operator settings into force.
    fn apply(&self, operator: OperatorConfig) {
        for key in self.operator.borrow().changes_needing_restart(&operator) {
            tracing::warn!(target: LOG_TARGET, "{key} has changed and needs a restart");
        }
        self.limits.set_tuning(keys::tuning(&operator));
        self.client.apply_tuning();
        self.operator.replace(operator);
    }
}
