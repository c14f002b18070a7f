//! Which nodes watch the platform.

use std::time::Duration;

use model::{FailureDomain, NodeName, Time, rendezvous_score};

/// Relays in each failure domain.
pub const RELAYS_PER_DOMAIN: usize = 2;

/// Silence about the platform after which a node that is no relay tries to reach it.
pub const PLATFORM_SILENCE: Duration = Duration::from_secs(3);

/// Spread of the tries per member, so that a whole fleet makes about 100 tries a second while the
/// platform is down. The platform takes about 2,000 reads a second.
const SPREAD_PER_MEMBER: Duration = Duration::from_millis(10);

/// What a node does about the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayRole {
    /// Watch the platform.
    Relay,
    /// Not a relay; ask again at this time.
    Standby(Time),
    /// Not a relay, but nobody is known to reach the platform: try once.
    TryPlatform,
}

/// Decides whether the own node is a relay. There is no election: each node ranks the nodes of its
/// failure domain by itself, and two views that differ only cause a relay too many for a while.
///
/// ```
/// use membership::{RelayRole, Relays};
/// use model::{FailureDomain, NodeName, Time};
///
/// let own: NodeName = "node-1".parse().unwrap();
/// let domain: FailureDomain = "mid-a".parse().unwrap();
/// let mut relays = Relays::new(own.clone(), Time::ZERO);
/// relays.set_members(&domain, [(&own, &domain)]);
/// assert_eq!(relays.role(Time::ZERO, 0.5, |_| true), RelayRole::Relay);
/// ```
#[derive(Debug)]
pub struct Relays {
    own: NodeName,
    /// Nodes of the own failure domain that rank above the own node.
    higher: Vec<NodeName>,
    is_member: bool,
    members: u32,
    contact: Time,
    next_try: Option<Time>,
}

impl Relays {
    /// A node that starts now, without members.
    pub fn new(own: NodeName, now: Time) -> Relays {
        Relays {
            own,
            higher: Vec::new(),
            is_member: false,
            members: 0,
            contact: now,
            next_try: None,
        }
    }

    /// Sets the members and their failure domains.
    pub fn set_members<'a>(
        &mut self,
        own_domain: &FailureDomain,
        members: impl IntoIterator<Item = (&'a NodeName, &'a FailureDomain)>,
    ) {
        let own_rank = rank(&self.own);
        self.higher.clear();
        self.is_member = false;
        self.members = 0;
        for (name, domain) in members {
            self.members += 1;
            self.is_member |= *name == self.own;
            if domain == own_domain && rank(name) > own_rank {
                self.higher.push(name.clone());
            }
        }
    }

    /// Somebody reached the platform at this time of the own clock: the own node, or a peer whose
    /// Pong gave the age of its last contact. The caller subtracts that age from the receipt.
    pub fn platform_contact(&mut self, at: Time) {
        if at > self.contact {
            self.contact = at;
            self.next_try = None;
        }
    }

    /// Time since the last known contact with the platform, for the own Pongs.
    pub fn contact_age(&self, now: Time) -> Duration {
        now.since(self.contact)
    }

    /// The role of the own node now. `jitter` is a random number from 0 to 1, drawn for each call.
    pub fn role(
        &mut self,
        now: Time,
        jitter: f64,
        is_alive: impl Fn(&NodeName) -> bool,
    ) -> RelayRole {
        // A node that is not a member yet knows no peers and has to read the platform itself.
        if !self.is_member
            || self.higher.iter().filter(|name| is_alive(name)).count() < RELAYS_PER_DOMAIN
        {
            return RelayRole::Relay;
        }
        let silent_from = self.contact + PLATFORM_SILENCE;
        if now < silent_from {
            return RelayRole::Standby(silent_from);
        }
        let spread = (SPREAD_PER_MEMBER * self.members).max(PLATFORM_SILENCE);
        let pause = spread.mul_f64(jitter.clamp(0.0, 1.0));
        match self.next_try {
            Some(at) if now >= at => {
                self.next_try = Some(now + PLATFORM_SILENCE + pause);
                RelayRole::TryPlatform
            }
            Some(at) => RelayRole::Standby(at),
            None => {
                self.next_try = Some(now + pause);
                RelayRole::Standby(now + pause)
            }
        }
    }
}

fn rank(name: &NodeName) -> (u64, &NodeName) {
    (rendezvous_score("relay", name.as_str()), name)
}
