//! Index of the routes by their service.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use config::{Replica, RouteEntry};
use model::{Kind, Revision, ServiceName};

use crate::shared::lock;

/// The routes of each service.
pub(crate) type RoutesByService = BTreeMap<ServiceName, Vec<Arc<RouteEntry>>>;

/// The index, made anew when a route has changed. Health exchanges look up the routes of every
/// service twice a second; a scan of 180,000 routes for each takes 2.2 ms.
#[derive(Default)]
pub(crate) struct RouteIndex {
    state: Mutex<(Revision, Arc<RoutesByService>)>,
}

impl RouteIndex {
    /// The index of the routes in `config`.
    pub(crate) fn current(&self, config: &Replica) -> Arc<RoutesByService> {
        let revision = config.kind_revision(Kind::Route);
        let mut state = lock(&self.state);
        if state.0 != revision {
            let mut index = RoutesByService::new();
            for route in config.routes() {
                let routes = index.entry(route.policy().service.clone()).or_default();
                routes.push(Arc::clone(route));
            }
            *state = (revision, Arc::new(index));
        }
        Arc::clone(&state.1)
    }
}
