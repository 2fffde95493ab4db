/** Branded string ids, so that the compiler rejects an id of another kind. */
declare const brand: unique symbol;

type Branded<Name extends string> = string & { readonly [brand]: Name };

/** Host name or IP address of a machine, as given in the platform's live list. */
export type HostId = Branded<'HostId'>;
export type AvailabilityZoneId = Branded<'AvailabilityZoneId'>;
export type WorkspaceId = Branded<'WorkspaceId'>;
export type ServiceId = Branded<'ServiceId'>;
export type UpstreamId = Branded<'UpstreamId'>;
/** One start of an upstream; a restarted upstream keeps its id but none of its state. */
export type UpstreamIncarnation = Branded<'UpstreamIncarnation'>;
/** Name of a daemon process; stable across restarts. */
export type ProcessId = Branded<'ProcessId'>;
/** Random value generated at each process start; unique to that start. */
export type Incarnation = Branded<'Incarnation'>;
/** Unpredictable id of an order slot; see `src/protocol/orderId.ts`. */
export type OrderId = Branded<'OrderId'>;
/** One attempt to run a request on an upstream. */
export type AttemptId = Branded<'AttemptId'>;
/** Part of a prompt that requests may share. */
export type PromptPartId = Branded<'PromptPartId'>;
/** Hash of the parts of a request that may crash an upstream. */
export type Fingerprint = Branded<'Fingerprint'>;

type AnyId =
  | HostId
  | AvailabilityZoneId
  | WorkspaceId
  | ServiceId
  | UpstreamId
  | UpstreamIncarnation
  | ProcessId
  | Incarnation
  | OrderId
  | AttemptId
  | PromptPartId
  | Fingerprint;

/**
 * Brands a string that has already been validated or comes from a trusted source.
 *
 * @param value - Raw id
 * @returns The same string with the requested brand
 */
// eslint-disable-next-line @typescript-eslint/no-unnecessary-type-parameters -- the caller names the brand
export function toId<Id extends AnyId>(value: string): Id {
  return value as Id;
}
