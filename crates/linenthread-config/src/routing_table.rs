//! Routing of requests by host and path prefix, built from a configuration.

use std::collections::HashMap;
use std::rc::Rc;

use crate::configuration::{Configuration, RequestLimits, Route, WeightedBackend};
use crate::tenants::{Credentials, Tenant, Tenants, UnknownKey};

/// A backend of a weighted split, with its cumulative weight.
#[derive(Clone, Debug)]
pub struct WeightedDestination {
    /// Name of the backend.
    pub backend: Rc<str>,
    /// Sum of the weights up to and including this backend's.
    pub cumulative_weight: f64,
}

/// The backends to which the requests of a route are sent.
#[derive(Clone, Debug)]
pub enum Destination {
    /// Each request is sent to one of these backends, chosen in proportion to the weights.
    Weighted(Vec<WeightedDestination>),
    /// Each request is sent to one replica of every backend.
    FanOut(Rc<[Rc<str>]>),
}

impl Destination {
    /// Returns the backend that a random sample from 0 (inclusive) to 1 (exclusive) selects; `None` for a fan-out.
    pub fn pick(&self, sample: f64) -> Option<&Rc<str>> {
        let Destination::Weighted(backends) = self else {
            return None;
        };
        let last = backends.last()?;
        let position = sample * last.cumulative_weight;
        let picked = backends
            .iter()
            .find(|candidate| position < candidate.cumulative_weight);
        Some(&picked.unwrap_or(last).backend)
    }
}

/// A route and its destination.
#[derive(Debug)]
pub struct ResolvedRoute {
    /// The route as configured.
    pub route: Route,
    /// The backends to which its requests are sent.
    pub destination: Destination,
}

/// One revision of the configuration, indexed by host and path prefix.
#[derive(Debug)]
pub struct RoutingTable {
    /// Revision number.
    pub revision: u64,
    /// Limits that apply to the requests of all clients.
    pub limits: RequestLimits,
    /// The routes, in the order of the configuration.
    pub routes: Vec<Rc<ResolvedRoute>>,
    /// Maximum number of connections that a replica accepts from all ingress nodes together, by backend; absent: no
    /// limit.
    pub max_connections: HashMap<Rc<str>, usize>,
    /// Index into `routes`, by lower-case host and then by path prefix.
    hosts: HashMap<String, HashMap<String, usize>>,
    /// The tenants by key; absent if requests need no key.
    tenants: Option<Tenants>,
}

impl RoutingTable {
    /// Builds the routing table of a configuration.
    pub fn new(configuration: Configuration) -> RoutingTable {
        let names = BackendNames::new(&configuration);
        let max_connections = configuration
            .backends
            .iter()
            .filter_map(|backend| Some((names.get(&backend.name), backend.max_connections?)))
            .collect();
        let mut hosts: HashMap<String, HashMap<String, usize>> = HashMap::new();
        let mut routes = Vec::new();
        for (index, route) in configuration.routes.into_iter().enumerate() {
            let prefixes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            prefixes.insert(route.path_prefix.clone(), index);
            let destination = names.destination(&route);
            routes.push(Rc::new(ResolvedRoute { route, destination }));
        }
        RoutingTable {
            revision: configuration.revision,
            limits: configuration.limits,
            routes,
            max_connections,
            hosts,
            tenants: configuration.clients.as_deref().map(Tenants::new),
        }
    }

    /// Returns the route of a request: among the routes of its host, the one with the longest matching path prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<ResolvedRoute>> {
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.hosts.get(host) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        let index = path
            .rmatch_indices('/')
            .find_map(|(slash, _)| prefixes.get(&path[..=slash]))?;
        Some(&self.routes[*index])
    }

    /// Reports whether requests on this route need a tenant's key.
    pub fn needs_key(&self, route: &Route) -> bool {
        self.tenants.is_some() && !route.public
    }

    /// Returns the tenant whose key a request on this route carries, or `None` if the configuration has no `clients`
    /// list or the route is public and the key is unknown.
    ///
    /// # Errors
    /// [`UnknownKey`] if the route is not public and no tenant has the key.
    pub fn authorize(
        &self,
        route: &Route,
        credentials: Credentials<'_>,
    ) -> Result<Option<Rc<Tenant>>, UnknownKey> {
        let Some(tenants) = &self.tenants else {
            return Ok(None);
        };
        match tenants.find(credentials) {
            None if !route.public => Err(UnknownKey),
            tenant => Ok(tenant.cloned()),
        }
    }
}

/// The backend names, each allocated once and shared.
struct BackendNames(HashMap<String, Rc<str>>);

impl BackendNames {
    fn new(configuration: &Configuration) -> BackendNames {
        let backends = configuration.backends.iter();
        let names = backends.map(|b| (b.name.clone(), Rc::from(b.name.as_str())));
        BackendNames(names.collect())
    }

    fn get(&self, name: &str) -> Rc<str> {
        self.0.get(name).cloned().unwrap_or_else(|| Rc::from(name))
    }

    fn destination(&self, route: &Route) -> Destination {
        if let Some(backends) = &route.fanout {
            return Destination::FanOut(backends.iter().map(|name| self.get(name)).collect());
        }
        if let Some(backends) = &route.weighted_backends {
            return Destination::Weighted(self.weighted(backends));
        }
        let only = route.backend.iter().map(|name| WeightedDestination {
            backend: self.get(name),
            cumulative_weight: 1.0,
        });
        Destination::Weighted(only.collect())
    }

    /// Returns the backends with a positive weight, with their cumulative weights.
    fn weighted(&self, backends: &[WeightedBackend]) -> Vec<WeightedDestination> {
        let mut cumulative_weight = 0.0;
        let mut weighted = Vec::new();
        for WeightedBackend { backend, weight } in backends {
            if *weight > 0.0 {
                cumulative_weight += weight;
                weighted.push(WeightedDestination {
                    backend: self.get(backend),
                    cumulative_weight,
                });
            }
        }
        weighted
    }
}
