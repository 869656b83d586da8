/** A primitive that carries a compile-time name, so that ids of different kinds cannot be mixed. */
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
/** Same for requests of one caller with the same method, target and body. */
export type RequestFingerprint = Brand<string, 'RequestFingerprint'>;
export type RouteId = Brand<string, 'RouteId'>;
export type ServiceId = Brand<string, 'ServiceId'>;

/**
 * Gives a primitive its brand. Call it only where outside data enters.
 *
 * @param value - the raw primitive, already validated
 * @returns the same value under its branded type
 */
// The caller names the brand; it cannot be inferred from a plain string.
// eslint-disable-next-line @typescript-eslint/no-unnecessary-type-parameters
export function brand<B extends Brand<string, string>>(value: string): B {
  return value as B;
}
