//! Policies of services in transfers of the imported configuration.
//!
//! A node of the previous version does not know [`Kind::Service`], and a frame with an unknown kind ends
//! its link: it would get no imported configuration from peers at all. The imported feed has no endpoint
//! marks, and every node keeps and passes on marks in it without using them. A policy is therefore sent
//! as a mark with two labels, so that it also spreads through nodes that do not know it.

use model::{EndpointMark, Kind, Labels, Object, ServicePolicy};

const COLD_FOR_MS: &str = "cold_for_ms";
const COLD_PER_SECOND: &str = "cold_per_second";

/// Kind under which objects of this kind are sent in the imported feed.
pub(crate) fn kind_to_wire(kind: Kind) -> Kind {
    match kind {
        Kind::Service => Kind::EndpointMark,
        other => other,
    }
}

/// Kind of a deleted object that was received in the imported feed.
pub(crate) fn kind_from_wire(kind: Kind) -> Kind {
    match kind {
        Kind::EndpointMark => Kind::Service,
        other => other,
    }
}

/// Document under which an object is sent in the imported feed.
pub(crate) fn document_to_wire(object: &Object) -> Vec<u8> {
    let Object::Service(policy) = object else { return object.to_document() };
    let mut labels = Labels::new();
    labels.insert(COLD_FOR_MS.into(), policy.cold_for_ms.to_string().into());
    labels.insert(COLD_PER_SECOND.into(), policy.cold_per_second.to_string().into());
    Object::EndpointMark(EndpointMark { labels, drained: false }).to_document()
}

/// Content of an object that was received in the imported feed. A mark that holds no valid policy stays
/// a mark, which has no effect there.
pub(crate) fn object_from_wire(object: Object) -> Object {
    let Object::EndpointMark(mark) = &object else { return object };
    policy_of(mark).map_or(object, Object::Service)
}

fn policy_of(mark: &EndpointMark) -> Option<ServicePolicy> {
    let policy = ServicePolicy {
        cold_for_ms: mark.labels.get(COLD_FOR_MS)?.parse().ok()?,
        cold_per_second: mark.labels.get(COLD_PER_SECOND)?.parse().ok()?,
    };
    // The policy has to satisfy the same rules as one that is read from a document.
    let document = Object::Service(policy).to_document();
    Object::from_document(Kind::Service, &document).is_ok().then_some(policy)
}
