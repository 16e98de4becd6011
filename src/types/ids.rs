//! Aliases for ids, names and offsets.

use smol_str::SmolStr;

/// Name of an availability zone.
pub type AvailabilityZone = SmolStr;
/// Id of a configuration edit, chosen by its author to look the edit up if the answer is lost.
pub type EditId = SmolStr;
/// Idempotency key that a caller sends with a non-idempotent request.
pub type IdempotencyKey = SmolStr;
/// Number that a backend server changes whenever it restarts with an empty cache.
pub type Incarnation = u64;
/// Id of a node process; a restarted node has a new one.
pub type InstanceId = SmolStr;
/// Offset of a record on the platform's log.
pub type LogOffset = u64;
/// Name of a model.
pub type ModelId = SmolStr;
/// Name of an owner of document sections.
pub type OwnerId = SmolStr;
/// Id of a request, unique over all nodes.
pub type RequestId = SmolStr;
/// Name of a route.
pub type RouteId = SmolStr;
/// Revision of a document section: the log offset of the edit that set it.
pub type Revision = u64;
/// Path of a document section, such as `workspaces/survey` or `site`.
pub type SectionPath = SmolStr;
/// Name of a backend server.
pub type ServerId = SmolStr;
/// Name of a plain service.
pub type ServiceId = SmolStr;
/// Revision of a model's weights, set by an operator; higher is newer.
pub type WeightsRevision = u64;
/// Version of a backend server's software.
pub type SoftwareVersion = SmolStr;
/// Name of a version of a model's weights.
pub type WeightsVersion = SmolStr;
/// Name of a workspace.
pub type WorkspaceId = SmolStr;
