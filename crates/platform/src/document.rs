//! JSON documents of the object API.

use model::{Kind, Object, ObjectKey, Revision, StoredObject, WriteId};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::store::StoreError;

/// Answer with several objects.
#[derive(Deserialize)]
pub(crate) struct ObjectsDocument {
    pub revision: Revision,
    pub objects: Vec<StoredDocument>,
}

/// Answer with one object.
#[derive(Deserialize)]
pub(crate) struct ObjectDocument {
    pub object: StoredDocument,
}

/// Answer to a write.
#[derive(Deserialize)]
pub(crate) struct WrittenDocument {
    pub revision: Revision,
}

/// Answer to a refused call.
#[derive(Deserialize, Default)]
pub(crate) struct ErrorDocument {
    #[serde(default)]
    pub error: Box<str>,
    #[serde(default)]
    pub current: Option<Revision>,
    #[serde(default)]
    pub detail: Box<str>,
}

/// Body of a write.
#[derive(Serialize)]
pub(crate) struct WriteDocument<'a> {
    pub write_id: &'a WriteId,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub spec: Option<Value>,
}

/// One object or tombstone.
#[derive(Deserialize)]
pub(crate) struct StoredDocument {
    kind: Box<str>,
    name: Box<str>,
    revision: Revision,
    write_id: WriteId,
    spec: Option<Value>,
}

impl TryFrom<StoredDocument> for StoredObject {
    type Error = StoreError;

    fn try_from(doc: StoredDocument) -> Result<StoredObject, StoreError> {
        let kind = doc.kind.parse::<Kind>().map_err(invalid)?;
        let object = match doc.spec {
            Some(spec) => Some(parse_spec(kind, &spec)?),
            None => None,
        };
        let key = ObjectKey { kind, name: doc.name };
        Ok(StoredObject { key, revision: doc.revision, write_id: doc.write_id, object })
    }
}

/// Reads the objects of a list or watch.
///
/// An object with an unreadable spec becomes a tombstone at its revision: every node then has the
/// same state, and one bad object does not keep the fleet from all other changes. Objects of an
/// unknown kind are left out, since a newer release may have written them.
pub(crate) fn read_objects(docs: Vec<StoredDocument>) -> Vec<StoredObject> {
    docs.into_iter().filter_map(read_or_tombstone).collect()
}

fn read_or_tombstone(doc: StoredDocument) -> Option<StoredObject> {
    let Ok(kind) = doc.kind.parse::<Kind>() else {
        log::warn!("object {}/{} has an unknown kind and is left out", doc.kind, doc.name);
        return None;
    };
    let object = match doc.spec.map(|spec| parse_spec(kind, &spec)) {
        Some(Ok(object)) => Some(object),
        Some(Err(err)) => {
            log::error!("object {kind}/{} is treated as deleted: {err}", doc.name);
            None
        }
        None => None,
    };
    let key = ObjectKey { kind, name: doc.name };
    Some(StoredObject { key, revision: doc.revision, write_id: doc.write_id, object })
}

fn parse_spec(kind: Kind, spec: &Value) -> Result<Object, StoreError> {
    let bytes = serde_json::to_vec(spec).map_err(invalid)?;
    Object::from_document(kind, &bytes).map_err(invalid)
}

pub(crate) fn invalid(err: impl std::fmt::Display) -> StoreError {
    StoreError::Invalid(err.to_string().into())
}
