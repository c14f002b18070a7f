//! The configuration of a node: one replica for each of its two feeds.

use std::fmt;
use std::sync::Arc;

use model::{CallerLimits, Revision, RouteName, ServiceName, ServicePolicy};

use crate::entry::{AccountEntry, KeyEntry, RouteEntry};
use crate::replica::Replica;

/// A stream of configuration objects with revisions of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Feed {
    /// The product's own objects, written by its operator commands and nodes.
    Objects,
    /// The configuration document that the platform's operators write as a whole.
    Imported,
}

impl Feed {
    /// All feeds.
    pub const ALL: [Feed; 2] = [Feed::Objects, Feed::Imported];
}

/// The revision of each feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Revisions {
    /// Revision of the product's objects.
    pub objects: Revision,
    /// Revision of the imported configuration.
    pub imported: Revision,
}

impl Revisions {
    /// Returns whether a node at `self` may have configuration that a node at `other` lacks.
    pub fn is_ahead_of(self, other: Revisions) -> bool {
        self.objects > other.objects || self.imported > other.imported
    }

    /// Returns whether what a configuration at `other` allows may rightly be refused by one at `self`
    /// that does not allow it. The imported feed decides first, since its objects take precedence: a
    /// node may have newer node records and still lack a route that was added to the imported feed.
    ///
    /// Configurations that are ordered by different numbers, as nodes of the previous version do it, say
    /// nothing about each other.
    ///
    /// ```
    /// use config::Revisions;
    /// use model::Revision;
    ///
    /// let revisions = |objects, imported| Revisions {
    ///     objects: Revision(objects),
    ///     imported: Revision(imported),
    /// };
    /// assert!(revisions(7, 5).supersedes(revisions(7, 4)));
    /// assert!(!revisions(9, 4).supersedes(revisions(7, 5)));
    /// ```
    pub fn supersedes(self, other: Revisions) -> bool {
        let is_by_version = |revisions: Revisions| revisions.imported.version().is_some();
        is_by_version(self) == is_by_version(other)
            && (self.imported, self.objects) > (other.imported, other.objects)
    }

    /// Returns the revision of a feed.
    pub fn of(self, feed: Feed) -> Revision {
        match feed {
            Feed::Objects => self.objects,
            Feed::Imported => self.imported,
        }
    }
}

impl fmt::Display for Revisions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.objects, self.imported)
    }
}

/// The replicas of both feeds. The imported configuration takes precedence: its routes, keys and
/// accounts are looked up before those of the product's objects.
#[derive(Debug)]
pub struct Configuration {
    /// The product's own objects.
    pub objects: Replica,
    /// The imported configuration.
    pub imported: Replica,
}

impl Default for Configuration {
    fn default() -> Configuration {
        Configuration { objects: Replica::retaining(), imported: Replica::new() }
    }
}

impl Configuration {
    /// Returns the revisions of both feeds.
    pub fn revisions(&self) -> Revisions {
        Revisions { objects: self.objects.revision(), imported: self.imported.revision() }
    }

    /// Returns the replica of a feed.
    pub fn replica(&self, feed: Feed) -> &Replica {
        match feed {
            Feed::Objects => &self.objects,
            Feed::Imported => &self.imported,
        }
    }

    /// Returns the replica of a feed for modification.
    pub fn replica_mut(&mut self, feed: Feed) -> &mut Replica {
        match feed {
            Feed::Objects => &mut self.objects,
            Feed::Imported => &mut self.imported,
        }
    }

    /// Returns the route for a host and path, see [`Replica::route`].
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteEntry>> {
        self.imported.route(host, path).or_else(|| self.objects.route(host, path))
    }

    /// Returns the route with the given name.
    pub fn route_by_name(&self, name: &RouteName) -> Option<&Arc<RouteEntry>> {
        let name = name.as_str();
        self.imported.route_by_name(name).or_else(|| self.objects.route_by_name(name))
    }

    /// Iterates over the routes of both feeds, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<RouteEntry>> {
        self.imported.routes().chain(self.objects.routes())
    }

    /// Returns the key with the given id.
    pub fn key(&self, id: &str) -> Option<&Arc<KeyEntry>> {
        self.imported.key(id).or_else(|| self.objects.key(id))
    }

    /// Returns the bounds on what callers may send, or none if there are none.
    pub fn caller_limits(&self) -> CallerLimits {
        let limits = self.imported.caller_limits().or_else(|| self.objects.caller_limits());
        limits.unwrap_or_default()
    }

    /// Returns the policy of a service, or `None` if its endpoints have no limits while they are cold.
    pub fn service_policy(&self, name: &ServiceName) -> Option<ServicePolicy> {
        let name = name.as_str();
        self.imported.service_policy(name).or_else(|| self.objects.service_policy(name))
    }

    /// Returns the client account with the given name.
    pub fn account(&self, name: &str) -> Option<&Arc<AccountEntry>> {
        self.imported.account(name).or_else(|| self.objects.account(name))
    }
}
