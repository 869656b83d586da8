export type * from './brand.js';
export { brand } from './brand.js';
export type * from './configuration.js';
export { EMPTY_CONFIGURATION } from './configuration.js';
export type * from './decisionEvents.js';
export type {
  ExecutionStatus,
  ResultCode,
  ResultCodeId,
} from './resultCodes.js';
export { RESULT_CODES } from './resultCodes.js';
export type { RouterErrorDetail, RouterErrorInstance } from './RouterError.js';
export {
  isRouterError,
  RouterError,
  routerError,
  toRouterError,
} from './RouterError.js';
export type * from './routing.js';
export { assertDefined } from './util/assertDefined.js';
export { assertNever } from './util/assertNever.js';
export type { BodyFraming } from './util/bodyFraming.js';
export { bodyFraming, isBodyless } from './util/bodyFraming.js';
export { createRandom } from './util/createRandom.js';
export { groupBy } from './util/groupBy.js';
export { isDecoded, isFinalStatus } from './util/responseHead.js';
export { STRICT_PARSER } from './util/strictParser.js';
export {
  eraOf,
  formatStoreVersion,
  toStoreVersion,
  versionInEra,
} from './util/storeVersion.js';
