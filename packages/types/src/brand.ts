/** A primitive with a compile-time tag, so that ids of different kinds cannot be confused. */
export type Brand<T, Name extends string> = T & { readonly __brand: Name };

export type BackendServerId = Brand<string, 'BackendServerId'>;
export type ChangeId = Brand<string, 'ChangeId'>;
export type ClassId = Brand<string, 'ClassId'>;
export type FailureDomainId = Brand<string, 'FailureDomainId'>;
export type IdempotencyKey = Brand<string, 'IdempotencyKey'>;
export type InstanceId = Brand<string, 'InstanceId'>;
export type ModelId = Brand<string, 'ModelId'>;
export type OrganisationId = Brand<string, 'OrganisationId'>;
export type RequestId = Brand<string, 'RequestId'>;
/** Equal for requests of one caller with the same method, target and body. */
export type RequestFingerprint = Brand<string, 'RequestFingerprint'>;
/** Equal for one part of the prompts of one organisation, wherever it stands. */
export type PromptPartKey = Brand<string, 'PromptPartKey'>;
export type RouteId = Brand<string, 'RouteId'>;
export type ServiceId = Brand<string, 'ServiceId'>;
/** Identifies a stream by its organisation and the request that brought its first event. */
export type StreamKey = Brand<string, 'StreamKey'>;
/** Release of a backend server's software. */
export type SoftwareVersion = Brand<string, 'SoftwareVersion'>;

/**
 * Casts a string to a branded type. Use it only where external data enters.
 *
 * @param value - the string, already validated
 * @returns the same value with the branded type
 */
// The caller has to name the brand: it cannot be inferred from a plain string.
// eslint-disable-next-line @typescript-eslint/no-unnecessary-type-parameters
export function brand<B extends Brand<string, string>>(value: string): B {
  return value as B;
}
